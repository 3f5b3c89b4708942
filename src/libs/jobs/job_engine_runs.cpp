#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // Keep a long-running task that fails at once from being restarted in a tight loop. All are below the time limit
    // within which a long-running task must be back.
    constexpr utils::milliseconds restartDelays[] { utils::milliseconds(0), utils::milliseconds(150), utils::milliseconds(400), utils::milliseconds(800) };
    constexpr utils::milliseconds failureRestartDelay { 20 };
    constexpr utils::milliseconds expiredStartDelay { 50 };
    // Number of closed runs that are recorded for a task. Speculative copies and moves create only a few.
    constexpr std::size_t maximumClosedRuns = 8;
    // Weight of a new run in the mean ratio of duration to estimate.
    constexpr double durationRatioWeight = 0.1;

    //! Whether a run must have ended if another worker has replied at the address to an order that was decided at the given
    //! time. A run that was ordered later, or confirmed later, may be one of a process that had the address after that.
    bool hasEndedWithProcess(const run_state& run, const std::string& endpoint, utils::time_point decidedAt)
    {
        const bool isSameAddress = endpoint.empty() || run.process.endpoint.empty() || run.process.endpoint == endpoint;
        return isSameAddress && run.orderedAt < decidedAt && run.runningSince < decidedAt;
    }

} // namespace

run_state& job_engine::openRun(job_state& job, unsigned step, unsigned index, worker_state& worker, std::uint64_t number, utils::time_point now)
{
    auto& task = job.steps[step].tasks[index];
    const auto& spec = job.spec.steps[step];
    if (task.runs.empty() && !task.isDone)
        ++job.steps[step].busyCount;
    queueForOrders(worker);
    ++job.runCount;
    auto run = std::make_unique<run_state>();
    run->job = &job;
    run->step = step;
    run->index = index;
    run->number = number;
    run->image = job.steps[step].image;
    run->worker = &worker;
    run->process = processOf(worker);
    run->orderedAt = now;
    run->phaseSince = now;
    task.lastRun = std::max(task.lastRun, number);
    auto charge = spec.taskResources;
    if (spec.isBestEffort) {
        charge.processors = 0;
        worker.bestEffortProcessors += spec.taskResources.processors;
        run->occupied = spec.taskResources.processors;
        worker.bestEffortUsage += run->occupied;
    }
    if (spec.isLongRunning)
        worker.longRunningProcessors += spec.taskResources.processors;
    worker.allocated = worker.allocated + charge;
    worker.runs.push_back(run.get());
    if (spec.isLongRunning)
        updateServiceHeadrooms(worker, m_interference);
    task.runs.push_back(std::move(run));
    return *task.runs.back();
}

void job_engine::closeRun(run_state& run, utils::time_point now)
{
    m_mayStartTasks = true;
    auto& worker = *run.worker;
    auto& task = taskOf(run);
    auto& step = run.job->steps[run.step];
    const auto& spec = run.job->spec.steps[run.step];
    queueForOrders(worker);
    auto charge = spec.taskResources;
    if (spec.isBestEffort) {
        charge.processors = 0;
        worker.bestEffortProcessors -= spec.taskResources.processors;
        worker.bestEffortUsage -= run.occupied;
    }
    if (spec.isLongRunning)
        worker.longRunningProcessors -= spec.taskResources.processors;
    worker.allocated = worker.allocated - charge;
    std::erase(worker.runs, &run);
    if (worker.suspectRun == &run)
        worker.suspectRun = nullptr;
    if (spec.isLongRunning)
        updateServiceHeadrooms(worker, m_interference);
    noteEndOfRun(task, run, now);
    task.closedRuns.push_back(run.number);
    if (task.closedRuns.size() > maximumClosedRuns)
        task.closedRuns.erase(task.closedRuns.begin());
    if (!run.checkpoint.empty())
        task.checkpoint = run.checkpoint;
    std::erase_if(task.runs, [&](const auto& owned) { return owned.get() == &run; });
    if (task.runs.empty() && !task.isDone)
        --step.busyCount;
}

void job_engine::closeRefusedRun(run_state& run, utils::time_point now)
{
    // A worker that hasn't executed the start can't have crashed because of it.
    if (std::erase_if(taskOf(run).possibleCrashes, [&](const possible_crash& crash) { return crash.run == run.number; }) > 0)
        markChanged(*run.job);
    closeRun(run, now);
}

