#include <gtest/gtest.h>

#include "jobs/route_admission.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;

namespace {

const utils::time_point start = utils::time_point() + std::chrono::hours(1);

} // namespace

struct route_admission_case {
    const char* name;
    bool isQueueKnown;
    utils::milliseconds rulesAge;
    bool isStoreFailing;
    utils::milliseconds waited;
    route_admission expected;
};

class route_admissions : public testing::TestWithParam<route_admission_case> {
};

// A request must not be refused by rules that a newer version may have replaced.
INSTANTIATE_TEST_SUITE_P(RulesAges, route_admissions,
    testing::Values(route_admission_case { "knownByRecentRules", true, utils::milliseconds(1500), false, utils::milliseconds(0), route_admission::Serve },
        route_admission_case { "unknownByRecentRules", false, utils::milliseconds(1500), false, utils::milliseconds(0), route_admission::UnknownQueue },
        route_admission_case { "unknownByRecentRulesWithoutTheStore", false, utils::milliseconds(1500), true, utils::milliseconds(0), route_admission::UnknownQueue },
        route_admission_case { "knownByOldRules", true, utils::milliseconds(1501), false, utils::milliseconds(0), route_admission::AwaitConfirmation },
        route_admission_case { "unknownByOldRules", false, utils::milliseconds(1501), false, utils::milliseconds(499), route_admission::AwaitConfirmation },
        route_admission_case { "knownAfterTheWait", true, utils::milliseconds(2001), false, utils::milliseconds(500), route_admission::Serve },
        route_admission_case { "unknownAfterTheWait", false, utils::milliseconds(2001), false, utils::milliseconds(500), route_admission::Unconfirmed },
        route_admission_case { "knownWithoutTheStore", true, utils::milliseconds(9000), true, utils::milliseconds(0), route_admission::Serve },
        route_admission_case { "unknownWithoutTheStore", false, utils::milliseconds(9000), true, utils::milliseconds(0), route_admission::Unconfirmed }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(route_admissions, DependOnTheAgeOfTheRules)
{
    const auto& test = GetParam();
    const auto now = start + std::chrono::seconds(20);
    EXPECT_EQ(admitRoute({}, { test.isQueueKnown, now - test.waited, now - test.rulesAge, test.isStoreFailing }, now), test.expected);
}
