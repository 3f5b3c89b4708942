#pragma once

#include <compare>
#include <cstddef>
#include <optional>

#include "absl/strings/string_view.h"
#include "utils/clock.h"

namespace camphorsaddle::jobs {

struct run_state;
struct task_state;

//! \brief What keeps a long-running task from running.
enum class wait_cause {
    //! Its start order isn't answered yet.
    StartUnanswered,
    //! Its start order got no answer; it may still take effect.
    StartUncertain,
    RunStopping,
    //! The worker of its run doesn't answer, and the lease may not have expired.
    WorkerSilent,
    //! A worker that this leader has had no answer from may run it.
    FormerLeader,
    //! The directory or the cancellations are too old to start any task.
    StartsSuspended,
    //! Its silent worker may have crashed because of it.
    CrashUnproven,
    BackOff,
    //! It is suspected of crashing workers, and no worker without recent starts has room.
    NoIsolatedWorker,
    //! Resources are kept for it on a worker that has no room yet.
    Reserved,
    //! A worker has room for it.
    NotTried,
    NoOpenWorker,
    NoRoom,
};

inline constexpr std::size_t waitCauseCount = 13;

constexpr absl::string_view toString(wait_cause cause)
{
    constexpr absl::string_view names[waitCauseCount] { "start_unanswered", "start_uncertain", "run_stopping", "worker_silent", "former_leader", "starts_suspended", "crash_unproven", "back_off", "no_isolated_worker", "reserved", "not_tried", "no_open_worker", "no_room" };
    return names[static_cast<std::size_t>(cause)];
}

//! \brief What holds back the starts of all tasks.
struct start_conditions {
    //! Since when the leader has waited for the workers of former ones; nullopt if it knows all runs.
    std::optional<utils::time_point> restoringSince;
    std::optional<utils::time_point> suspendedSince;
};

//! \brief Workers that may get a task of a step.
struct place_counts {
    std::size_t open = 0;
    //! Those of them that have enough free resources for the task.
    std::size_t withRoom = 0;

    auto operator<=>(const place_counts&) const = default;
};

struct task_wait {
    wait_cause cause = wait_cause::NotTried;
    utils::time_point since;
    //! When it last had a run that its worker confirmed.
    utils::time_point withoutRunSince;
    //! Its run, if it has one.
    const run_state* run = nullptr;

    auto operator<=>(const task_wait&) const = default;
};

//! \brief Why the long-running task has no confirmed run; nullopt if it has one.
//!
//! The cause is NotTried if only the workers can hold it back: placementCause() tells which.
std::optional<task_wait> waitOf(const task_state& task, const start_conditions& conditions, utils::time_point now);

//! \brief Why a task that may be started has no worker.
wait_cause placementCause(const place_counts& counts);

} // namespace camphorsaddle::jobs
