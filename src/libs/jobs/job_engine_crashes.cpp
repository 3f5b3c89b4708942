#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jobs/crash_suspicion.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // Crashes of a task's workers after which its job fails: fewer if no other run can have caused the last one.
    constexpr unsigned maximumCrashesInIsolation = 2;
    constexpr unsigned maximumCrashes = 3;
    // The same for all crashes, if some starts were never confirmed: one of these may not have been executed.
    constexpr unsigned maximumPossibleCrashesInIsolation = 4;
    constexpr unsigned maximumPossibleCrashes = 5;
    // The same for crashes later after a start, where a task has often only been beside the one that caused them, and for
    // crashes at any time.
    constexpr unsigned maximumLateCrashes = 4;
    constexpr unsigned maximumCrashesAtAnyTime = 5;
    // Interval between searches for a worker on which a suspected task is isolated.
    constexpr utils::milliseconds isolationSearchInterval { 50 };

    //! \brief Whether a task is to be given up after a crash; \a isIsolated if no other run can have caused it.
    bool hasCrashedTooOften(const task_state& task, bool isIsolated)
    {
        if (task.lateCrashCount >= maximumLateCrashes || task.crashCount + task.lateCrashCount >= maximumCrashesAtAnyTime)
            return true;
        const auto possibleCrashes = task.crashCount + task.unconfirmedCrashCount;
        return task.crashCount >= (isIsolated ? maximumCrashesInIsolation : maximumCrashes) || possibleCrashes >= (isIsolated ? maximumPossibleCrashesInIsolation : maximumPossibleCrashes);
    }

    unsigned& crashCounter(task_state& task, const possible_crash& crash)
    {
        if (crash.isLate)
            return task.lateCrashCount;
        return crash.isConfirmed ? task.crashCount : task.unconfirmedCrashCount;
    }

    unsigned provenCrashes(const task_state& task)
    {
        return task.crashCount + task.unconfirmedCrashCount + task.lateCrashCount;
    }

} // namespace

void job_engine::recordPossibleCrash(worker_state& worker)
{
    for (const auto* run : worker.runs) {
        auto& task = taskOf(*run);
        if (task.lateCrashCount > 0 && worker.answeredAt > run->runningSince + m_settings.soundRunTime) {
            task.lateCrashCount = 0;
            markChanged(*run->job);
        }
    }
    for (auto* run : lateCrashSuspects(worker, m_settings.crashSuspicionTime, m_settings.soundRunTime)) {
        if (!isFinal(run->job->phase))
            addPossibleCrash(*run, /*isLate=*/true);
    }
    for (auto* run : crashSuspects(worker, m_settings.crashSuspicionTime)) {
        if (isFinal(run->job->phase))
            continue;
        addPossibleCrash(*run, /*isLate=*/false);
        const auto& task = taskOf(*run);
        reportEvent(engine_event_kind::TaskSuspected, *run, absl::StrCat("its worker may have crashed, crashes=", task.crashCount, " isolated=", task.possibleCrashes.back().isIsolated ? "true" : "false"));
    }
}

void job_engine::addPossibleCrash(run_state& run, bool isLate)
{
    run.isCrashRecorded = true;
    auto& task = taskOf(run);
    auto& worker = *run.worker;
    task.possibleCrashes.push_back({ run.number, worker.description.id, worker.description.endpoint, worker.description.incarnation, isStartConfirmed(run), &run == worker.suspectRun && run.isIsolated, isLate });
    worker.suspectedTasks.push_back(idOf(run).task);
    if (mustBeStored(task, task.possibleCrashes.back()))
        markChanged(*run.job);
}

void job_engine::resolvePossibleCrash(worker_state& worker, bool hasCrashed, utils::time_point now)
{
    if (worker.suspectedTasks.empty())
        return;
    if (!hasCrashed) {
        for (auto* run : worker.runs)
            run->isCrashRecorded = false;
    }
    for (const auto& id : std::exchange(worker.suspectedTasks, {})) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task == nullptr)
            continue;
        const auto crash = std::ranges::find(task->possibleCrashes, worker.description.id, &possible_crash::worker);
        if (crash == task->possibleCrashes.end())
            continue;
        const auto resolved = *crash;
        const bool isStored = mustBeStored(*task, resolved);
        task->possibleCrashes.erase(crash);
        if (task->isDone || isFinal(job->phase) || (!hasCrashed && !isStored))
            continue;
        markChanged(*job);
        if (hasCrashed)
            ++crashCounter(*task, resolved);
        m_onEvent({ engine_event_kind::TaskSuspected, id.job, absl::StrCat(id.step, ".", id.index, "/", resolved.run), worker.description.id,
            absl::StrCat(hasCrashed ? "its worker has crashed" : "its worker has not crashed", ", crashes=", task->crashCount, " unconfirmed=", task->unconfirmedCrashCount, " late=", task->lateCrashCount, " isolated=", resolved.isIsolated ? "true" : "false") });
        if (hasCrashed && hasCrashedTooOften(*task, resolved.isIsolated))
            endJob(*job, job_phase::Failed, now, absl::StrCat("task ", id.step, ".", id.index, " crashed ", provenCrashes(*task), " workers"));
    }
}

