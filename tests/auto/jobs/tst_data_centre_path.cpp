#include <gtest/gtest.h>

#include "jobs/data_centre_path.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using utils::milliseconds;

namespace {

constexpr milliseconds orderInterval { 10 };

struct path_case {
    const char* name;
    unsigned orderCount;
    //! Each such order is late; 0 if none is.
    unsigned lateInterval;
    milliseconds sinceLastOrder;
    bool isAvoided;
};

class path_of_orders : public testing::TestWithParam<path_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Orders, path_of_orders,
    testing::Values(path_case { "none", 0, 0, milliseconds(0), false },
        path_case { "oneLate", 1, 1, milliseconds(0), true },
        path_case { "oneLateASecondAgo", 1, 1, milliseconds(1000), false },
        path_case { "allInTime", 500, 0, milliseconds(0), false },
        path_case { "aTenthLate", 500, 10, milliseconds(0), false },
        path_case { "halfLate", 500, 2, milliseconds(0), true },
        path_case { "allLate", 500, 1, milliseconds(0), true },
        path_case { "allLateSecondsAgo", 500, 1, milliseconds(10'000), false }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(path_of_orders, IsAvoidedWhileManyAreLate)
{
    const auto& parameters = GetParam();
    for (auto orderKind : { &data_centre_path::starts, &data_centre_path::observations }) {
        data_centre_path path;
        auto now = utils::time_point() + std::chrono::hours(1);
        for (unsigned number = 0; number < parameters.orderCount; ++number) {
            now += orderInterval;
            (path.*orderKind).record(parameters.lateInterval > 0 && number % parameters.lateInterval == 0, now);
        }
        EXPECT_EQ(pathCost(path, now + parameters.sinceLastOrder) > 0, parameters.isAvoided);
    }
}
