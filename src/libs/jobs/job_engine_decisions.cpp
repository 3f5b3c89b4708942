#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jobs/crash_suspicion.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds reviewInterval { 50 };
    // Runs are judged by reports, which are half a second apart.
    constexpr utils::milliseconds stallReviewInterval { 200 };
    constexpr utils::milliseconds deadlineUpdateInterval { 500 };
    // Interval between searches for a best-effort task that fits nowhere. Reports, which are half a second apart, decide
    // whether it fits.
    constexpr utils::milliseconds bestEffortSearchInterval { 50 };
    // Limits the processor time that moves of crawling runs take; each search evaluates the whole fleet.
    constexpr std::size_t moveSearchesPerReview = 32;
    // Weights of the blocked demand relative to the share of used capacity (service tasks), and to headroom and idle
    // processors (best-effort tasks).
    constexpr double serviceBlockedDemandWeight = 4.0;
    constexpr double bestEffortBlockedDemandWeight = 0.5;
    // Share of a step's tasks on one worker, above which further tasks prefer other workers.
    constexpr double maximumShareOnWorker = 0.125;
    constexpr double crowdedWorkerCost = 1;
    // Share of free processors that another worker may have more, without a recent start.
    constexpr double recentStartCost = 0.2;

    //! Position among the orders of a decision. When sending takes long, a late stop or lease renewal breaks a promise, and a
    //! late start costs only time.
    int positionOf(const engine_command& command)
    {
        if (std::holds_alternative<stop_command>(command))
            return 0;
        if (std::holds_alternative<observe_command>(command))
            return 1;
        return std::holds_alternative<pace_command>(command) ? 2 : 3;
    }

} // namespace

std::vector<engine_command> job_engine::decideCommands(utils::time_point now)
{
    std::vector<engine_command> commands;
    const bool mayStartNow = mayStart(now);
    if (std::exchange(m_mayJudgeFailures, false))
        judgeWaitingFailures(now);
    // Decisions that depend on elapsed time only are made at intervals, those that replies cause at each call.
    if (now >= m_reviewedAt + reviewInterval) {
        m_reviewedAt = now;
        for (auto& entry : m_paths)
            entry.second.cost = pathCost(entry.second, now);
        endRestorationIfComplete(now);
        promiseWaits(now);
        expireLeases(now);
        // A task that leaves its worker has to be started on another one.
        if (mayStartNow) {
            moveTasksFromDrainingWorkers(now);
            moveServicesFromEvacuatedWorkers(now);
        }
        if (mayStartNow && now >= m_stallsReviewedAt + stallReviewInterval) {
            m_stallsReviewedAt = now;
            handleStalledRuns(now);
            moveRunsFromEvacuatedWorkers(now);
        }
        reviewEvacuations(now);
        m_reservationSearches = reservationSearchesPerReview;
        releaseExpiredReservations(now);
        if (mayStartNow)
            rebalanceServiceTasks(now);
        for (auto* worker : m_workerList) {
            reviewSuspectRun(*worker, now);
            paceBestEffortRuns(*worker, now, commands);
            queueForOrders(*worker);
        }
        updateProcessorBalances(now);
        reportWaitingTasks(now);
        m_mayStartTasks = true;
    }
    if (m_mayStartTasks && mayStartNow) {
        startWaitingTasks(now, commands);
        m_mayStartTasks = false;
    }
    appendOrders(now, commands);
    std::ranges::stable_sort(commands, {}, positionOf);
    return commands;
}

void job_engine::confirmDirectory(utils::time_point at)
{
    m_directoryConfirmedAt = std::max(m_directoryConfirmedAt, at);
}

void job_engine::confirmCancellations(utils::time_point at)
{
    m_cancellationsConfirmedAt = std::max(m_cancellationsConfirmedAt, at);
}

