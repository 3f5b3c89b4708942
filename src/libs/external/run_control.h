#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "utils/clock.h"

namespace camphorsaddle::external {

//! \brief Where the calls to one life of a worker go.
struct worker_address {
    std::string id;
    //! "address:port".
    std::string endpoint;

    auto operator<=>(const worker_address&) const = default;
};

//! \brief Time on a worker's own clock, ms.
using worker_time = std::int64_t;

//! \brief A task by its place in its job.
struct task_id {
    std::string job;
    //! Which time of a job that runs several times.
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0;

    auto operator<=>(const task_id&) const = default;
};

//! \brief One start of a task; the number rises with each start of the task.
struct run_id {
    task_id task;
    std::uint64_t number = 0;

    auto operator<=>(const run_id&) const = default;
};

struct run_order {
    run_id run;
    //! What the task is to do, as its caller sent it.
    std::string payload;
    //! Checkpoint to resume from; empty for a start from the beginning.
    std::string checkpoint;
    //! End of the lease of everything on the worker.
    worker_time leaseEnd = 0;
    //! Fencing token of the holder; the worker rejects lower ones than it has seen.
    std::uint64_t fence = 0;
};

//! \brief How a worker answered an order.
enum class order_outcome {
    //! The order took effect, now or earlier.
    Accepted,
    //! A holder with a higher fencing token has given orders.
    Fenced,
    //! A run with this number or a higher one was there before.
    StaleRunNumber,
    //! The lease end lies in the past of the worker's clock.
    LeaseEndPassed,
    //! The worker lacks the capacity.
    InsufficientCapacity,
    //! The worker is unhealthy and has done nothing.
    Unhealthy,
    //! Another life of the worker answered.
    OtherIncarnation,
    //! The worker does not understand the order.
    Malformed,
    //! Surely not sent: no connection.
    NotSent,
    //! No answer; the order may take effect now or seconds later.
    NoAnswer,
};

inline constexpr std::size_t orderOutcomeCount = 10;

constexpr absl::string_view toString(order_outcome outcome)
{
    constexpr absl::string_view names[orderOutcomeCount] { "accepted", "fenced", "outdated", "lease_over", "no_room", "unhealthy", "other_life", "malformed", "not_sent", "no_answer" };
    return names[static_cast<std::size_t>(outcome)];
}

struct order_reply {
    order_outcome outcome = order_outcome::NoAnswer;
    //! The worker's clock when it answered; 0 when unknown.
    worker_time clock = 0;
};

//! \brief A run that the worker executes.
struct run_report {
    run_id run;
    std::string checkpoint;
    //! Progress, 0 to 100; for a task that lasts, 100 while it serves.
    int percent = 0;
    //! Tail of the response times in ms for a task that serves, else the processors in use in thousandths of a core.
    std::int64_t load = 0;
};

enum class end_cause {
    Done,
    //! Failed by its own fault or the worker's.
    Failed,
    Stopped,
    LeaseExpired,
    //! Another member of its gang ended.
    GangMemberEnded,
    //! Waited too long for the other members of its gang.
    GangIncomplete,
};

inline constexpr std::size_t endCauseCount = 6;

constexpr absl::string_view toString(end_cause cause)
{
    constexpr absl::string_view names[endCauseCount] { "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete" };
    return names[static_cast<std::size_t>(cause)];
}

//! \brief An end that the worker repeats until it is acknowledged; numbers rise within a life of the worker.
struct run_end {
    std::uint64_t number = 0;
    run_id run;
    end_cause cause = end_cause::Failed;
    std::string checkpoint;
};

struct observe_order {
    //! Ends up to this number need not be repeated.
    std::uint64_t acknowledgedEnd = 0;
    std::uint64_t fence = 0;
    //! New end of the lease of everything on the worker; 0 leaves it.
    worker_time leaseEnd = 0;
    //! How long the worker may wait for an end before it answers.
    utils::milliseconds wait { 0 };
};

struct observation {
    worker_time clock = 0;
    //! Tells the lives of a worker apart.
    std::int64_t life = 0;
    std::vector<run_report> running;
    std::vector<run_end> ended;
};

struct observe_reply {
    order_outcome outcome = order_outcome::NoAnswer;
    observation workerState;
    //! The order was reported as unanswered before.
    bool isLate = false;
};

//! \brief Orders to workers that fence them and hold everything under one lease, called asynchronously.
//!
//! Callbacks run later on the caller's loop, never within the call.
class run_control {
public:
    virtual ~run_control() = default;

    virtual void start(const worker_address& worker, const run_order& order, std::function<void(order_reply)> callback) = 0;
    virtual void stop(const worker_address& worker, const run_id& run, std::uint64_t fence, std::function<void(order_reply)> callback) = 0;
    //! \brief Lets a run work at a share of its capacity, percent from 0 to 100.
    virtual void pace(const worker_address& worker, const run_id& run, int percent, std::uint64_t fence, std::function<void(order_reply)> callback) = 0;
    virtual void observe(const worker_address& worker, const observe_order& order, std::function<void(observe_reply)> callback) = 0;
};

} // namespace camphorsaddle::external
