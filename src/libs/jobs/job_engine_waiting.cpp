#include <algorithm>
#include <map>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "jobs/crash_suspicion.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds waitingReportInterval { 3000 };
    // Service tasks that have had a confirmed run more recently aren't logged.
    constexpr utils::milliseconds shortestReportedWait { 3000 };
    constexpr std::size_t serviceWaitsPerReport = 20;

    //! Tasks of one queue and kind that wait for a worker.
    struct waiting_summary {
        std::size_t taskCount = 0;
        std::size_t lateTaskCount = 0;
        std::size_t overdueTaskCount = 0;
        utils::milliseconds longestWait { 0 };
        //! Step with the largest tasks in processors.
        const step_spec* largest = nullptr;
    };

    std::string_view kindOf(const step_spec& step)
    {
        if (step.isLongRunning)
            return "service";
        return step.isBestEffort ? "best_effort" : "batch";
    }

    // Value of sorted numbers that the given share of them doesn't exceed.
    std::int64_t quantile(const std::vector<std::int64_t>& sorted, double share)
    {
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    }

} // namespace

bool job_engine::isWaiting(const job_state& job, unsigned step, const task_state& task, utils::time_point now) const
{
    ++m_waitingChecks;
    if (task.isDone || task.isFailureUnjudged || now < task.notBefore || (task.mayRunUnderFormerLeader && m_isRestoring))
        return false;
    if (task.runs.empty())
        return true;
    // Only a run that has certainly started and then stalled gets a speculative copy.
    return job.spec.steps[step].speculative && !isCrashSuspect(task) && task.runs.size() == 1 && task.runs.front()->phase == run_phase::Running
        && std::ranges::find(task.avoidedWorkers, task.runs.front()->worker->description.id) != task.avoidedWorkers.end() && task.failedRuns.size() + 1 < maximumAttemptsOf(job).value_or(1);
}

// The tasks of the steps are looked at only when their turn comes: with a long backlog most steps find no worker.
std::vector<job_engine::waiting_step> job_engine::waitingSteps(utils::time_point now) const
{
    std::vector<waiting_step> result;
    for (auto* job : m_activeJobs) {
        const auto* rules = rulesOf(*job);
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& step = job->steps[number];
            const auto& spec = job->spec.steps[number];
            const bool allTasksRun = step.doneCount + step.busyCount == step.tasks.size();
            if (!step.isReady || (allTasksRun && !spec.speculative) || now < step.searchNotBefore)
                continue;
            const auto deadline = cachedDeadline(*job, now);
            const auto deadlineMiss = deadlineMissOf(now + job->remainingChains[number], job->acceptedAt, deadline);
            result.push_back({ job, number, { spec.isLongRunning, deadlineMiss, rules == nullptr ? 9 : rules->priority, job->phase == job_phase::Running, deadline } });
        }
    }
    std::ranges::stable_sort(result, precedes, &waiting_step::traits);
    return result;
}

placement_requirement job_engine::requirementFor(const std::string& service, utils::milliseconds waited) const
{
    const auto balance = m_processorBalances.find(service);
    return jobs::requirementFor(waited, balance == m_processorBalances.end() ? 0 : requestedShare(balance->second));
}

void job_engine::reportWaitingTasks(utils::time_point now)
{
    if (now < m_waitingReportedAt + waitingReportInterval)
        return;
    m_waitingReportedAt = now;
    reportCapacity(now);
    reportReservations();
    reportServiceWaits(now);
    std::map<std::pair<std::string, std::string_view>, waiting_summary> summaries;
    for (const auto& waiting : waitingSteps(now)) {
        const auto& spec = waiting.job->spec.steps[waiting.step];
        const auto& tasks = waiting.job->steps[waiting.step].tasks;
        auto& summary = summaries[{ waiting.job->spec.queue, kindOf(spec) }];
        for (const auto& task : tasks) {
            if (!isWaiting(*waiting.job, waiting.step, task, now))
                continue;
            ++summary.taskCount;
            summary.lateTaskCount += waiting.traits.deadlineMiss == 1 ? 1 : 0;
            summary.overdueTaskCount += waiting.traits.deadlineMiss == 2 ? 1 : 0;
            summary.longestWait = std::max(summary.longestWait, waitingTime(task, now));
            if (summary.largest == nullptr || spec.taskResources.processors > summary.largest->taskResources.processors)
                summary.largest = &spec;
        }
    }
    for (const auto& [key, summary] : summaries) {
        if (summary.largest == nullptr)
            continue;
        const auto needed = reservedResources(*summary.largest);
        std::size_t withProcessors = 0;
        std::size_t withMemory = 0;
        std::size_t withBoth = 0;
        for (const auto* worker : m_workerList) {
            if (!worker->isOnRoster || !isOpenForTasks(*worker, m_settings, now))
                continue;
            const auto free = worker->description.capacity - worker->allocated;
            withProcessors += needed.processors <= free.processors ? 1 : 0;
            withMemory += needed.memory <= free.memory ? 1 : 0;
            withBoth += needed.fitsIn(free) ? 1 : 0;
        }
        m_onEvent({ engine_event_kind::TasksWaiting, "", "", "",
            absl::StrCat("queue=", key.first, " kind=", std::string(key.second), " tasks=", summary.taskCount, " late=", summary.lateTaskCount, " overdue=", summary.overdueTaskCount, " longest_wait_ms=", summary.longestWait.count(),
                " largest_processors=", needed.processors, " largest_memory=", needed.memory, " workers_with_processors=", withProcessors, " workers_with_memory=", withMemory, " workers_with_both=", withBoth) });
    }
}

