#include "jobs/crash_suspicion.h"

#include <algorithm>
#include <iterator>

namespace camphorsaddle::jobs {

bool isStartConfirmed(const run_state& run)
{
    return run.runningSince != utils::time_point();
}

std::vector<run_state*> crashSuspects(const worker_state& worker, utils::milliseconds suspicionTime)
{
    std::vector<run_state*> suspects;
    if (worker.description.isDraining)
        return suspects;
    std::ranges::copy_if(worker.runs, std::back_inserter(suspects), [&](const run_state* run) {
        return !run->isAdopted && (!isStartConfirmed(*run) || worker.answeredAt <= run->runningSince + suspicionTime);
    });
    return suspects;
}

bool hasNoRecentStarts(const worker_state& worker, utils::milliseconds suspicionTime, utils::time_point now)
{
    return std::ranges::all_of(worker.runs, [&](const run_state* run) {
        return run->isAdopted || (isStartConfirmed(*run) && now > run->runningSince + suspicionTime);
    });
}

bool hasSurvivedProbation(const run_state& run, utils::milliseconds probationTime)
{
    return isStartConfirmed(run) && run.worker->answeredAt >= run.runningSince + probationTime;
}

bool isCrashSuspect(const task_state& task)
{
    return task.crashCount > 0 || task.unconfirmedCrashCount > 0 || !task.possibleCrashes.empty();
}

} // namespace camphorsaddle::jobs
