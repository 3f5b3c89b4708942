#include <algorithm>
#include <map>

#include "jobs/job_engine.h"
#include "jobs/placement.h"
#include "jobs/placement_queue.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds balanceInterval { 200 };
    // A task that no worker has room for has been tried at least once by then.
    constexpr utils::milliseconds shortestBlockedWait { 300 };
    constexpr int lowestPriority = 9;
    // Mean over some tens of jobs.
    constexpr double newestChainWeight = 0.05;
    constexpr double processorsPerCore = 1000;
    constexpr double millisecondsPerSecond = 1000;

    // Processors that the worker's services and batch tasks leave, thousandths of a core.
    std::int64_t leftProcessors(const worker_state& worker)
    {
        return std::max<std::int64_t>(idleProcessors(worker) + worker.bestEffortUsage, 0);
    }

    //! Whether the worker will go on running tasks, also if it gets none at the moment because an order to it is unanswered or has failed.
    bool isLasting(const worker_state& worker)
    {
        // In an outage of the store, entries of workers expire that go on working.
        const bool isAnswering = worker.hasAcceptedTerm && worker.unansweredObserves == 0;
        return (worker.isAnnounced || isAnswering) && !worker.description.isDraining && !worker.isEvacuated;
    }

    bool isBlocked(const step_state& step, utils::time_point now)
    {
        return std::ranges::any_of(step.tasks, [&](const auto& task) { return !task.isDone && task.runs.empty() && waitingTime(task, now) >= shortestBlockedWait; });
    }

    bool isBestEffort(const job_spec& job)
    {
        return std::ranges::any_of(job.steps, &step_spec::isBestEffort);
    }

    // Work of a task that takes the given time, in core-seconds.
    double workOf(const step_spec& step, utils::milliseconds duration)
    {
        return static_cast<double>(step.taskResources.processors) / processorsPerCore * static_cast<double>(duration.count()) / millisecondsPerSecond;
    }

    void addWork(std::map<std::string, service_backlog>& backlogs, const job_spec& job, int priority, double work)
    {
        auto& waiting = backlogs[job.service].work[priority];
        (isBestEffort(job) ? waiting.bestEffort : waiting.batch) += work;
    }

} // namespace

bool job_engine::admits(const job_spec& job) const
{
    if (isServiceEvacuated(job.service))
        return false;
    std::int64_t requested = 0;
    for (const auto& step : job.steps)
        requested += step.isLongRunning ? step.taskResources.processors * step.count : 0;
    const auto balance = m_processorBalances.find(job.service);
    if (requested == 0 || balance == m_processorBalances.end() || m_isRestoring || m_startsSuspendedSince)
        return true;
    return admitsLongRunningTasks(balance->second, requested);
}

void job_engine::updateProcessorBalances(utils::time_point now)
{
    if (now < m_balancesUpdatedAt + balanceInterval)
        return;
    m_balancesUpdatedAt = now;
    std::map<std::string, std::int64_t> batchDemand;
    for (auto& entry : m_processorBalances) {
        entry.second.capacity = 0;
        entry.second.longRunning = 0;
        entry.second.requested = 0;
    }
    for (const auto* worker : m_workerList) {
        if (isLasting(*worker)) {
            auto& balance = m_processorBalances[worker->description.service];
            balance.capacity += worker->description.capacity.processors;
            balance.requested += worker->allocated.processors + worker->bestEffortProcessors;
        }
    }
    for (const auto* job : m_activeJobs) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            const auto& step = job->steps[number];
            const auto requested = spec.taskResources.processors * static_cast<std::int64_t>(step.tasks.size() - step.doneCount);
            if (spec.isLongRunning)
                m_processorBalances[job->spec.service].longRunning += requested;
            else if (!spec.isBestEffort && step.isReady)
                batchDemand[job->spec.service] += requested;
        }
    }
    for (const auto& entry : batchDemand)
        m_processorBalances.try_emplace(entry.first);
    for (auto& [service, balance] : m_processorBalances)
        updateBatchDemand(balance, batchDemand[service]);
    updateBacklogs(now);
}

