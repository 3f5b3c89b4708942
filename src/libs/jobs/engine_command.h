#pragma once

#include <string>
#include <variant>

#include "external/run_control.h"

namespace camphorsaddle::jobs {

struct start_command {
    external::worker_address worker;
    external::run_order order;
};

struct stop_command {
    external::worker_address worker;
    external::run_id run;
};

struct pace_command {
    external::worker_address worker;
    external::run_id run;
    int percent = 100;
};

struct observe_command {
    external::worker_address worker;
    external::observe_order order;
    //! A second observation beside the waiting one.
    bool isProbe = false;
};

//! \brief An order of the engine to a worker; its answer is handed back to the engine.
using engine_command = std::variant<start_command, stop_command, pace_command, observe_command>;

enum class note_kind {
    RunStarted,
    RunEnded,
    RunLost,
    RunStopped,
    RunUncertain,
    RunAdopted,
    OrderRefused,
    WorkerSeen,
    WorkerSilent,
    WorkerReborn,
    JobEnded,
    RestoreEnded,
    Deposed,
};

inline constexpr std::size_t noteKindCount = 13;

constexpr absl::string_view toString(note_kind kind)
{
    constexpr absl::string_view names[noteKindCount] { "run_started", "run_ended", "run_lost", "run_stopped", "run_uncertain", "run_adopted", "order_refused",
        "worker_seen", "worker_silent", "worker_reborn", "job_ended", "restore_ended", "deposed" };
    return names[static_cast<std::size_t>(kind)];
}

//! \brief A decision or a change of what the engine believes, for the log.
struct engine_event {
    note_kind kind = note_kind::RunStarted;
    std::string job;
    //! "step.index/number", empty when the note is about no run.
    std::string run;
    std::string worker;
    std::string detail;
};

} // namespace camphorsaddle::jobs