void job_engine::stopRun(run_state& run, utils::time_point now, const std::string& reason)
{
    if (run.phase == run_phase::Stopping)
        return;
    reportEvent(engine_event_kind::RunStopped, run, reason);
    run.phase = run_phase::Stopping;
    run.phaseSince = now;
    queueForOrders(*run.worker);
}

task_state& job_engine::taskOf(const run_state& run)
{
    return run.job->steps[run.step].tasks[run.index];
}

external::run_id job_engine::idOf(const run_state& run) const
{
    return { { run.job->spec.id, 0, run.step, run.index }, run.number };
}

external::run_traits job_engine::traitsOf(const run_state& run) const
{
    const auto& spec = run.job->spec.steps[run.step];
    return { spec.isLongRunning ? spec.latencyTarget : utils::milliseconds(0), spec.isBestEffort };
}

run_state* job_engine::findRun(worker_state& worker, const external::run_id& id)
{
    const auto found = std::ranges::find_if(worker.runs, [&](const auto* run) {
        return run->number == id.number && run->step == id.task.step && run->index == id.task.index && run->job->spec.id == id.task.job;
    });
    return found == worker.runs.end() ? nullptr : *found;
}

task_state* job_engine::findTask(const external::run_id& id, job_state** job)
{
    const auto found = m_jobs.find(id.task.job);
    if (found == m_jobs.end() || id.task.occurrence != 0 || id.task.step >= found->second->steps.size() || id.task.index >= found->second->steps[id.task.step].tasks.size())
        return nullptr;
    *job = found->second.get();
    return &found->second->steps[id.task.step].tasks[id.task.index];
}

void job_engine::reportEvent(engine_event_kind kind, const run_state& run, const std::string& detail, bool isRoutine)
{
    m_onEvent({ kind, run.job->spec.id, absl::StrCat(run.step, ".", run.index, "/", run.number), run.worker->description.id, detail, isRoutine });
}

void job_engine::reportEvent(engine_event_kind kind, const worker_state& worker, const std::string& detail)
{
    m_onEvent({ kind, "", "", worker.description.id, detail });
}

void job_engine::completeTask(job_state& job, unsigned step, unsigned index, utils::time_point now)
{
    auto& task = job.steps[step].tasks[index];
    if (task.isDone)
        return;
    m_mayStartTasks = true;
    task.isDone = true;
    ++job.steps[step].doneCount;
    if (!task.runs.empty())
        --job.steps[step].busyCount;
    markChanged(job);
    for (auto& run : task.runs)
        stopRun(*run, now, "another copy of the task is done");
    if (isFinal(job.phase))
        return;
    updateStepReadiness(job, now);
    const bool isComplete = std::ranges::all_of(job.steps, [](const auto& state) { return state.doneCount == state.tasks.size(); });
    if (isComplete)
        endJob(job, job_phase::Completed, now, "all tasks are done");
}

void job_engine::recordTaskFailure(job_state& job, unsigned step, unsigned index, std::uint64_t run, worker_state& worker, utils::time_point now)
{
    auto& task = job.steps[step].tasks[index];
    // The former leader may have stored the failure without acknowledging the end of the run.
    if (std::ranges::find(task.failedRuns, run) != task.failedRuns.end())
        return;
    task.avoidedWorkers.push_back(worker.description.id);
    if (job.spec.steps[step].isLongRunning) {
        task.notBefore = now + restartDelays[std::min<std::size_t>(task.restarts, std::size(restartDelays) - 1)];
        ++task.restarts;
        return;
    }
    task.failedRuns.push_back(run);
    task.notBefore = now + failureRestartDelay;
    markChanged(job);
    judgeFailures(job, step, index, now);
}

void job_engine::judgeFailures(job_state& job, unsigned step, unsigned index, utils::time_point now)
{
    if (isFinal(job.phase))
        return;
    auto& task = job.steps[step].tasks[index];
    const auto limit = maximumAttemptsOf(job);
    task.isFailureUnjudged = !limit;
    if (!limit) {
        job.hasUnjudgedFailures = true;
        m_onEvent({ engine_event_kind::FailureUnjudged, job.spec.id, absl::StrCat(step, ".", index), "", absl::StrCat("attempts=", task.failedRuns.size(), " queue=", job.spec.queue, " has_rules=", m_hasRules) });
        return;
    }
    if (task.failedRuns.size() >= *limit)
        endJob(job, job_phase::Failed, now, absl::StrCat("task ", step, ".", index, " failed ", task.failedRuns.size(), " times of ", *limit));
}