bool job_engine::mayStart(utils::time_point now)
{
    const bool areEvacuationsRecent = !m_settings.maximumEvacuationsAge || m_evacuations.isRecent(now, *m_settings.maximumEvacuationsAge);
    const bool isRecent = now <= m_directoryConfirmedAt + m_settings.maximumDirectoryAge && now <= m_cancellationsConfirmedAt + m_settings.maximumCancellationsAge && areEvacuationsRecent;
    if (isRecent != m_startsSuspendedSince.has_value())
        return isRecent;
    m_startsSuspendedSince = isRecent ? std::nullopt : std::optional(now);
    const auto age = [&](utils::time_point at) {
        return at == utils::time_point() ? -1 : std::chrono::duration_cast<utils::milliseconds>(now - at).count();
    };
    m_onEvent({ isRecent ? engine_event_kind::StartsResumed : engine_event_kind::StartsSuspended, "", "", "", absl::StrCat("directory_age_ms=", age(m_directoryConfirmedAt), " cancellations_age_ms=", age(m_cancellationsConfirmedAt), m_settings.maximumEvacuationsAge ? absl::StrCat(" evacuations_age_ms=", age(m_evacuations.confirmedAt())) : std::string()) });
    return isRecent;
}

void job_engine::queueForOrders(worker_state& worker)
{
    if (std::exchange(worker.isQueuedForOrders, true))
        return;
    m_workersQueuedForOrders.push_back(&worker);
}

// A worker needs orders only after something about it has changed. Repetitions and timeouts are found by the review, which
// queues all workers.
void job_engine::appendOrders(utils::time_point now, std::vector<engine_command>& commands)
{
    for (auto* worker : std::exchange(m_workersQueuedForOrders, {})) {
        ++m_orderChecks;
        worker->isQueuedForOrders = false;
        appendStopCommands(*worker, now, commands);
        appendObserveCommands(*worker, now, commands);
    }
}

void job_engine::confirmLeadership(utils::time_point until)
{
    m_leadershipCertainUntil = until;
}

void job_engine::expireLeases(utils::time_point now)
{
    if (now >= m_leadershipCertainUntil)
        return;
    for (auto* worker : m_workerList) {
        if (worker->unansweredObserves == 0 || worker->runs.empty() || now < worker->leaseExpiresAt)
            continue;
        closeRunsAsLost(*worker, worker_loss::LeaseExpired, now, "the lease of its unresponsive worker has expired");
        worker->hasAcceptedTerm = false;
    }
}

void job_engine::moveTasksFromDrainingWorkers(utils::time_point now)
{
    for (auto* worker : m_workerList) {
        if (!worker->description.isDraining)
            continue;
        for (auto* run : worker->runs) {
            const auto& spec = run->job->spec.steps[run->step];
            if (run->phase == run_phase::Running && spec.isLongRunning && spec.maximumUnavailableTasks == 0)
                stopRun(*run, now, "its worker is draining");
        }
    }
}

// Service tasks prefer workers that already block their antagonists. Best-effort tasks prefer workers with much blocked
// demand and leave the others to the images that are blocked there.
double job_engine::blockedDemandCost(const worker_state& worker, const step_spec& step, image_index image) const
{
    if (step.isLongRunning && step.latencyTarget.count() > 0)
        return serviceBlockedDemandWeight * m_blockedDemand.costOfAdding(worker.blockerCounts, m_interference.antagonists(image));
    return step.isBestEffort ? -bestEffortBlockedDemandWeight * worker.blockedDemand : 0;
}

// Limits how much of a step is lost with one worker, and how many batch tasks are suspected of its crash.
double job_engine::crowdingCost(const worker_state& worker, const job_state& job, unsigned step, utils::time_point now) const
{
    const auto& spec = job.spec.steps[step];
    if (spec.isBestEffort)
        return 0;
    const auto count = runsOfStep(worker, job, step);
    if (count > 0 && count + 1 > maximumShareOnWorker * spec.count)
        return crowdedWorkerCost;
    const bool hasRecentStart = !spec.isLongRunning && std::ranges::any_of(worker.runs, [&](const auto* run) { return now < run->orderedAt + m_settings.crashSuspicionTime; });
    return hasRecentStart ? recentStartCost : 0;
}

