#pragma once

#include <cstdint>

#include "utils/clock.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

//! \brief Counters of the leader's orders that relays execute.
struct relayed_order_counters {
    explicit relayed_order_counters(utils::metric_registry& registry);

    utils::counter& orders;
    //! Orders that were reported as unanswered.
    utils::counter& unansweredOrders;
    //! Replies to orders that had been reported as unanswered.
    utils::counter& lateReplies;
    //! Choices of another relay for a worker that had one.
    utils::counter& relayChanges;
};

//! \brief Measures how late a repeating timer runs.
class timer_lateness {
public:
    explicit timer_lateness(utils::milliseconds interval);

    //! \brief Returns the time since the timer was due; 0 on the first call.
    utils::milliseconds record(utils::time_point now);

private:
    utils::milliseconds m_interval;
    utils::time_point m_dueAt = utils::time_point::max();
};

//! What happened since the last report.
struct lateness_summary {
    utils::milliseconds maximumDelay { 0 };
    std::uint64_t orders = 0;
    std::uint64_t unansweredOrders = 0;
    std::uint64_t lateReplies = 0;
    std::uint64_t relayChanges = 0;

    auto operator<=>(const lateness_summary&) const = default;
};

//! \brief Records the lateness of the coordinator's timer and logs at most once a second what was late.
class lateness_report {
public:
    lateness_report(utils::metric_registry& registry, const relayed_order_counters& counters, utils::milliseconds tickInterval);

    //! \brief Must be called by the coordinator's repeating timer. Returns what was logged, or a summary of zeros.
    lateness_summary recordTick(utils::time_point now);
    //! \brief Delay of the last call of recordTick().
    utils::milliseconds lastDelay() const;

private:
    lateness_summary summarize();

    const relayed_order_counters& m_counters;
    utils::distribution& m_delays;
    timer_lateness m_lateness;
    utils::time_point m_nextReportAt;
    utils::milliseconds m_lastDelay { 0 };
    utils::milliseconds m_maximumDelay { 0 };
    //! Values of the counters at the last report.
    lateness_summary m_reported;
};

} // namespace camphorsaddle::tasks
