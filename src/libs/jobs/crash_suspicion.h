#pragma once

#include <vector>

#include "jobs/job_state.h"

namespace camphorsaddle::jobs {

//! \brief Runs that may have caused the crash of their worker: those that started last before its last answer, and those whose
//! start wasn't confirmed.
//!
//! \a suspicionTime is the longest time between the confirmation of such a start and the worker's last answer. Returns no runs
//! for a draining worker, which is expected to go.
std::vector<run_state*> crashSuspects(const worker_state& worker, utils::milliseconds suspicionTime);

//! \brief Whether a crash of the worker right after the next start can't be due to another recent start.
bool hasNoRecentStarts(const worker_state& worker, utils::milliseconds suspicionTime, utils::time_point now);

//! \brief Whether the worker has answered \a probationTime after the start of the run.
bool hasSurvivedProbation(const run_state& run, utils::milliseconds probationTime);

//! \brief Whether the worker has confirmed that the run has started.
bool isStartConfirmed(const run_state& run);

//! \brief Whether the task may have crashed a worker.
bool isCrashSuspect(const task_state& task);

} // namespace camphorsaddle::jobs