std::optional<double> job_engine::costOf(const worker_state& worker, const job_state& job, unsigned step, utils::time_point now, const placement_requirement& needed) const
{
    ++m_evaluatedPlacements;
    const auto& spec = job.spec.steps[step];
    const auto image = job.steps[step].image;
    if (!worker.isOnRoster || !mayPlace(worker, spec, job.spec.service, m_settings, now))
        return std::nullopt;
    if (spec.maximumTasksPerWorker > 0 && runsOfStep(worker, job, step) >= spec.maximumTasksPerWorker)
        return std::nullopt;
    if (hasRecentColdStart(worker, now) || (spec.isBestEffort && !bestEffortFits(worker, spec, image, m_interference, needed)))
        return std::nullopt;
    return placementCost(worker, spec, image, m_interference) + coldCost(worker, now) + blockedDemandCost(worker, spec, image) + crowdingCost(worker, job, step, now) + worker.path->cost;
}

worker_state* job_engine::chooseWorker(const job_state& job, unsigned step, const task_state& task, utils::time_point now, const placement_requirement& needed) const
{
    worker_state* best = nullptr;
    double bestCost = 0;
    for (auto* candidate : m_workerList) {
        if (isExcluded(task, *candidate, now))
            continue;
        auto cost = costOf(*candidate, job, step, now, needed);
        if (!cost)
            continue;
        *cost += avoidanceCost(task, *candidate);
        if (best == nullptr || *cost < bestCost) {
            best = candidate;
            bestCost = *cost;
        }
    }
    return best;
}

// Evaluates the fleet once for all runs of an image and size, and offers each place to one of them.
bool job_engine::takeBetterWorker(const run_state& run, const task_state& task, utils::time_point now)
{
    const auto& spec = run.job->spec.steps[run.step];
    auto target = std::ranges::find_if(m_moveTargets, [&](const move_target& known) {
        return known.image == run.image && known.taskResources == spec.taskResources && known.service == run.job->spec.service && known.label == spec.label;
    });
    if (target == m_moveTargets.end()) {
        if (m_moveTargets.size() >= moveSearchesPerReview)
            return false;
        auto* best = chooseWorker(*run.job, run.step, {}, now, requirementFor(run.job->spec.service, utils::milliseconds(0)));
        if (best != nullptr && idleProcessors(*best) < spec.taskResources.processors)
            best = nullptr;
        m_moveTargets.push_back({ spec.taskResources, run.image, run.job->spec.service, spec.label, best });
        target = std::prev(m_moveTargets.end());
    }
    if (target->worker == nullptr || target->worker == run.worker)
        return false;
    const auto& worker = *target->worker;
    if (isExcluded(task, worker, now) || avoidanceCost(task, worker) > 0 || worker.path->cost > 0 || !costOf(worker, *run.job, run.step, now, requirementFor(run.job->spec.service, utils::milliseconds(0))))
        return false;
    target->worker = nullptr;
    return true;
}

utils::time_point job_engine::cachedDeadline(job_state& job, utils::time_point now) const
{
    if (now >= job.deadlineUpdatedAt + deadlineUpdateInterval) {
        job.deadline = deadlineOf(job);
        job.remainingChains = remainingChains(job);
        job.deadlineUpdatedAt = now;
    }
    return job.deadline;
}

