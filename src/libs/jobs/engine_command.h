#pragma once

#include <string>
#include <variant>

#include "external/run_control.h"

namespace camphorsaddle::jobs {

//! \brief The process of a worker for which an order was decided. Another process of the worker may execute it.
struct worker_process {
    std::string endpoint;
    //! 0 if unknown.
    std::int64_t incarnation = 0;
    //! Last known time of its clock; 0 if unknown. A lower time in a reply comes from another process.
    external::worker_time clock = 0;

    auto operator<=>(const worker_process&) const = default;
};

//! The process is kept in the engine's state of the run.
struct start_command {
    external::worker_address worker;
    external::run_order order;
};

struct stop_command {
    external::worker_address worker;
    external::run_id run;
    worker_process process;
    std::uint64_t fence = 0;
};

struct pace_command {
    external::worker_address worker;
    external::run_id run;
    int percent = 100;
    std::uint64_t fence = 0;
};

struct observe_command {
    external::worker_address worker;
    external::observe_order order;
    //! Answered at once, while another observation may still wait for a run to end.
    bool isProbe = false;
    worker_process process;
    //! Time of the decision. Within one, observations are sent before starts.
    utils::time_point decidedAt;
};

//! \brief An order to a worker. The caller of the engine sends it and passes the worker's reply back to the engine.
using engine_command = std::variant<start_command, stop_command, pace_command, observe_command>;

enum class engine_event_kind {
    RunStarted,
    RunEnded,
    RunLost,
    RunStopped,
    RunUncertain,
    RunAdopted,
    OrderRefused,
    WorkerSeen,
    WorkerSilent,
    WorkerRestarted,
    JobEnded,
    RestoreEnded,
    Deposed,
    TaskSuspected,
    StartsSuspended,
    StartsResumed,
    PaceOrdered,
    TargetMissed,
    TargetMet,
    FailureUnjudged,
    FormerLeadersEnded,
    CapacityReported,
    TasksWaiting,
    ServiceTaskWaits,
    EndsForgotten,
    EvacuationKnown,
    EvacuationProgress,
    EvacuationEmptied,
    EvacuationEnded,
    ReservationsReported,
};

inline constexpr std::size_t engineEventKindCount = 30;

constexpr absl::string_view toString(engine_event_kind kind)
{
    constexpr absl::string_view names[engineEventKindCount] { "run_started", "run_ended", "run_lost", "run_stopped", "run_uncertain", "run_adopted", "order_refused",
        "worker_seen", "worker_silent", "worker_reborn", "job_ended", "restore_ended", "deposed", "task_suspected", "starts_suspended", "starts_resumed", "pace_ordered", "target_missed", "target_met", "failure_unjudged", "former_leaders_ended", "capacity", "tasks_waiting", "service_task_waits", "ends_forgotten", "evacuation_known", "evacuation_progress", "evacuation_emptied", "evacuation_ended", "reservations" };
    return names[static_cast<std::size_t>(kind)];
}

//! \brief A decision of the engine or a change of its state, for the event log.
struct engine_event {
    engine_event_kind kind = engine_event_kind::RunStarted;
    std::string job;
    //! "step.index/number"; empty if the event concerns no run.
    std::string run;
    std::string worker;
    std::string detail;
    //! The event is part of a run that goes as planned.
    bool isRoutine = false;
};

//! \brief Whether the event sums up a job, an evacuation or the fleet. Without these lines, others can't be put into proportion.
constexpr bool isSummary(engine_event_kind kind)
{
    const bool isOfEvacuation = kind >= engine_event_kind::EvacuationKnown && kind <= engine_event_kind::EvacuationEnded;
    return kind == engine_event_kind::JobEnded || kind == engine_event_kind::CapacityReported || kind == engine_event_kind::TasksWaiting || kind == engine_event_kind::ReservationsReported || isOfEvacuation;
}

} // namespace camphorsaddle::jobs
