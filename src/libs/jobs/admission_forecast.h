#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "jobs/job.h"
#include "utils/clock.h"

//! \brief Decides on the admission of new jobs by a forecast of their wait.
//!
//! Load that it answers: a burst brings more best-effort jobs than the processors that services leave can carry within the jobs'
//! deadlines. Accepted in full, nearly all of it ends late.
namespace camphorsaddle::jobs {

//! \brief Work of accepted jobs that waits for processors, in core-seconds.
struct waiting_work {
    double bestEffort = 0;
    double batch = 0;

    auto operator<=>(const waiting_work&) const = default;
};

//! \brief Unfinished work on the workers of one service, and the processors that execute it.
struct service_backlog {
    //! Work that hasn't been started, by the priority of its queue.
    std::map<int, waiting_work> work;
    //! Remaining work of the runs.
    waiting_work running;
    //! Cores that best-effort tasks can use, and cores that batch tasks can reserve.
    double bestEffortCores = 0;
    double batchCores = 0;

    auto operator<=>(const service_backlog&) const = default;
};

//! \brief Learned ratio of the processors that best-effort tasks request at the same time, while others wait, to those that services
//! and batch tasks leave. It is below 1 if tasks don't fit into what is left of single workers, and above 1 if they use less than they
//! request.
struct usable_share {
    double value = 1;

    auto operator<=>(const usable_share&) const = default;
};

//! \brief The share after another review, in which best-effort tasks waited.
usable_share updateUsableShare(const usable_share& known, double requestedCores, double leftCores);

//! \brief Time in which the present work ends that a new job of the priority has to wait for: the runs, and the work of the same and more
//! urgent priorities, divided by the rate at which it is executed; at most longestBacklogTime.
utils::milliseconds backlogTime(const service_backlog& backlog, int priority, bool isBestEffort);

//! A longer time isn't told apart, since the load of a fleet changes within minutes.
inline constexpr utils::milliseconds longestBacklogTime { 60'000 };

//! \brief What the decision on a new job depends on, beside the wait.
struct admission_request {
    absl::string_view id;
    //! Priority of its queue; 0 is the most urgent one.
    int priority = 0;
    //! Expected duration of its longest chain of steps.
    utils::milliseconds chain { 0 };
    double slackFactor = 1;
    utils::milliseconds targetLatency { 0 };
};

//! \brief Time by which the job's start may be delayed without a missed deadline.
utils::milliseconds slackOf(const admission_request& request);

//! \brief Expected time until the job gets processors.
//!
//! Processors become free before the whole backlog has ended: the jobs that run at any time are in the middle of their chains on average,
//! for which the job's own chain stands.
utils::milliseconds expectedWait(const admission_request& request, utils::milliseconds backlogTime);

//! \brief Decides whether to accept a job by a backlog that was forecast at \a forecastAt; returns the time after which a refused one
//! should be submitted again, in whole seconds.
//!
//! A job is refused if by its expected wait it would end later than three times the time allowed to it, when its result is worth nothing,
//! but not for a wait of less than 500 ms. The number and size of its tasks aren't considered, so that large jobs are served as often as
//! small ones with the same slack. Jobs of priority 0 are never refused.
std::optional<utils::milliseconds> decideRefusal(const admission_request& request, utils::milliseconds backlogTime, utils::time_point forecastAt, utils::time_point now);

//! \brief Duration of the job's longest chain of steps, by the caller's estimates times \a durationRatio.
utils::milliseconds longestChain(const job_spec& job, double durationRatio);

//! \brief Duration of the chain that a refusal assumes: no less than the mean of the queue's jobs.
//!
//! Callers' estimates are off by up to 0.9. A job whose estimate is far too low would have too little time by it, and be refused although it
//! can end in time.
utils::milliseconds plausibleChain(const job_spec& job, double durationRatio, utils::milliseconds meanChain);

//! \brief A refusal and what it was decided by, for the log.
struct forecast_refusal {
    utils::milliseconds retryAfter { 0 };
    utils::milliseconds wait { 0 };
    utils::milliseconds slack { 0 };
    double cores = 0;

    auto operator<=>(const forecast_refusal&) const = default;
};

//! \brief Backlogs that a new job of a queue has to wait for, and the learned ratio of durations to estimates.
struct queue_backlog {
    utils::milliseconds bestEffort { 0 };
    utils::milliseconds batch { 0 };
    double durationRatio = 1;
    //! Mean expected duration of the longest chains of the queue's jobs; 0 if unknown.
    utils::milliseconds meanChain { 0 };

    auto operator<=>(const queue_backlog&) const = default;
};

//! \brief The leader's forecast for the other daemons.
struct published_forecast {
    //! Queues without an entry have no backlog that matters.
    std::map<std::string, queue_backlog> queues;
    utils::time_point at;

    auto operator<=>(const published_forecast&) const = default;
};

//! Shorter backlogs aren't published: no job is refused for them.
inline constexpr utils::milliseconds shortestPublishedBacklog { 500 };
//! Bounds the size of a message that the leader sends to each daemon twice a second.
inline constexpr std::size_t maximumPublishedQueues = 64;

//! \brief What a daemon that doesn't lead does with a new job, given the last forecast that it has.
struct follower_decision {
    enum class action {
        //! Asks the leader, or stores the job if there is none.
        Proceed,
        //! The forecast refuses the job.
        Overload,
        //! There is neither a leader nor a recent forecast.
        Unknown,
    };
    action what = action::Proceed;
    utils::milliseconds retryAfter { 0 };

    auto operator<=>(const follower_decision&) const = default;
};

//! \brief Decides by a forecast that is at most 1.5 s old, or 5 s if there is no leader to ask.
//!
//! Without a leader, a queue that has an older backlog takes no jobs. One without a backlog takes them whatever the age.
follower_decision decideByPublishedForecast(const std::optional<published_forecast>& forecast, const job_spec& job, const queue_rules& rules, bool hasLeader, utils::time_point now);

} // namespace camphorsaddle::jobs