void job_engine::startWaitingTasks(utils::time_point now, std::vector<engine_command>& commands)
{
    startReservedTasks(now, commands);
    const auto waitingNow = waitingSteps(now);
    if (waitingNow.empty())
        return;
    std::vector<open_worker> openWorkers;
    for (auto* worker : m_workerList) {
        if (worker->isOnRoster && isOpenForTasks(*worker, m_settings, now))
            openWorkers.push_back({ worker, worker->description.capacity - worker->allocated });
    }
    const auto reservations = reservationsToBackfill();
    m_failedSearches.removeOutdated(now);
    for (const auto& waiting : waitingNow) {
        auto& job = *waiting.job;
        const auto& spec = job.spec.steps[waiting.step];
        worker_search search(
            openWorkers, reservedResources(spec), [&](const auto& worker, const auto& needed) { return costOf(worker, job, waiting.step, now, needed); }, now);
        auto& tasks = job.steps[waiting.step].tasks;
        for (unsigned index = 0; index < tasks.size(); ++index) {
            auto& task = tasks[index];
            if (!isWaiting(job, waiting.step, task, now))
                continue;
            const auto needed = spec.isBestEffort ? requirementFor(job.spec.service, utils::millisecondsBetween(task.waitingSince, now)) : placement_requirement {};
            if (isCrashSuspect(task)) {
                if (auto* worker = startSuspectedTask(job, waiting.step, index, now, needed, commands))
                    search.updateCost(*worker);
                continue;
            }
            // A task that moves has left its worker for the reserved one.
            const bool isReserved = task.reservedWorker != nullptr;
            if (isReserved && (!spec.isLongRunning || !task.reservedAtMiss))
                continue;
            place_search wanted { spec.taskResources, job.steps[waiting.step].image, job.spec.service, spec.label, spec.isBestEffort, spec.isLongRunning, needed, now + bestEffortSearchInterval };
            const bool hasFailed = m_failedSearches.cover(wanted);
            auto* worker = hasFailed ? nullptr : search.nextWorker(task, needed);
            if (worker == nullptr) {
                if (!hasFailed && spec.isBestEffort)
                    job.steps[waiting.step].searchNotBefore = wanted.validUntil;
                if (!hasFailed && spec.maximumTasksPerWorker == 0 && task.runs.empty() && task.leftWorker == nullptr)
                    m_failedSearches.add(std::move(wanted));
                if (isReserved)
                    continue;
                if (auto* reserved = takeReservedPlace(job, waiting.step, task, reservations, now)) {
                    startTask(job, waiting.step, index, *reserved, now, commands);
                    search.updateCost(*reserved);
                    continue;
                }
                // Only a task with exclusions of its own leaves a worker to the others.
                const bool mayStartOthers = !hasFailed && search.hasCandidates();
                if (!reserveForWaitingTask(waiting, index, now) && !mayStartOthers)
                    break;
                continue;
            }
            releaseReservation(job, waiting.step, task);
            startTask(job, waiting.step, index, *worker, now, commands);
            search.updateCost(*worker);
        }
    }
}

void job_engine::startTask(job_state& job, unsigned step, unsigned index, worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    auto& task = job.steps[step].tasks[index];
    const auto& spec = job.spec.steps[step];
    job.longestWait = std::max(job.longestWait, waitingTime(task, now));
    task.plan.reset();
    auto& run = openRun(job, step, index, worker, task.lastRun + 1, now);
    if (spec.isBestEffort) {
        addUsage(worker.unreportedUsage, run.image, shareOfCapacity(worker, spec.taskResources.processors));
        updateServiceHeadrooms(worker, m_interference);
    }
    run.checkpoint = spec.hasCheckpoints ? task.checkpoint : std::string();
    run.fence = worker.fence;
    worker.lastStartAt = now;
    commands.push_back(start_command { { worker.description.id, worker.description.endpoint }, { idOf(run), job.spec.payload, run.checkpoint, grantLease(worker, now), run.fence, traitsOf(run) } });
}

void job_engine::appendStopCommands(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    for (auto* run : worker.runs) {
        if (run->phase != run_phase::Stopping || run->isStopOrderPending)
            continue;
        if (run->stopSentAt != utils::time_point() && now < run->stopSentAt + m_settings.stopRetryInterval)
            continue;
        run->stopSentAt = now;
        run->isStopOrderPending = true;
        commands.push_back(stop_command { { worker.description.id, worker.description.endpoint }, idOf(*run), processOf(worker), worker.fence });
    }
    for (auto& start : worker.rejectedStarts) {
        const bool isDue = start.stopSentAt == utils::time_point() || now >= start.stopSentAt + m_settings.stopRetryInterval;
        if (!start.needsStop || !isDue || now > start.until || findRun(worker, start.run) != nullptr)
            continue;
        start.stopSentAt = now;
        commands.push_back(stop_command { { worker.description.id, worker.description.endpoint }, start.run, processOf(worker), worker.fence });
    }
}

} // namespace camphorsaddle::jobs
