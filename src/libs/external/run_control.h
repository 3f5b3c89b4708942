#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "utils/clock.h"

namespace camphorsaddle::external {

//! \brief Address of one incarnation of a worker.
struct worker_address {
    std::string id;
    //! "address:port".
    std::string endpoint;

    auto operator<=>(const worker_address&) const = default;
};

//! \brief Time of a worker's own clock, in milliseconds.
using worker_time = std::int64_t;

//! \brief Identifies a task by its position in its job.
struct task_id {
    std::string job;
    //! Number of the occurrence, for a job that runs several times.
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0;

    auto operator<=>(const task_id&) const = default;
};

//! \brief Identifies one start of a task; the number increases with each start of the task.
struct run_id {
    task_id task;
    std::uint64_t number = 0;

    auto operator<=>(const run_id&) const = default;
};

//! \brief What the leader knows of a run and its worker doesn't report.
struct run_traits {
    //! Highest tail latency that a task which serves requests may have; 0 for any other task.
    utils::milliseconds latencyTarget { 0 };
    //! Uses the processors that other tasks leave unused, and may be slowed down for them.
    bool isBestEffort = false;

    auto operator<=>(const run_traits&) const = default;
};

struct described_run {
    run_id run;
    run_traits traits;

    auto operator<=>(const described_run&) const = default;
};

struct run_order {
    run_id run;
    //! Description of the work, as the caller sent it.
    std::string payload;
    //! Checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    //! End of the lease that covers all runs on the worker.
    worker_time leaseEnd = 0;
    //! Fencing token of the lease holder; the worker rejects a token that is lower than the highest one it has received.
    std::uint64_t fence = 0;
    run_traits traits;
    //! Time of the decision, after which the order may leave only for a limited time; the epoch if unknown.
    utils::time_point decidedAt {};
};

//! \brief Outcome of an order to a worker.
enum class order_outcome {
    //! The order has taken effect, by this call or an earlier one.
    Accepted,
    //! The worker has received an order with a higher fencing token.
    Fenced,
    //! The worker already had a run of the task with this number or a higher one.
    StaleRunNumber,
    //! The lease end is in the past by the worker's clock.
    LeaseEndPassed,
    //! The worker does not have enough free capacity.
    InsufficientCapacity,
    //! The worker reported itself unhealthy and did not carry out the order.
    Unhealthy,
    //! Another incarnation of the worker answered.
    OtherIncarnation,
    //! The worker does not understand the order.
    Malformed,
    //! The order was certainly not sent, because there was no connection.
    NotSent,
    //! No answer was received; the order may have taken effect or take effect seconds later.
    NoAnswer,
    //! The order was certainly not sent to the worker, because it was decided too long ago.
    Expired,
};

inline constexpr std::size_t orderOutcomeCount = 11;

constexpr absl::string_view toString(order_outcome outcome)
{
    constexpr absl::string_view names[orderOutcomeCount] { "accepted", "fenced", "outdated", "lease_over", "no_room", "unhealthy", "other_life", "malformed", "not_sent", "no_answer", "expired" };
    return names[static_cast<std::size_t>(outcome)];
}

struct order_reply {
    order_outcome outcome = order_outcome::NoAnswer;
    //! Time of the worker's clock when it answered; 0 if unknown.
    worker_time clock = 0;
    //! Endpoint of the daemon through which the order was sent; empty if the leader has called the worker itself.
    std::string relay {};
};

//! \brief A run that the worker executes.
struct run_report {
    run_id run;
    std::string checkpoint;
    //! Progress from 0 to 100; for a long-running task, 100 while it serves requests.
    int percent = 0;
    //! Tail latency in milliseconds for a task that serves requests; for other tasks the processors in use, in thousandths of
    //! a core.
    std::int64_t load = 0;
    //! Share of its speed that the run is limited to, percent; nullopt if unknown.
    std::optional<int> pace;
};

enum class end_cause {
    Done,
    //! Failed because of an error of the task or of the worker.
    Failed,
    Stopped,
    LeaseExpired,
    //! Another task of its gang ended.
    GangMemberEnded,
    //! Timed out while waiting for the other tasks of its gang.
    GangIncomplete,
};

inline constexpr std::size_t endCauseCount = 6;

constexpr absl::string_view toString(end_cause cause)
{
    constexpr absl::string_view names[endCauseCount] { "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete" };
    return names[static_cast<std::size_t>(cause)];
}

//! \brief End of a run, which the worker reports until it is acknowledged; numbers increase within an incarnation of the worker.
struct run_end {
    std::uint64_t number = 0;
    run_id run;
    end_cause cause = end_cause::Failed;
    std::string checkpoint;
};

struct observe_order {
    //! Acknowledges the ends up to this number; the worker no longer reports them.
    std::uint64_t acknowledgedEnd = 0;
    std::uint64_t fence = 0;
    //! New end of the lease that covers all runs on the worker; 0 keeps the current end.
    worker_time leaseEnd = 0;
    //! Maximum time that the worker waits for a run to end before it answers.
    utils::milliseconds wait { 0 };
    //! Runs on the worker, after a reply that needs descriptions.
    std::vector<described_run> described;
};

struct observation {
    worker_time clock = 0;
    //! Incarnation of the worker.
    std::int64_t incarnation = 0;
    std::vector<run_report> running;
    std::vector<run_end> ended;
};

struct observe_reply {
    order_outcome outcome = order_outcome::NoAnswer;
    observation workerState;
    //! The order was reported as NoAnswer before this answer arrived.
    bool isLate = false;
    //! A run is listed of which the executing daemon has no traits.
    bool needsDescriptions = false;
};

//! \brief Asynchronous interface for orders to workers. A worker checks the fencing token of each order and runs everything
//! under one lease.
//!
//! Callbacks run later on the caller's event loop, never within the call.
class run_control {
public:
    virtual ~run_control() = default;

    virtual void start(const worker_address& worker, const run_order& order, std::function<void(order_reply)> callback) = 0;
    virtual void stop(const worker_address& worker, const run_id& run, std::uint64_t fence, std::function<void(order_reply)> callback) = 0;
    //! \brief Limits a run to a share of its capacity, in percent from 0 to 100.
    virtual void pace(const worker_address& worker, const run_id& run, int percent, std::uint64_t fence, std::function<void(order_reply)> callback) = 0;
    virtual void observe(const worker_address& worker, const observe_order& order, std::function<void(observe_reply)> callback) = 0;
};

} // namespace camphorsaddle::external
