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

//! \brief Name of the task at the workers: "job/index".
std::string formatTask(const task_id& task);

struct job_accepted {
    std::string job;
    std::string team;
    std::string kind;
    std::uint32_t tasks = 0;
    //! Shard that handed the one task over; empty for a job of this shard.
    std::string home;
    //! Epoch of the home shard's owner.
    std::uint64_t homeEpoch = 0;
    std::string checkpoint;

    auto operator<=>(const job_accepted&) const = default;
};

struct job_cancelled {
    std::string job;

    auto operator<=>(const job_cancelled&) const = default;
};

//! \brief A task is charged to a worker; the command to start it follows this entry.
struct task_placed {
    task_id task;
    std::uint32_t attempt = 0;
    std::string worker;
    model::resources size;

    auto operator<=>(const task_placed&) const = default;
};

//! \brief The worker holds the attempt.
struct task_confirmed {
    task_id task;
    std::uint32_t attempt = 0;

    auto operator<=>(const task_confirmed&) const = default;
};

//! \brief Nobody knows whether the worker holds the attempt; it stays charged.
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
    //! The worker never saw the attempt and will not start it.
    NeverSeen,
    //! The lease surely ran out.
    LeaseEnded,
    //! The worker confirmed the stop.
    Stopped,
    //! The attempt failed on a worker that fails whatever it runs.
    WorkerFault,
    //! The shard that had taken the task over stopped it.
    Returned,
};

//! \brief Name for events, for instance "lease ended".
absl::string_view toString(attempt_end_cause cause);

//! \brief The attempt surely runs no more.
struct task_ended {
    task_id task;
    std::uint32_t attempt = 0;
    attempt_end_cause cause = attempt_end_cause::Finished;
    std::string checkpoint;

    auto operator<=>(const task_ended&) const = default;
};

//! \brief A new owner took the shard over; what it has not seen itself is uncertain.
struct owner_changed {
    std::uint64_t epoch = 0;

    auto operator<=>(const owner_changed&) const = default;
};

//! \brief The present owner may grant leases for a while, counted from before this entry was written.
struct renewals_extended {
    //! Longest time from the writing of this entry to the end of a lease granted under it.
    utils::milliseconds bound { 0 };
    //! Whether the leases of all former owners have surely ended.
    bool isFormerEnded = false;

    auto operator<=>(const renewals_extended&) const = default;
};

enum class eviction_step {
    Begun,
    CheckpointTaken,
    CheckpointFailed,
    //! The attempt is stopped without another checkpoint.
    StopBegun,
};

//! \brief An attempt is on its way out of its worker.
struct task_evicting {
    task_id task;
    std::uint32_t attempt = 0;
    eviction_step step = eviction_step::Begun;
    std::string checkpoint;

    auto operator<=>(const task_evicting&) const = default;
};

enum class parking_cause {
    //! The task is taken back.
    None,
    //! No worker can ever carry it.
    NeverFits,
    //! Its attempts failed on workers that are good for others.
    FailedOften,
};

//! \brief A pending task is put aside, or is taken back.
struct task_parking {
    task_id task;
    parking_cause cause = parking_cause::None;

    auto operator<=>(const task_parking&) const = default;
};

//! \brief A task that was handed over is settled with its home shard and is never accepted again.
struct guest_released {
    std::string job;

    auto operator<=>(const guest_released&) const = default;
};

//! \brief One committed change of a batch shard.
using batch_entry = std::variant<job_accepted, job_cancelled, task_placed, task_confirmed, task_unconfirmed, task_ended, owner_changed, renewals_extended, task_evicting, task_parking, guest_released>;

} // namespace camphorsaddle::placement
