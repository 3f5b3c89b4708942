#include <gtest/gtest.h>

#include "tasks/coordinator/decision_pacer.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using utils::microseconds;
using utils::milliseconds;

namespace {

constexpr utils::time_point start = utils::time_point() + std::chrono::hours(1);

} // namespace

struct pace_case {
    const char* name;
    microseconds decisionTime;
    milliseconds elapsed;
    milliseconds delay;
};

class decision_pace : public testing::TestWithParam<pace_case> {
};

INSTANTIATE_TEST_SUITE_P(Delays, decision_pace,
    testing::Values(pace_case { "short", microseconds(500), milliseconds(0), milliseconds(4) },
        pace_case { "long", milliseconds(30), milliseconds(0), milliseconds(30) },
        pace_case { "roundedUp", microseconds(30'100), milliseconds(0), milliseconds(31) },
        pace_case { "longAndPartlyOver", milliseconds(30), milliseconds(10), milliseconds(20) },
        pace_case { "longAndOver", milliseconds(30), milliseconds(40), milliseconds(4) },
        pace_case { "longerThanTheMaximum", milliseconds(2000), milliseconds(0), milliseconds(100) }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(decision_pace, FollowsTheLastDecision)
{
    decision_pacer pacer;
    EXPECT_EQ(pacer.delay(start), milliseconds(4));
    const auto end = start + GetParam().decisionTime;
    pacer.recordDecision(start, end);
    EXPECT_EQ(pacer.delay(end + GetParam().elapsed), GetParam().delay);
}

// Guards against decisions that fill the leader's time: each batch of replies led to one 4 ms later, however long the last one had
// taken. Seen on pregon-unido-large.
TEST(DecisionPacer, DecisionsTakeMoreThanHalfOfTheTime)
{
    constexpr milliseconds decisionTime { 60 };
    constexpr milliseconds duration { 10'000 };
    decision_pacer pacer;
    milliseconds spent { 0 };
    for (auto now = start; now < start + duration;) {
        now += pacer.delay(now);
        pacer.recordDecision(now, now + decisionTime);
        now += decisionTime;
        spent += decisionTime;
    }
    EXPECT_LE(spent, duration / 2 + decisionTime);
}
