#include <gtest/gtest.h>

#include <vector>

#include "tasks/coordinator/lateness_report.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using utils::milliseconds;

namespace {

constexpr milliseconds tickInterval { 50 };

utils::time_point at(int time)
{
    return utils::time_point() + std::chrono::hours(1) + milliseconds(time);
}

} // namespace

struct lateness_case {
    const char* name;
    std::vector<int> ticks;
    std::vector<int> delays;
};

class timer_lateness_of : public testing::TestWithParam<lateness_case> {
};

INSTANTIATE_TEST_SUITE_P(Ticks, timer_lateness_of,
    testing::Values(lateness_case { "onTime", { 0, 50, 100 }, { 0, 0, 0 } },
        lateness_case { "lateOnce", { 0, 2050, 2050, 2100 }, { 0, 2000, 0, 0 } },
        lateness_case { "alwaysLate", { 0, 80, 160 }, { 0, 30, 60 } },
        lateness_case { "catchesUp", { 0, 60, 100 }, { 0, 10, 0 } }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(timer_lateness_of, IsTheTimeSinceTheTimerWasDue)
{
    timer_lateness lateness(tickInterval);
    std::vector<int> delays;
    for (const int tick : GetParam().ticks)
        delays.push_back(static_cast<int>(lateness.record(at(tick)).count()));
    EXPECT_EQ(delays, GetParam().delays);
}

TEST(LatenessReport, LogsWhatWasLateAtMostOnceASecond)
{
    utils::metric_registry registry;
    relayed_order_counters counters(registry);
    lateness_report report(registry, counters, tickInterval);
    EXPECT_EQ(report.recordTick(at(0)), lateness_summary());
    counters.orders.add(7);
    counters.unansweredOrders.add(2);
    counters.lateReplies.add();
    EXPECT_EQ(report.recordTick(at(550)), lateness_summary());
    EXPECT_EQ(report.recordTick(at(1000)), (lateness_summary { milliseconds(500), 7, 2, 1, 0 }));
    counters.orders.add(7);
    EXPECT_EQ(report.recordTick(at(1050)), lateness_summary());
    for (int time = 1100; time <= 3000; time += 50)
        EXPECT_EQ(report.recordTick(at(time)), lateness_summary()) << time;
}
