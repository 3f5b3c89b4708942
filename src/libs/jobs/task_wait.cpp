#include "jobs/task_wait.h"

#include <algorithm>

#include "jobs/crash_suspicion.h"
#include "jobs/job_state.h"

namespace camphorsaddle::jobs {

namespace {

    bool isInService(const run_state& run)
    {
        return run.phase == run_phase::Running && run.worker->unansweredObserves == 0;
    }

    task_wait waitForRun(const task_state& task, const run_state& run)
    {
        switch (run.phase) {
        case run_phase::Starting:
            return { wait_cause::StartUnanswered, run.orderedAt, task.withoutRunSince, &run };
        case run_phase::Uncertain:
            return { wait_cause::StartUncertain, run.phaseSince, task.withoutRunSince, &run };
        case run_phase::Running:
            return { wait_cause::WorkerSilent, run.worker->answeredAt, run.worker->answeredAt, &run };
        case run_phase::Stopping:
            break;
        }
        return { wait_cause::RunStopping, run.phaseSince, isStartConfirmed(run) ? run.phaseSince : task.withoutRunSince, &run };
    }

} // namespace

std::optional<task_wait> waitOf(const task_state& task, const start_conditions& conditions, utils::time_point now)
{
    if (task.isDone || std::ranges::any_of(task.runs, [](const auto& run) { return isInService(*run); }))
        return std::nullopt;
    if (!task.runs.empty())
        return waitForRun(task, *task.runs.front());
    if (task.mayRunUnderFormerLeader && conditions.restoringSince)
        return task_wait { wait_cause::FormerLeader, *conditions.restoringSince, task.withoutRunSince };
    if (conditions.suspendedSince)
        return task_wait { wait_cause::StartsSuspended, *conditions.suspendedSince, task.withoutRunSince };
    if (task.isolationSoughtSince != utils::time_point())
        return task_wait { wait_cause::NoIsolatedWorker, task.isolationSoughtSince, task.withoutRunSince };
    if (now < task.notBefore)
        return task_wait { task.possibleCrashes.empty() ? wait_cause::BackOff : wait_cause::CrashUnproven, task.waitingSince, task.withoutRunSince };
    const auto since = std::max(task.waitingSince, task.notBefore);
    return task_wait { task.reservedWorker != nullptr ? wait_cause::Reserved : wait_cause::NotTried, since, task.withoutRunSince };
}

wait_cause placementCause(const place_counts& counts)
{
    if (counts.open == 0)
        return wait_cause::NoOpenWorker;
    return counts.withRoom == 0 ? wait_cause::NoRoom : wait_cause::NotTried;
}

} // namespace camphorsaddle::jobs
