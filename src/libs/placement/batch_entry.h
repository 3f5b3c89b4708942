#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "absl/strings/string_view.h"
#include "model/resources.h"
#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief One task of a job.
struct task_id {
    std::string job;
    std::uint32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

//! \brief Name of the task in calls to workers: "job/index".
std::string formatTaskId(const task_id& task);

//! \brief A job was submitted to this shard, or a task was delegated to it as a job of one task.
struct job_accepted {
    //! Key of the job: "team/id", or the result of delegatedJobKey().
    std::string job;
    std::string team;
    std::string kind;
    std::uint32_t tasks = 0;
    //! Shard that delegated the task; empty for a job that was submitted to this shard.
    std::string homeShard;
    //! Epoch of the home shard's owner.
    std::uint64_t homeShardEpoch = 0;
    std::string checkpoint;

    auto operator<=>(const job_accepted&) const = default;
};

struct job_cancelled {
    std::string job;

    auto operator<=>(const job_cancelled&) const = default;
};

//! \brief A task was placed on a worker and occupies its resources; the start command is sent after this entry.
struct task_placed {
    task_id task;
    std::uint32_t attempt = 0;
    std::string worker;
    model::resources size;

    auto operator<=>(const task_placed&) const = default;
};

//! \brief The worker has confirmed that it runs the attempt.
struct task_confirmed {
    task_id task;
    std::uint32_t attempt = 0;

    auto operator<=>(const task_confirmed&) const = default;
};

//! \brief It is unknown whether the worker runs the attempt; its resources stay allocated.
struct task_unconfirmed {
    task_id task;
    std::uint32_t attempt = 0;

    auto operator<=>(const task_unconfirmed&) const = default;
};

enum class attempt_end_cause {
    Finished,
    Failed,
    //! The worker refused the start.
    Refused,
    //! The worker never received the attempt and will not start it.
    NeverSeen,
    //! The lease has expired on the worker, clock differences included.
    LeaseEnded,
    //! The worker confirmed the stop.
    Stopped,
    //! The attempt failed on a worker that is suspected to fail all attempts.
    WorkerFault,
    //! The remote shard to which the task was delegated has stopped it.
    Returned,
};

//! \brief Name for logged events, for instance "lease ended".
absl::string_view toString(attempt_end_cause cause);

//! \brief The attempt no longer runs, and its resources are free.
struct task_ended {
    task_id task;
    std::uint32_t attempt = 0;
    attempt_end_cause cause = attempt_end_cause::Finished;
    std::string checkpoint;

    auto operator<=>(const task_ended&) const = default;
};

//! \brief A new owner took over the shard; attempts that may run become uncertain until workers report them.
struct owner_changed {
    std::uint64_t epoch = 0;

    auto operator<=>(const owner_changed&) const = default;
};

//! \brief Permits the current owner to grant and renew leases for the renewal horizon.
//!
//! The horizon is counted from before this entry was written.
struct renewals_extended {
    //! Longest time from the writing of this entry to the end of a lease granted under it.
    utils::milliseconds leaseEndBound { 0 };
    //! Whether the leases that former owners granted have all expired.
    bool areFormerLeasesEnded = false;

    auto operator<=>(const renewals_extended&) const = default;
};

enum class eviction_step {
    //! A checkpoint of the attempt is requested.
    Begun,
    CheckpointTaken,
    CheckpointFailed,
    //! The attempt is stopped without another checkpoint.
    StopBegun,
};

//! \brief A step in the eviction of a running attempt from its worker.
struct task_evicting {
    task_id task;
    std::uint32_t attempt = 0;
    eviction_step step = eviction_step::Begun;
    std::string checkpoint;

    auto operator<=>(const task_evicting&) const = default;
};

enum class parking_cause {
    //! The task is no longer parked and waits for a worker.
    None,
    //! The task is larger than every worker.
    NeverFits,
    //! Its attempts failed repeatedly on workers that run other tasks well.
    FailedOften,
};

//! \brief A pending task is parked, so that it is not placed, or a parked task becomes pending again.
struct task_parking {
    task_id task;
    parking_cause cause = parking_cause::None;

    auto operator<=>(const task_parking&) const = default;
};

//! \brief The home shard knows the result of a delegated task; the task is removed and never accepted again.
struct delegation_released {
    std::string job;

    auto operator<=>(const delegation_released&) const = default;
};

//! \brief One committed change of a batch shard.
using batch_entry = std::variant<job_accepted, job_cancelled, task_placed, task_confirmed, task_unconfirmed, task_ended, owner_changed, renewals_extended, task_evicting, task_parking, delegation_released>;

} // namespace camphorsaddle::placement
