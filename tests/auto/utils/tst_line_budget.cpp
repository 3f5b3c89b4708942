#include <gtest/gtest.h>

#include "utils/line_budget.h"

using namespace camphorsaddle::utils;

namespace {

struct budget_case {
    const char* name;
    int linesPerSecond;
    int offeredPerSecond;
    int expectedAtMost;
    int expectedAtLeast;
};

class line_budget_test : public testing::TestWithParam<budget_case> {
};

} // namespace

// Lines offered evenly over ten seconds; a second's worth may be written at once at the start.
INSTANTIATE_TEST_SUITE_P(Rates, line_budget_test,
    testing::Values(
        budget_case { "belowTheLimit", 100, 50, 500, 500 },
        budget_case { "atTheLimit", 100, 100, 1000, 1000 },
        budget_case { "loadOfALargeFleet", 100, 2000, 1100, 1000 }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(line_budget_test, BoundsTheLinesAndCountsTheRest)
{
    line_budget budget(GetParam().linesPerSecond);
    const int offered = GetParam().offeredPerSecond * 10;
    int written = 0;
    for (int line = 0; line < offered; ++line) {
        if (budget.take(time_point() + milliseconds(10'000LL * line / offered)))
            ++written;
    }
    EXPECT_LE(written, GetParam().expectedAtMost);
    EXPECT_GE(written, GetParam().expectedAtLeast);
    EXPECT_EQ(budget.takeLeftOutCount(), static_cast<std::uint64_t>(offered - written));
    EXPECT_EQ(budget.takeLeftOutCount(), 0u);
}

TEST(LineBudget, ClockThatStepsBackAddsNothing)
{
    line_budget budget(1);
    const auto now = time_point() + milliseconds(5000);
    EXPECT_TRUE(budget.take(now));
    EXPECT_FALSE(budget.take(now - milliseconds(2000)));
    EXPECT_FALSE(budget.take(now - milliseconds(1500)));
}