void job_engine::restorePossibleCrashes(utils::time_point now)
{
    for (auto* job : m_activeJobs) {
        for (unsigned step = 0; step < job->steps.size(); ++step) {
            for (unsigned index = 0; index < job->steps[step].tasks.size(); ++index) {
                for (const auto& crash : job->steps[step].tasks[index].possibleCrashes) {
                    auto& worker = ensureWorker(crash.worker, now);
                    worker.description.id = crash.worker;
                    worker.description.endpoint = crash.workerEndpoint;
                    worker.description.incarnation = crash.workerIncarnation;
                    worker.suspectedTasks.push_back({ job->spec.id, 0, step, index });
                }
            }
        }
    }
}

// A task that was suspected before waits for the proof that its unresponsive worker has crashed.
void job_engine::delaySuspectedTasks(const worker_state& worker, utils::time_point now)
{
    for (const auto& id : worker.suspectedTasks) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task != nullptr && provenCrashes(*task) + storedPossibleCrashes(*task).size() >= maximumCrashesInIsolation)
            task->notBefore = now + m_settings.crashResolutionTime;
    }
}

// The run may crash the worker with all that runs there, so the worker with the fewest runs is chosen.
worker_state* job_engine::chooseWorkerForSuspect(const job_state& job, unsigned step, bool isIsolated, utils::time_point now, const placement_requirement& needed) const
{
    worker_state* best = nullptr;
    double bestCost = 0;
    for (auto* candidate : m_workerList) {
        if (isIsolated && !isFreeOfSuspects(*candidate, m_settings.crashSuspicionTime, now))
            continue;
        auto cost = costOf(*candidate, job, step, now, needed);
        if (!cost)
            continue;
        *cost += static_cast<double>(candidate->runs.size());
        if (best == nullptr || *cost < bestCost) {
            best = candidate;
            bestCost = *cost;
        }
    }
    return best;
}

worker_state* job_engine::startSuspectedTask(job_state& job, unsigned step, unsigned index, utils::time_point now, const placement_requirement& needed, std::vector<engine_command>& commands)
{
    auto& task = job.steps[step].tasks[index];
    releaseReservation(job, step, task);
    if (task.isolationSoughtSince == utils::time_point())
        task.isolationSoughtSince = now;
    const bool isIsolated = now <= task.isolationSoughtSince + m_settings.isolationTimeout;
    auto* worker = chooseWorkerForSuspect(job, step, isIsolated, now, needed);
    if (worker == nullptr) {
        task.notBefore = now + isolationSearchInterval;
        return nullptr;
    }
    // Dozens of suspected tasks would wait for one another's probations after many workers were lost.
    const bool isOnProbation = now <= task.isolationSoughtSince + m_settings.longestSuspectWait;
    task.isolationSoughtSince = {};
    startTask(job, step, index, *worker, now, commands);
    if (!isOnProbation)
        return worker;
    worker->suspectRun = task.runs.back().get();
    worker->suspectRun->isIsolated = isIsolated;
    return worker;
}

void job_engine::reviewSuspectRun(worker_state& worker, utils::time_point now)
{
    const auto* run = worker.suspectRun;
    if (run == nullptr)
        return;
    if (hasSurvivedProbation(*run, m_settings.probationTime) || now >= run->orderedAt + m_settings.longestProbation) {
        worker.suspectRun = nullptr;
        m_mayStartTasks = true;
        return;
    }
    const bool isProbationOver = isStartConfirmed(*run) && now >= run->runningSince + m_settings.probationTime;
    if (isProbationOver && !worker.isProbePending)
        worker.needsProbe = true;
}

} // namespace camphorsaddle::jobs
