#pragma once

#include <vector>

#include "jobs/job_state.h"

namespace camphorsaddle::jobs {

//! \brief Runs that may have caused the crash of their worker: those that started last before its last answer, and those whose
//! start wasn't confirmed. Runs of which that is recorded already are left out.
//!
//! \a suspicionTime is the longest time between the confirmation of such a start and the worker's last answer. Returns no runs
//! for a draining worker, which is expected to go.
std::vector<run_state*> crashSuspects(const worker_state& worker, utils::milliseconds suspicionTime);

//! \brief Other runs that a crash of their worker may be due to: those that started at most \a soundRunTime before its last answer.
//! Runs of which that is recorded already are left out.
//!
//! An adopted run counts from its adoption. Returns no runs while a suspected task is on probation, which is then the likely cause.
std::vector<run_state*> lateCrashSuspects(const worker_state& worker, utils::milliseconds suspicionTime, utils::milliseconds soundRunTime);

//! \brief Whether a crash of the worker right after the next start is hardly due to another run: none has started recently, and
//! no task that runs there has lost a worker before.
bool isFreeOfSuspects(const worker_state& worker, utils::milliseconds suspicionTime, utils::time_point now);

//! \brief Whether the worker has answered \a probationTime after the start of the run.
bool hasSurvivedProbation(const run_state& run, utils::milliseconds probationTime);

//! \brief Whether the worker has confirmed that the run has started.
bool isStartConfirmed(const run_state& run);

//! \brief Whether the task may have crashed a worker right after its start.
bool isCrashSuspect(const task_state& task);

//! \brief Whether the next leader has to resolve the task's possible crash.
//!
//! That holds for a late one only if the task's workers have crashed repeatedly before: each run of a silent worker has one.
bool mustBeStored(const task_state& task, const possible_crash& crash);
std::vector<possible_crash> storedPossibleCrashes(const task_state& task);

} // namespace camphorsaddle::jobs
