#include "jobs/crash_suspicion.h"

#include <algorithm>
#include <iterator>

namespace camphorsaddle::jobs {

namespace {

    // Late crashes of a task's workers from which on another possible one is stored.
    constexpr unsigned minimumStoredLateCrashes = 1;

    bool isRecentStart(const run_state& run, utils::milliseconds suspicionTime)
    {
        return !isStartConfirmed(run) || run.worker->answeredAt <= run.runningSince + suspicionTime;
    }

} // namespace

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
        return !run->isCrashRecorded && !run->isKeptForNextProcess && !run->isAdopted && isRecentStart(*run, suspicionTime);
    });
    return suspects;
}

std::vector<run_state*> lateCrashSuspects(const worker_state& worker, utils::milliseconds suspicionTime, utils::milliseconds soundRunTime)
{
    std::vector<run_state*> suspects;
    if (worker.description.isDraining || worker.suspectRun != nullptr)
        return suspects;
    std::ranges::copy_if(worker.runs, std::back_inserter(suspects), [&](const run_state* run) {
        return !run->isCrashRecorded && !run->isKeptForNextProcess && (run->isAdopted || !isRecentStart(*run, suspicionTime)) && worker.answeredAt <= run->runningSince + soundRunTime;
    });
    return suspects;
}

bool isFreeOfSuspects(const worker_state& worker, utils::milliseconds suspicionTime, utils::time_point now)
{
    return std::ranges::all_of(worker.runs, [&](const run_state* run) {
        if (run->job->steps[run->step].tasks[run->index].lateCrashCount > 0)
            return false;
        return run->isAdopted || (isStartConfirmed(*run) && now > run->runningSince + suspicionTime);
    });
}

bool hasSurvivedProbation(const run_state& run, utils::milliseconds probationTime)
{
    return isStartConfirmed(run) && run.worker->answeredAt >= run.runningSince + probationTime;
}

bool isCrashSuspect(const task_state& task)
{
    return task.crashCount > 0 || task.unconfirmedCrashCount > 0 || std::ranges::any_of(task.possibleCrashes, [](const auto& crash) { return !crash.isLate; });
}

bool mustBeStored(const task_state& task, const possible_crash& crash)
{
    return !crash.isLate || task.lateCrashCount >= minimumStoredLateCrashes;
}

std::vector<possible_crash> storedPossibleCrashes(const task_state& task)
{
    auto crashes = task.possibleCrashes;
    std::erase_if(crashes, [&](const auto& crash) { return !mustBeStored(task, crash); });
    return crashes;
}

} // namespace camphorsaddle::jobs