void job_engine::reportServiceWaits(utils::time_point now)
{
    const start_conditions conditions { m_isRestoring ? std::optional(m_termStartedAt) : std::nullopt, m_startsSuspendedSince };
    std::map<wait_cause, std::vector<service_wait>> waitsByCause;
    for (const auto* job : m_activeJobs) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& tasks = job->steps[number].tasks;
            if (!job->spec.steps[number].isLongRunning || !job->steps[number].isReady)
                continue;
            for (unsigned index = 0; index < tasks.size(); ++index) {
                const auto wait = waitOf(tasks[index], conditions, now);
                if (wait && now >= wait->withoutRunSince + shortestReportedWait)
                    waitsByCause[wait->cause].push_back({ job, number, index, *wait });
            }
        }
    }
    for (auto& entry : waitsByCause)
        std::ranges::stable_sort(entry.second, {}, [](const auto& waiting) { return waiting.wait.withoutRunSince; });
    // A cause that holds many tasks doesn't displace the others.
    std::size_t reportedCount = 0;
    for (std::size_t rank = 0; rank < serviceWaitsPerReport; ++rank) {
        for (const auto& entry : waitsByCause) {
            if (rank >= entry.second.size() || reportedCount == serviceWaitsPerReport)
                continue;
            ++reportedCount;
            reportServiceWait(entry.second[rank], entry.second.size(), now);
        }
    }
}

void job_engine::reportServiceWait(const service_wait& waiting, std::size_t taskCount, utils::time_point now)
{
    const auto& task = waiting.job->steps[waiting.step].tasks[waiting.index];
    auto cause = waiting.wait.cause;
    std::string worker;
    std::string detail;
    if (waiting.wait.run != nullptr) {
        worker = waiting.wait.run->worker->description.id;
        detail = absl::StrCat(" number=", waiting.wait.run->number, " data_centre=", waiting.wait.run->worker->description.dataCentre);
    } else if (cause == wait_cause::FormerLeader) {
        detail = absl::StrCat(" unconfirmed_workers=", m_unconfirmedWorkers.size());
    } else if (cause == wait_cause::BackOff || cause == wait_cause::CrashUnproven) {
        detail = absl::StrCat(" not_before_ms=", utils::millisecondsBetween(now, task.notBefore).count());
    } else if (cause == wait_cause::Reserved) {
        worker = task.reservedWorker->description.id;
        detail = absl::StrCat(" reserved_ms=", utils::millisecondsBetween(now, task.reservedUntil).count());
    } else if (cause == wait_cause::NotTried || cause == wait_cause::NoIsolatedWorker) {
        const auto counts = countPlaces(*waiting.job, waiting.step, task, now);
        if (cause == wait_cause::NotTried || counts.withRoom == 0)
            cause = placementCause(counts);
        detail = absl::StrCat(" open_workers=", counts.open, " workers_with_room=", counts.withRoom);
    }
    m_onEvent({ engine_event_kind::ServiceTaskWaits, waiting.job->spec.id, absl::StrCat(waiting.step, ".", waiting.index), worker,
        absl::StrCat("cause=", std::string(toString(cause)), " since_ms=", utils::millisecondsBetween(waiting.wait.since, now).count(), " without_run_ms=", utils::millisecondsBetween(waiting.wait.withoutRunSince, now).count(), " tasks=", taskCount, detail) });
}

place_counts job_engine::countPlaces(const job_state& job, unsigned step, const task_state& task, utils::time_point now) const
{
    place_counts counts;
    for (const auto* worker : m_workerList) {
        if (!worker->isOnRoster || worker->description.service != job.spec.service || !isOpenForTasks(*worker, m_settings, now))
            continue;
        ++counts.open;
        counts.withRoom += !isExcluded(task, *worker, now) && costOf(*worker, job, step, now, requirementFor(job.spec.service, utils::milliseconds(0))) ? 1 : 0;
    }
    return counts;
}

void job_engine::reportCapacity(utils::time_point now)
{
    model::resources capacity;
    model::resources allocated;
    std::int64_t longRunning = 0;
    std::int64_t bestEffort = 0;
    std::int64_t longRunningUsage = 0;
    std::int64_t bestEffortUsage = 0;
    std::vector<std::int64_t> free;
    for (const auto* worker : m_workerList) {
        if (!worker->isOnRoster || !isOpenForTasks(*worker, m_settings, now))
            continue;
        capacity = capacity + worker->description.capacity;
        allocated = allocated + worker->allocated;
        longRunning += worker->longRunningProcessors;
        bestEffort += worker->bestEffortProcessors;
        longRunningUsage += worker->longRunningUsage;
        bestEffortUsage += worker->bestEffortUsage;
        free.push_back(worker->description.capacity.processors - worker->allocated.processors);
    }
    std::ranges::sort(free);
    m_onEvent({ engine_event_kind::CapacityReported, "", "", "",
        absl::StrCat("workers=", free.size(), " processors=", capacity.processors, " allocated=", allocated.processors, " services=", longRunning, " best_effort=", bestEffort, " services_usage=", longRunningUsage, " best_effort_usage=", bestEffortUsage, " memory=", capacity.memory, " allocated_memory=", allocated.memory,
            " free_p10=", quantile(free, 0.1), " free_p50=", quantile(free, 0.5), " free_p90=", quantile(free, 0.9), " free_p99=", quantile(free, 0.99), " free_max=", free.empty() ? 0 : free.back()) });
}

} // namespace camphorsaddle::jobs