double job_engine::unstartedWork(const job_state& job) const
{
    double work = 0;
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        const auto& step = job.steps[number];
        work += static_cast<double>(step.tasks.size() - step.doneCount - step.busyCount) * workOf(job.spec.steps[number], expectedDuration(job, number).expected);
    }
    return work;
}

double job_engine::remainingWork(const run_state& run, utils::time_point now) const
{
    const auto elapsed = run.runningSince == utils::time_point() ? utils::milliseconds(0) : utils::millisecondsBetween(run.runningSince, now);
    return workOf(run.job->spec.steps[run.step], std::max(expectedDuration(*run.job, run.step).expected - elapsed, utils::milliseconds(0)));
}

int job_engine::priorityOf(const std::string& queue) const
{
    const auto* rules = m_rules.find(queue);
    return rules == nullptr ? lowestPriority : rules->priority;
}

// Jobs that end too late to be of use aren't counted: they wait for all others.
bool job_engine::delaysNewJobs(job_state& job, utils::time_point now) const
{
    const auto deadline = cachedDeadline(job, now);
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        const auto& step = job.steps[number];
        // The chain of a step whose tasks all run counts from its start, which has passed.
        const bool isUnstarted = step.doneCount + step.busyCount < step.tasks.size();
        if (job.spec.steps[number].isLongRunning || (isUnstarted && deadlineMissOf(now + job.remainingChains[number], job.acceptedAt, deadline) == deadlineMissCount - 1))
            return false;
    }
    return true;
}

void job_engine::updateBacklogs(utils::time_point now)
{
    m_backlogs.clear();
    m_publishedForecast.reset();
    m_backlogsUpdatedAt = now;
    // The runs of former leaders aren't all known, or the directory is out of date.
    if (m_isRestoring || m_startsSuspendedSince)
        return;
    std::map<std::string, double> requestedCores;
    for (const auto* worker : m_workerList) {
        if (!isLasting(*worker))
            continue;
        auto& backlog = m_backlogs[worker->description.service];
        backlog.bestEffortCores += static_cast<double>(leftProcessors(*worker)) / processorsPerCore;
        backlog.batchCores += static_cast<double>(std::max<std::int64_t>(worker->description.capacity.processors - worker->longRunningProcessors, 0)) / processorsPerCore;
        for (const auto* run : worker->runs) {
            const auto& spec = run->job->spec.steps[run->step];
            if (!spec.isLongRunning)
                (spec.isBestEffort ? backlog.running.bestEffort : backlog.running.batch) += remainingWork(*run, now);
        }
        requestedCores[worker->description.service] += static_cast<double>(worker->bestEffortProcessors) / processorsPerCore;
    }
    std::map<std::string, double> blockedCores;
    for (auto* job : m_activeJobs) {
        if (!m_backlogs.contains(job->spec.service) || !delaysNewJobs(*job, now))
            continue;
        addWork(m_backlogs, job->spec, priorityOf(job->spec.queue), unstartedWork(*job));
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            const auto& step = job->steps[number];
            const auto unstarted = step.tasks.size() - step.doneCount - step.busyCount;
            if (spec.isBestEffort && step.isReady && unstarted > 0 && isBlocked(step, now))
                blockedCores[job->spec.service] += static_cast<double>(unstarted) * static_cast<double>(spec.taskResources.processors) / processorsPerCore;
        }
    }
    for (auto& [service, backlog] : m_backlogs) {
        auto& share = m_usableShares[service];
        // Without enough waiting tasks to fill what is left, the requests show the demand and not what can be used.
        if (requestedCores[service] + blockedCores[service] >= backlog.bestEffortCores)
            share = updateUsableShare(share, requestedCores[service], backlog.bestEffortCores);
        backlog.bestEffortCores *= share.value;
    }
    publishBacklogs(now);
}

