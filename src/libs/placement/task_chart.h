#pragma once

#include "absl/status/statusor.h"
#include "statechart/machine.h"

namespace camphorsaddle::placement {

//! \brief The states of share/charts/task.json.
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

//! \brief The events of share/charts/task.json.
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

//! \brief The chart of a batch task takes no guards or actions; its context is empty.
struct task_context { };

//! \brief Life cycle of one batch task.
class task_machine {
public:
    task_machine();

    //! \brief Resumes in a phase, for instance from a snapshot.
    explicit task_machine(task_phase phase);

    //! \brief Takes the transition, or returns FailedPrecondition when the chart declares none.
    absl::Status fire(task_event event);

    task_phase phase() const;
    bool isFinal() const;

private:
    statechart::state_machine<task_context> m_machine;
};

//! \brief Whether a task in this phase may still hold resources of a worker.
bool isCharged(task_phase phase);

} // namespace camphorsaddle::placement