void job_engine::judgeWaitingFailures(utils::time_point now)
{
    // The end of a job removes it from the list.
    for (auto* job : std::vector(m_activeJobs)) {
        if (!std::exchange(job->hasUnjudgedFailures, false))
            continue;
        for (unsigned step = 0; step < job->steps.size(); ++step) {
            for (unsigned index = 0; index < job->steps[step].tasks.size(); ++index) {
                if (job->steps[step].tasks[index].isFailureUnjudged)
                    judgeFailures(*job, step, index, now);
            }
        }
    }
}

void job_engine::handleRunEnd(worker_state& worker, const external::run_end& end, utils::time_point now)
{
    if (end.number <= worker.lastEnd)
        return;
    worker.lastEnd = end.number;
    job_state* job = nullptr;
    auto* task = findTask(end.run, &job);
    if (task == nullptr) {
        m_onEvent({ engine_event_kind::RunEnded, end.run.task.job, "", worker.description.id, "unknown job" });
        worker.unstoredRunEnds.push_back({ end.number, {}, 0 });
        return;
    }
    const auto versionBefore = job->version;
    const auto& spec = job->spec.steps[end.run.task.step];
    auto& step = job->steps[end.run.task.step];
    double slowness = 0;
    auto* run = findRun(worker, end.run);
    m_onEvent({ engine_event_kind::RunEnded, job->spec.id, absl::StrCat(end.run.task.step, ".", end.run.task.index, "/", end.run.number), worker.description.id,
        absl::StrCat("cause=", std::string(toString(end.cause)), " attempts=", task->failedRuns.size(), run == nullptr ? " run=unknown" : ""), end.cause == external::end_cause::Done && run != nullptr });
    if (end.cause == external::end_cause::Failed)
        ++job->failedRunCount;
    else if (end.cause != external::end_cause::Done)
        ++job->interruptedRunCount;
    if (run != nullptr) {
        if (!end.checkpoint.empty())
            run->checkpoint = end.checkpoint;
        const auto duration = static_cast<double>(worker.reportClock - run->startClock);
        const bool isFullRun = run->startClock != 0 && worker.reportClock > run->startClock && run->initialPercent <= 0 && run->pace == 100 && !spec.isLongRunning;
        if (end.cause == external::end_cause::Done && isFullRun) {
            if (step.durations.count > 0)
                slowness = duration / meanDuration(step.durations);
            addDuration(step.durations, duration);
            if (spec.estimate.count() > 0) {
                auto& ratio = m_durationRatios.try_emplace(job->spec.queue, 1.0).first->second;
                ratio += durationRatioWeight * (std::min(duration / static_cast<double>(spec.estimate.count()), 4.0) - ratio);
            }
        }
        closeRun(*run, now);
    } else {
        task->lastRun = std::max(task->lastRun, end.run.number);
        task->closedRuns.push_back(end.run.number);
    }
    if (job->phase == job_phase::Queued)
        job->phase = job_phase::Running;
    switch (end.cause) {
    case external::end_cause::Done:
        worker.reliability.recordSuccess(slowness);
        task->restarts = 0;
        completeTask(*job, end.run.task.step, end.run.task.index, now);
        break;
    case external::end_cause::Failed:
        if (!isFinal(job->phase))
            worker.reliability.recordFailure(task->failedRuns.empty() && task->restarts == 0, now);
        recordTaskFailure(*job, end.run.task.step, end.run.task.index, end.run.number, worker, now);
        break;
    case external::end_cause::Stopped:
    case external::end_cause::LeaseExpired:
    case external::end_cause::GangMemberEnded:
    case external::end_cause::GangIncomplete:
        if (!end.checkpoint.empty())
            task->checkpoint = end.checkpoint;
        break;
    }
    worker.unstoredRunEnds.push_back({ end.number, job->spec.id, job->version > versionBefore ? job->version : 0 });
    if (job->version > versionBefore)
        job->workersWithUnstoredEnds.insert(&worker);
}