void job_engine::publishBacklogs(utils::time_point now)
{
    m_publishedForecast = published_forecast { {}, now };
    const auto isLong = [](const service_backlog& backlog) {
        return std::max(backlogTime(backlog, lowestPriority, true), backlogTime(backlog, lowestPriority, false)) >= shortestPublishedBacklog;
    };
    // A large configuration has thousands of queues.
    if (std::ranges::none_of(m_backlogs, [&](const auto& entry) { return isLong(entry.second); }))
        return;
    for (const auto& queue : m_rules.rules().queues) {
        const auto backlog = m_backlogs.find(queue.service);
        if (queue.priority <= 0 || backlog == m_backlogs.end() || !isLong(backlog->second))
            continue;
        m_publishedForecast->queues[queue.name] = { backlogTime(backlog->second, queue.priority, true), backlogTime(backlog->second, queue.priority, false), durationRatioOf(queue.name), meanChainOf(queue.name) };
        if (m_publishedForecast->queues.size() == maximumPublishedQueues)
            return;
    }
}

const std::optional<published_forecast>& job_engine::publishedForecast() const
{
    return m_publishedForecast;
}

void job_engine::noteAcceptedWork(const job_state& job)
{
    if (std::ranges::any_of(job.spec.steps, &step_spec::isLongRunning))
        return;
    const auto declared = static_cast<double>(longestChain(job.spec, 1).count());
    auto& mean = m_meanDeclaredChains.try_emplace(job.spec.queue, declared).first->second;
    mean += newestChainWeight * (declared - mean);
    if (m_backlogs.contains(job.spec.service))
        addWork(m_backlogs, job.spec, priorityOf(job.spec.queue), unstartedWork(job));
}

utils::milliseconds job_engine::meanChainOf(const std::string& queue) const
{
    const auto mean = m_meanDeclaredChains.find(queue);
    return utils::milliseconds(mean == m_meanDeclaredChains.end() ? 0 : static_cast<std::int64_t>(durationRatioOf(queue) * mean->second));
}

double job_engine::durationRatioOf(const std::string& queue) const
{
    const auto ratio = m_durationRatios.find(queue);
    return ratio == m_durationRatios.end() ? 1 : ratio->second;
}

size_group job_engine::sizeGroupOf(const job_spec& job)
{
    double coreSeconds = 0;
    for (const auto& step : job.steps)
        coreSeconds += step.count * workOf(step, step.estimate);
    return m_outcomes.classify(job.queue, durationRatioOf(job.queue) * coreSeconds);
}

void job_engine::noteRefusal(const job_spec& job)
{
    m_outcomes.count(job.queue, sizeGroupOf(job), job_outcome::Refused);
}

void job_engine::countEnd(const job_state& job)
{
    if (job.phase == job_phase::Cancelled)
        return;
    const auto allowed = deadlineOf(job) - job.acceptedAt;
    const auto taken = job.endedAt - job.acceptedAt;
    auto outcome = job_outcome::NotServed;
    if (job.phase == job_phase::Completed && taken <= 3 * allowed)
        outcome = taken <= allowed ? job_outcome::InTime : job_outcome::Late;
    m_outcomes.count(job.spec.queue, job.sizeGroup, outcome);
}

std::map<std::string, job_outcomes::group_counts> job_engine::takeOutcomes()
{
    return m_outcomes.take();
}

std::optional<forecast_refusal> job_engine::forecastRefusal(const job_spec& job, utils::time_point now) const
{
    const auto backlog = m_backlogs.find(job.service);
    const auto* rules = m_rules.find(job.queue);
    if (backlog == m_backlogs.end() || rules == nullptr || std::ranges::any_of(job.steps, &step_spec::isLongRunning))
        return std::nullopt;
    const admission_request request { job.id, rules->priority, plausibleChain(job, durationRatioOf(job.queue), meanChainOf(job.queue)), rules->slackFactor, rules->targetLatency };
    const auto time = backlogTime(backlog->second, rules->priority, isBestEffort(job));
    const auto retryAfter = decideRefusal(request, time, m_backlogsUpdatedAt, now);
    if (!retryAfter)
        return std::nullopt;
    return forecast_refusal { *retryAfter, expectedWait(request, time), slackOf(request), isBestEffort(job) ? backlog->second.bestEffortCores : backlog->second.batchCores };
}

} // namespace camphorsaddle::jobs
