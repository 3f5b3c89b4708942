#include "tasks/coordinator/lateness_report.h"

#include <algorithm>
#include <string>
#include <utility>

#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds reportInterval { 1000 };
    // Shorter delays are left to the histogram.
    constexpr utils::milliseconds minimumReportedDelay { 100 };
    constexpr double minimumDelaySeconds = 0.0005;
    constexpr double maximumDelaySeconds = 10;
    constexpr unsigned delayBinCount = 40;

} // namespace

relayed_order_counters::relayed_order_counters(utils::metric_registry& registry)
    : orders(registry.addCounter("camphorsaddle_relayed_orders_total"))
    , unansweredOrders(registry.addCounter("camphorsaddle_relayed_orders_unanswered_total"))
    , lateReplies(registry.addCounter("camphorsaddle_relayed_replies_late_total"))
    , relayChanges(registry.addCounter("camphorsaddle_relay_changes_total"))
{
}

timer_lateness::timer_lateness(utils::milliseconds interval)
    : m_interval(interval)
{
}

utils::milliseconds timer_lateness::record(utils::time_point now)
{
    const auto dueAt = std::min(m_dueAt, now);
    // A late timer skips the times that have passed.
    m_dueAt = std::max(dueAt + m_interval, now);
    return std::chrono::duration_cast<utils::milliseconds>(now - dueAt);
}

lateness_report::lateness_report(utils::metric_registry& registry, const relayed_order_counters& counters, utils::milliseconds tickInterval)
    : m_counters(counters)
    , m_delays(registry.addDistribution("camphorsaddle_coordinator_timer_delay_seconds", minimumDelaySeconds, maximumDelaySeconds, delayBinCount))
    , m_lateness(tickInterval)
{
}

lateness_summary lateness_report::summarize()
{
    const lateness_summary totals { utils::milliseconds(0), m_counters.orders.value(), m_counters.unansweredOrders.value(), m_counters.lateReplies.value(), m_counters.relayChanges.value() };
    const auto before = std::exchange(m_reported, totals);
    return { std::exchange(m_maximumDelay, utils::milliseconds(0)), totals.orders - before.orders, totals.unansweredOrders - before.unansweredOrders, totals.lateReplies - before.lateReplies, totals.relayChanges - before.relayChanges };
}

lateness_summary lateness_report::recordTick(utils::time_point now)
{
    m_lastDelay = m_lateness.record(now);
    m_delays.record(std::chrono::duration<double>(m_lastDelay).count());
    m_maximumDelay = std::max(m_maximumDelay, m_lastDelay);
    if (now < m_nextReportAt)
        return {};
    m_nextReportAt = now + reportInterval;
    const auto summary = summarize();
    if (summary.maximumDelay < minimumReportedDelay && summary.unansweredOrders == 0 && summary.lateReplies == 0 && summary.relayChanges == 0)
        return {};
    utils::logEvent(utils::events::coordinatorLate,
        { { "maximum_delay_ms", std::to_string(summary.maximumDelay.count()) }, { "orders", std::to_string(summary.orders) }, { "unanswered_orders", std::to_string(summary.unansweredOrders) },
            { "late_replies", std::to_string(summary.lateReplies) }, { "relay_changes", std::to_string(summary.relayChanges) } });
    return summary;
}

utils::milliseconds lateness_report::lastDelay() const
{
    return m_lastDelay;
}

} // namespace camphorsaddle::tasks
