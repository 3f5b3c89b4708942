#pragma once

#include "absl/status/statusor.h"
#include "statechart/state_machine.h"

namespace camphorsaddle::placement {

//! \brief States of the state chart share/charts/task.json.
enum class task_phase {
    Pending,
    Parked,
    Starting,
    Running,
    Checkpointing,
    Stopping,
    Evicted,
    Uncertain,
    Cancelling,
    Finished,
    Failed,
    Cancelled,
};

inline constexpr std::size_t taskPhaseCount = 12;

absl::string_view toString(task_phase phase);

//! \brief Events of the state chart share/charts/task.json.
enum class task_event {
    Placed,
    CannotRun,
    CanRun,
    StartConfirmed,
    StartRefused,
    StartLost,
    AttemptFinished,
    AttemptFailed,
    AttemptsExhausted,
    Evict,
    CheckpointTaken,
    CheckpointFailed,
    Stop,
    StopConfirmed,
    Requeue,
    WorkerSilent,
    OwnerChanged,
    SeenRunning,
    NeverSeen,
    LeaseEnded,
    Cancel,
};

inline constexpr std::size_t taskEventCount = 21;

absl::string_view toString(task_event event);

//! \brief Context of the task state chart; empty, because the chart has no guards or actions.
struct task_context { };

//! \brief State machine of one batch task.
class task_state_machine {
public:
    task_state_machine();

    //! \brief Starts in \a phase, for instance when restored from a snapshot.
    explicit task_state_machine(task_phase phase);

    //! \brief Makes the transition for \a event; FailedPrecondition when the chart declares none for the current state.
    absl::Status fire(task_event event);

    task_phase phase() const;
    bool isFinal() const;

private:
    statechart::state_machine<task_context> m_machine;
};

//! \brief Whether resources of a worker are allocated to a task in this phase.
bool hasAllocation(task_phase phase);

} // namespace camphorsaddle::placement