void job_engine::handleStartReply(const std::string& workerId, const external::run_id& id, const external::order_reply& reply, utils::time_point sentAt, utils::time_point now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto& worker = *found->second;
    queueForOrders(worker);
    worker.isPaceReviewDue = true;
    if (auto* ordered = findRun(worker, id)) {
        // A lower clock is that of a later process, so that the former one can't have had the run.
        ordered->isKeptForNextProcess = ordered->isKeptForNextProcess || (reply.clock != 0 && reply.clock < ordered->process.clock);
        handleReplyClock(worker, worker_process(ordered->process), reply.clock, now);
    }
    auto* run = findRun(worker, id);
    // A late positive answer confirms an uncertain run.
    const bool isLateConfirmation = run != nullptr && run->phase == run_phase::Uncertain && reply.outcome == external::order_outcome::Accepted;
    if (run == nullptr || (run->phase != run_phase::Starting && run->phase != run_phase::Stopping && !isLateConfirmation))
        return;
    const bool isStopping = run->phase == run_phase::Stopping;
    worker.path->starts.record(isLateConfirmation || isLateOutcome(reply.outcome), now);
    if (reply.outcome != external::order_outcome::Accepted)
        reportEvent(engine_event_kind::OrderRefused, *run, describeReply(worker, reply, now - run->orderedAt), reply.outcome == external::order_outcome::Expired);
    if (isDeposedBy(worker, reply.outcome, run->fence))
        return;
    switch (reply.outcome) {
    case external::order_outcome::Accepted:
        confirmStart(*run, reply.clock, now);
        return;
    case external::order_outcome::InsufficientCapacity:
        worker.capacityRefusedUntil = now + m_settings.refusedCapacityDelay;
        worker.needsProbe = true;
        closeRefusedRun(*run, now);
        return;
    case external::order_outcome::Unhealthy:
    case external::order_outcome::NotSent:
    case external::order_outcome::Malformed:
        worker.reliability.recordRefusal(now);
        closeRefusedRun(*run, now);
        return;
    case external::order_outcome::Fenced:
    case external::order_outcome::Expired:
        // The worker isn't at fault. A leader or relay that is late would drop an immediate repetition too.
        taskOf(*run).notBefore = now + expiredStartDelay;
        closeRefusedRun(*run, now);
        return;
    case external::order_outcome::LeaseEndPassed:
        worker.needsProbe = true;
        closeRefusedRun(*run, now);
        return;
    case external::order_outcome::OtherIncarnation:
        handleOtherWorkerAtAddress(worker, *run, now);
        return;
    case external::order_outcome::StaleRunNumber:
    case external::order_outcome::NoAnswer:
        reportEvent(engine_event_kind::RunUncertain, *run, describeReply(worker, reply, now - run->orderedAt));
        if (!isStopping) {
            run->phase = run_phase::Uncertain;
            run->phaseSince = now;
        }
        worker.needsProbe = true;
        noteUnansweredOrder(worker, sentAt);
        return;
    }
}

void job_engine::confirmStart(run_state& run, external::worker_time clock, utils::time_point now)
{
    auto& worker = *run.worker;
    worker.answeredAt = now;
    run.runningSince = now;
    run.isKeptForNextProcess = false;
    run.startClock = clock;
    if (run.phase != run_phase::Stopping) {
        run.phase = run_phase::Running;
        run.phaseSince = now;
        if (run.job->firstStartAt == utils::time_point())
            run.job->firstStartAt = now;
        const bool isFirstRun = taskOf(run).closedRuns.empty();
        reportEvent(engine_event_kind::RunStarted, run, absl::StrCat("clock_age_ms=", std::chrono::duration_cast<utils::milliseconds>(now - worker.clockUpdatedAt).count()), isFirstRun);
    }
    if (run.job->phase == job_phase::Queued)
        run.job->phase = job_phase::Running;
}

void job_engine::handleOtherWorkerAtAddress(worker_state& worker, run_state& run, utils::time_point now)
{
    const auto process = run.process;
    const auto orderedAt = run.orderedAt;
    closeRefusedRun(run, now);
    if (isPresentProcess(worker, process))
        handleReplacement(worker, process.endpoint, orderedAt, now);
}

// The reply may be handled late: the worker may have come back at the address and execute what was ordered there meanwhile.
void job_engine::handleReplacement(worker_state& worker, const std::string& endpoint, utils::time_point decidedAt, utils::time_point now)
{
    for (auto* run : worker.runs) {
        run->isKeptForNextProcess = !hasEndedWithProcess(*run, endpoint, decidedAt);
        if (run->isKeptForNextProcess)
            keepForNextProcess(*run, now);
    }
    closeRunsAsLost(worker, worker_loss::Replaced, now, "another worker answers at its address");
    worker.hasAcceptedTerm = false;
    // A process that comes back numbers its ends anew.
    noteUnansweredOrder(worker, now);
    worker.nextObservation = now + (worker.runs.empty() ? m_settings.leaseDuration : m_settings.observeRetryDelay);
    // The kept runs end with the lease, unless a later reply concerns them.
    if (!worker.runs.empty())
        ++worker.unansweredObserves;
}

void job_engine::handleStopReply(const stop_command& command, const external::order_reply& reply, utils::time_point now)
{
    const auto& workerId = command.worker.id;
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto& worker = *found->second;
    handleReplyClock(worker, command.process, reply.clock, now);
    if (isDeposedBy(worker, reply.outcome, command.fence))
        return;
    queueForOrders(worker);
    if (reply.outcome == external::order_outcome::Accepted && command.process.incarnation == worker.description.incarnation) {
        for (auto& start : worker.rejectedStarts)
            start.needsStop = start.needsStop && start.run != command.run;
    }
    auto* run = findRun(worker, command.run);
    // A former process doesn't keep the present one from executing the start.
    if (run == nullptr || command.process.incarnation != worker.description.incarnation)
        return;
    run->isStopOrderPending = false;
    if (reply.outcome == external::order_outcome::Accepted && !run->stopConfirmedAt) {
        run->stopConfirmedAt = now;
        worker.needsProbe = true;
    }
}

void job_engine::handlePaceReply(const std::string& workerId, const external::run_id& id, int percent, const external::order_reply& reply, utils::time_point now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto* run = findRun(*found->second, id);
    found->second->isPaceReviewDue = true;
    if (run == nullptr)
        return;
    run->isPaceOrderPending = false;
    run->paceChangedAt = now;
    run->paceClock = std::max(run->paceClock, reply.clock);
    // An order without an answer may take effect seconds later.
    if (reply.outcome == external::order_outcome::NoAnswer)
        run->isPaceKnown = false;
    if (reply.outcome != external::order_outcome::Accepted)
        return;
    run->pace = percent;
    run->isPaceKnown = true;
}

void job_engine::closeRunsAsLost(worker_state& worker, worker_loss loss, utils::time_point now, const std::string& reason)
{
    const bool hasProcessEnded = loss != worker_loss::LeaseExpired;
    if (hasProcessEnded)
        recordPossibleCrash(worker);
    for (auto* run : std::vector(worker.runs)) {
        if (loss == worker_loss::Replaced && run->isKeptForNextProcess)
            continue;
        if (loss == worker_loss::Restarted && !run->isListed) {
            keepForNextProcess(*run, now);
            continue;
        }
        reportEvent(engine_event_kind::RunLost, *run, reason);
        auto& task = taskOf(*run);
        task.notBefore = now;
        ++run->job->interruptedRunCount;
        closeRun(*run, now);
    }
    worker.unstoredRunEnds.clear();
    if (hasProcessEnded)
        resolvePossibleCrash(worker, true, now);
    else
        delaySuspectedTasks(worker, now);
}

// Which process executes the start isn't known before the present one lists the run, or rejects a late start after a stop.
void job_engine::keepForNextProcess(run_state& run, utils::time_point now)
{
    reportEvent(engine_event_kind::RunUncertain, run, "its worker restarted; the present process may execute it");
    run.isKeptForNextProcess = true;
    run.stopConfirmedAt.reset();
    run.isStopOrderPending = false;
    run.stopSentAt = {};
    run.startClock = 0;
    run.progressClock = 0;
    run.paceClock = 0;
    run.worker->needsProbe = true;
    // The lease end of the start was a time of the former clock, so that only the worker's limit bounds it.
    run.worker->leaseExpiresAt = std::max(run.worker->leaseExpiresAt, now + m_settings.maximumLeaseDuration(m_settings.longestLeaseOnWorker));
}

} // namespace camphorsaddle::jobs
