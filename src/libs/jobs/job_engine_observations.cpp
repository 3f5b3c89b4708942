#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // A time of a worker's clock and a difference of two times are whole milliseconds.
    constexpr utils::milliseconds clockRounding { 2 };

    //! Whether the present process gave the answer after the last unanswered order had been sent: because the observation was sent
    //! no earlier, or by its clock, which isn't faster than this host's.
    bool isAnswerAfterSilence(const worker_state& worker, external::worker_time clock, utils::time_point sentAt)
    {
        if (sentAt >= worker.unansweredOrderSentAt)
            return true;
        const auto sinceReport = std::chrono::duration_cast<utils::milliseconds>(worker.unansweredOrderSentAt - worker.reportSentAt);
        return worker.reportClock != 0 && clock > worker.reportClock + (sinceReport + clockRounding).count();
    }

    void recordAnswerTime(worker_state& worker, const observe_command& command, bool isLate, utils::time_point sentAt, utils::time_point now)
    {
        const auto elapsed = std::chrono::duration_cast<utils::milliseconds>(now - sentAt);
        if (isLate) {
            worker.lateAnswerTime = elapsed - command.order.wait;
            worker.lateAnswerAt = now;
        } else if (elapsed < worker.lateAnswerTime) {
            worker.lateAnswerTime = utils::milliseconds(0);
        }
    }

    //! Time that an answer is expected to take beyond its time limit; 0 if answers don't come late.
    utils::milliseconds expectedAnswerTime(const worker_state& worker, const engine_settings& settings, utils::time_point now)
    {
        return now > worker.lateAnswerAt + settings.leaseDuration ? utils::milliseconds(0) : worker.lateAnswerTime;
    }

    //! When an observation without an answer is repeated. While answers come late, that is only after this one is due: the repetition
    //! would count as unanswered before the answer came, and the lease wouldn't be renewed.
    utils::time_point repetitionTime(const worker_state& worker, const engine_settings& settings, utils::time_point answerableAt, utils::time_point now)
    {
        const auto earliest = now + settings.observeRetryDelay;
        const auto answerTime = expectedAnswerTime(worker, settings, now);
        if (answerTime.count() == 0)
            return earliest;
        const auto dueAt = answerableAt + answerTime + settings.observeRetryDelay;
        return std::min(std::max(dueAt, earliest), now + settings.longestObserveRetryDelay);
    }

} // namespace

void job_engine::updateClock(worker_state& worker, external::worker_time clock, utils::time_point now)
{
    if (clock < worker.clock)
        return;
    worker.clock = clock;
    worker.clockUpdatedAt = now;
}

// A worker's clock starts anew with each process, so a time before that of the order comes from a later process. Its
// incarnation isn't known before the next observation.
void job_engine::handleReplyClock(worker_state& worker, const worker_process& process, external::worker_time clock, utils::time_point now)
{
    if (clock == 0 || process.incarnation != worker.description.incarnation)
        return;
    if (clock < process.clock) {
        beginIncarnation(worker, worker.description.incarnation + 1, now);
        worker.isIncarnationGuessed = true;
    }
    updateClock(worker, clock, now);
}

external::worker_time job_engine::grantLease(worker_state& worker, utils::time_point now)
{
    const auto sinceSeen = std::chrono::duration_cast<utils::milliseconds>(now - worker.clockUpdatedAt);
    // The least time that has passed on the worker's clock; a lease that started later would outlast the next leader's wait.
    const auto elapsed = static_cast<external::worker_time>(static_cast<double>(sinceSeen.count()) * m_settings.minimumWorkerClockRate);
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, now + m_settings.maximumLeaseDuration(m_settings.leaseDuration));
    return worker.clock + elapsed + m_settings.leaseDuration.count();
}

void job_engine::beginIncarnation(worker_state& worker, std::int64_t incarnation, utils::time_point now)
{
    if (worker.description.incarnation != 0) {
        reportEvent(engine_event_kind::WorkerRestarted, worker, absl::StrCat("life=", incarnation, " runs=", worker.runs.size()));
        closeRunsAsLost(worker, worker_loss::Restarted, now, "its worker restarted");
        worker.hasAcceptedTerm = false;
        worker.hasRestarted = true;
    }
    if (!worker.isIncarnationGuessed)
        worker.highestFormerIncarnation = std::max(worker.highestFormerIncarnation, worker.description.incarnation);
    worker.isIncarnationGuessed = false;
    raiseFence(worker);
    worker.processFence = worker.fence;
    worker.description.incarnation = incarnation;
    worker.incarnationSeenAt = now;
    // The new process may have another capacity.
    worker.announcedAt = {};
    worker.capacityRefusedUntil = {};
    worker.clock = 0;
    worker.reportClock = 0;
    worker.acknowledgedEnd = 0;
    worker.forgottenEnd = 0;
    worker.lastEnd = 0;
    worker.longestEndList = 0;
    worker.newestEndList.reset();
    worker.unstoredRunEnds.clear();
    worker.nextObservation = now;
    std::erase_if(worker.rejectedStarts, [&](const rejected_start& start) { return now > start.until; });
    for (auto& start : worker.rejectedStarts) {
        start.needsStop = true;
        start.stopSentAt = {};
    }
    queueForOrders(worker);
    // The former leader may have started runs in the new process, which rejects its orders only once it has answered this one.
    if (const auto unconfirmed = m_unconfirmedWorkers.find(worker.description.id); unconfirmed != m_unconfirmedWorkers.end()) {
        const auto leaseEnd = now + m_settings.maximumLeaseDuration(m_settings.longestLeaseOnWorker);
        unconfirmed->second.until = std::max(unconfirmed->second.until, leaseEnd);
        unconfirmed->second.hasRestarted = true;
        unconfirmed->second.promisedUntil.reset();
        unconfirmed->second.waitLeft.reset();
    }
}

// At any other address the worker may live on: the entry may be older than the roster, or concern a process that no leader has
// used yet.
void job_engine::confirmReplaced(const worker_state& worker, const worker_process& observation)
{
    const auto unconfirmed = m_unconfirmedWorkers.find(worker.description.id);
    if (unconfirmed == m_unconfirmedWorkers.end() || observation.endpoint.empty())
        return;
    if (observation.endpoint == unconfirmed->second.endpoint && observation.incarnation == worker.description.incarnation)
        m_unconfirmedWorkers.erase(unconfirmed);
}

// A worker's process that has executed an order executes none with a lower token. So orders for a former process, which may arrive at any time,
// have no effect on the ends, leases and runs of the next one.
void job_engine::raiseFence(worker_state& worker)
{
    if (worker.fence + 1 >= m_term + fencesPerTerm) {
        m_isDeposed = true;
        m_onEvent({ engine_event_kind::Deposed, "", "", worker.description.id, absl::StrCat("term=", m_term, " fence=", worker.fence, " next=none") });
        return;
    }
    ++worker.fence;
}

// An order that was decided before the token was raised may be rejected, though this leader is the last one.
bool job_engine::isDeposedBy(const worker_state& worker, external::order_outcome outcome, std::uint64_t fence)
{
    if (outcome != external::order_outcome::Fenced || fence < worker.fence)
        return false;
    m_isDeposed = true;
    m_onEvent({ engine_event_kind::Deposed, "", "", worker.description.id, absl::StrCat("term=", m_term, " fence=", fence) });
    return true;
}

void job_engine::noteUnansweredOrder(worker_state& worker, utils::time_point sentAt)
{
    if (!worker.mayHaveRestarted)
        raiseFence(worker);
    worker.mayHaveRestarted = true;
    worker.unansweredOrderSentAt = std::max(worker.unansweredOrderSentAt, sentAt);
}

// The process that its clock has shown; runs that it has confirmed aren't lost.
void job_engine::identifyProcess(worker_state& worker, std::int64_t incarnation)
{
    for (auto* run : worker.runs) {
        if (run->process.incarnation == worker.description.incarnation)
            run->process.incarnation = incarnation;
        // A reply to an order of before doesn't concern the process by its number.
        run->isStopOrderPending = false;
    }
    worker.description.incarnation = incarnation;
}

void job_engine::queryIncarnation(worker_state& worker, utils::time_point now)
{
    noteUnansweredOrder(worker, now);
    worker.needsProbe = true;
    queueForOrders(worker);
}

void job_engine::recordReport(worker_state& worker, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now)
{
    worker.reportClock = reply.workerState.clock;
    worker.reportSentAt = sentAt;
    worker.reportHandledAt = now;
    worker.needsDescriptions = reply.needsDescriptions;
}

void job_engine::handleObserveReply(const std::string& workerId, const observe_command& command, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto& worker = *found->second;
    queueForOrders(worker);
    // A late answer belongs to an observation that has timed out already. It is ignored unless it lists the worker's
    // runs and ends.
    if (!reply.isLate)
        worker.path->observations.record(isLateOutcome(reply.outcome), now);
    if (!reply.isLate)
        (command.isProbe ? worker.isProbePending : worker.isObservePending) = false;
    else if (reply.outcome != external::order_outcome::Accepted)
        return;
    if (isDeposedBy(worker, reply.outcome, command.order.fence))
        return;
    const bool concernsFormerProcess = reply.outcome != external::order_outcome::Accepted && !isPresentProcess(worker, command.process);
    if (concernsFormerProcess || reply.outcome == external::order_outcome::Fenced) {
        worker.nextObservation = now;
        return;
    }
    if (reply.outcome == external::order_outcome::OtherIncarnation) {
        handleReplacement(worker, command.process.endpoint, command.decidedAt, now);
        confirmReplaced(worker, command.process);
        return;
    }
    if (reply.outcome != external::order_outcome::Accepted) {
        noteUnansweredOrder(worker, sentAt);
        if (worker.unansweredObserves++ == 0) {
            recordPossibleCrash(worker);
            reportEvent(engine_event_kind::WorkerSilent, worker, absl::StrCat("outcome=", std::string(toString(reply.outcome)), " runs=", worker.runs.size()));
        }
        const bool mayAnswerLate = reply.outcome == external::order_outcome::NoAnswer;
        worker.nextObservation = mayAnswerLate ? repetitionTime(worker, m_settings, sentAt + command.order.wait, now) : now + m_settings.observeRetryDelay;
        return;
    }
    recordAnswerTime(worker, command, reply.isLate, sentAt, now);
    handleObservation(worker, command, reply, sentAt, now);
}

void job_engine::handleObservation(worker_state& worker, const observe_command& command, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now)
{
    const auto& workerState = reply.workerState;
    if (workerState.incarnation != worker.description.incarnation) {
        // It may be a late answer of a former incarnation; an observation that is sent from now on decides.
        if (sentAt < worker.incarnationSeenAt) {
            queryIncarnation(worker, now);
            return;
        }
        if (worker.isIncarnationGuessed && workerState.clock >= worker.clock)
            identifyProcess(worker, workerState.incarnation);
        else
            beginIncarnation(worker, workerState.incarnation, now);
    }
    worker.isIncarnationGuessed = false;
    worker.incarnationSeenAt = now;
    if (command.process.incarnation == workerState.incarnation)
        worker.forgottenEnd = std::max(worker.forgottenEnd, command.order.acknowledgedEnd);
    const bool isSilenceOver = isAnswerAfterSilence(worker, workerState.clock, sentAt);
    const bool isInOrder = workerState.clock >= worker.clock;
    // A report with the time of an earlier one may precede it.
    const bool isNewest = workerState.clock > worker.clock;
    updateClock(worker, workerState.clock, now);
    if (isInOrder)
        recordReport(worker, reply, sentAt, now);
    worker.longestEndList = std::max(worker.longestEndList, workerState.ended.size());
    if (!worker.hasAcceptedTerm || (isSilenceOver && worker.unansweredObserves > 0))
        reportEvent(engine_event_kind::WorkerSeen, worker, absl::StrCat("running=", workerState.running.size(), " ended=", workerState.ended.size(), listsAllEnds(worker, m_settings, workerState.ended.size()) ? "" : " more_ends=possible", " silences=", worker.unansweredObserves));
    if (isSilenceOver) {
        worker.unansweredObserves = 0;
        worker.mayHaveRestarted = false;
        worker.answeredAt = now;
        resolvePossibleCrash(worker, false, now);
    }
    // Otherwise the answer to a later observation is still due.
    if (isSilenceOver || !reply.isLate)
        worker.nextObservation = now;
    reviewSuspectRun(worker, now);
    if (!worker.hasAcceptedTerm)
        worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, now + m_settings.maximumLeaseDuration(m_settings.leaseDuration));
    worker.hasAcceptedTerm = worker.hasAcceptedTerm || command.order.fence >= worker.processFence;
    withdrawWaitPromise(worker);
    if (isInOrder)
        confirmRuns(worker, workerState.ended.size(), now);
    reportForgottenEnds(worker, workerState.ended);
    for (const auto& end : workerState.ended)
        handleRunEnd(worker, end, now);
    if (isInOrder)
        handleRunReports(worker, workerState, isNewest, sentAt, now);
    acknowledgeEnds(worker);
}

// A process numbers its ends without gaps, and forgets those that were acknowledged. Runs with ends that this leader hasn't received count as
// lost and start again.
void job_engine::reportForgottenEnds(const worker_state& worker, const std::vector<external::run_end>& ended)
{
    // A former leader may have acknowledged the ends of a process that has begun before the term.
    const bool hasBegunInTerm = worker.processFence > m_term;
    const bool hasReceivedAll = hasBegunInTerm || worker.lastEnd > 0;
    if (!hasReceivedAll || ended.empty())
        return;
    const auto first = std::ranges::min(ended, {}, &external::run_end::number).number;
    if (first > worker.lastEnd + 1)
        reportEvent(engine_event_kind::EndsForgotten, worker, absl::StrCat("first=", worker.lastEnd + 1, " last=", first - 1, " life=", worker.description.incarnation, " acknowledged=", worker.acknowledgedEnd));
}

// A list that has grown proves that the former one was complete. The runs of the former report and their ends are known.
void job_engine::confirmRuns(worker_state& worker, std::size_t endCount, utils::time_point now)
{
    const bool wasComplete = worker.newestEndList && listsAllEnds(worker, m_settings, *worker.newestEndList);
    worker.newestEndList = endCount;
    const auto unconfirmed = m_unconfirmedWorkers.find(worker.description.id);
    if (unconfirmed == m_unconfirmedWorkers.end())
        return;
    if (wasComplete || listsAllEnds(worker, m_settings, endCount)) {
        m_unconfirmedWorkers.erase(unconfirmed);
        return;
    }
    unconfirmed->second.reportedAt = now;
    unconfirmed->second.until = std::max(unconfirmed->second.until, now + m_settings.maximumLeaseDuration(m_settings.leaseDuration));
}

void job_engine::handleRunReports(worker_state& worker, const external::observation& reported, bool isNewest, utils::time_point sentAt, utils::time_point now)
{
    const auto reportNumber = ++worker.reportCount;
    for (const auto& report : reported.running) {
        if (auto* run = handleRunReport(worker, report, isNewest, now))
            run->lastReport = reportNumber;
    }
    // The end of a missing run may be among those that the worker hasn't listed yet.
    if (listsAllEnds(worker, m_settings, reported.ended.size())) {
        std::vector<run_state*> missingRuns;
        std::ranges::copy_if(worker.runs, std::back_inserter(missingRuns), [&](const auto* run) { return run->lastReport != reportNumber; });
        for (auto* run : missingRuns)
            handleMissingRun(*run, sentAt, now);
    }
    sampleLatencies(worker, now);
    worker.isPaceReviewDue = true;
}

run_state* job_engine::handleRunReport(worker_state& worker, const external::run_report& report, bool isNewest, utils::time_point now)
{
    auto* run = findRun(worker, report.run);
    if (run == nullptr) {
        job_state* job = nullptr;
        auto* task = findTask(report.run, &job);
        if (task == nullptr && isNewest)
            task = recreateTask(report.run, &job);
        if (task == nullptr) {
            m_onEvent({ engine_event_kind::RunAdopted, report.run.task.job, "", worker.description.id, "run of an unknown job" });
            return nullptr;
        }
        // The next report decides, unless this one is certainly newer than the end of the run.
        const bool isReopened = std::ranges::find(task->closedRuns, report.run.number) != task->closedRuns.end();
        if (isReopened && !isNewest)
            return nullptr;
        std::erase(task->closedRuns, report.run.number);
        const bool isWanted = !task->isDone && !isFinal(job->phase) && task->runs.empty();
        run = &openRun(*job, report.run.task.step, report.run.task.index, worker, report.run.number, now);
        run->phase = run_phase::Running;
        run->runningSince = now;
        run->isPaceKnown = false;
        run->isAdopted = true;
        reportEvent(engine_event_kind::RunAdopted, *run, absl::StrCat(isReopened ? "listed after it was closed" : "started by a former leader", isWanted ? "" : ", not needed"));
        if (job->phase == job_phase::Queued)
            job->phase = job_phase::Running;
        if (!isWanted)
            stopRun(*run, now, "the task is done, cancelled or running elsewhere");
    }
    if (run->phase == run_phase::Uncertain) {
        run->phase = run_phase::Running;
        run->phaseSince = now;
        run->runningSince = now;
        reportEvent(engine_event_kind::RunAdopted, *run, "the start order took effect without an answer");
        if (run->job->phase == job_phase::Queued)
            run->job->phase = job_phase::Running;
    }
    if (run->phase == run_phase::Running && run->startClock == 0) {
        // The run may have worked for long; its speed is known from here on.
        run->startClock = worker.reportClock;
        run->initialPercent = report.percent;
    }
    run->isListed = true;
    run->isKeptForNextProcess = false;
    if (run->initialPercent < 0)
        run->initialPercent = report.run.number > 1 && !run->checkpoint.empty() ? report.percent : 0;
    if (report.percent != run->percent) {
        run->percent = report.percent;
        run->progressClock = worker.reportClock;
    }
    run->load = report.load;
    adoptPace(*run, report.pace, now);
    if (!report.checkpoint.empty() && report.checkpoint != run->checkpoint) {
        run->checkpoint = report.checkpoint;
        run->checkpointClock = worker.reportClock;
    }
    return run;
}

// The executing daemon may have paused the run, and knows of pace orders that had no answer.
void job_engine::adoptPace(run_state& run, std::optional<int> pace, utils::time_point now)
{
    if (!pace || run.isPaceOrderPending)
        return;
    run.isPaceKnown = true;
    if (*pace == run.pace)
        return;
    run.pace = *pace;
    run.paceChangedAt = now;
    run.paceClock = std::max(run.paceClock, run.worker->reportClock);
}

std::vector<external::described_run> job_engine::describeRuns(const worker_state& worker) const
{
    std::vector<external::described_run> result;
    for (const auto* run : worker.runs)
        result.push_back({ idOf(*run), traitsOf(*run) });
    return result;
}

// Only an observation that was sent after the last answered order proves that a worker doesn't execute a run.
void job_engine::handleMissingRun(run_state& run, utils::time_point sentAt, utils::time_point now)
{
    if (run.phase == run_phase::Starting)
        return;
    if (run.phase == run_phase::Stopping) {
        if (run.stopConfirmedAt && sentAt >= *run.stopConfirmedAt) {
            reportEvent(engine_event_kind::RunLost, run, "the worker never started it and rejects a late start");
            std::erase_if(run.worker->rejectedStarts, [&](const rejected_start& start) { return now > start.until; });
            run.worker->rejectedStarts.push_back({ idOf(run), now + m_settings.lateOrderTime, false, {} });
            closeRun(run, now);
        }
        return;
    }
    if (sentAt < run.phaseSince)
        return;
    stopRun(run, now, run.phase == run_phase::Uncertain ? "the start order has not taken effect" : "its worker no longer lists it");
}

void job_engine::acknowledgeEnds(worker_state& worker)
{
    while (!worker.unstoredRunEnds.empty()) {
        const auto& end = worker.unstoredRunEnds.front();
        const auto job = m_jobs.find(end.job);
        if (end.version != 0 && job != m_jobs.end() && job->second->storedVersion < end.version)
            return;
        worker.acknowledgedEnd = end.number;
        worker.unstoredRunEnds.pop_front();
        queueForOrders(worker);
    }
}

void job_engine::appendObserveCommands(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    // A worker without a directory entry is still observed while it may execute runs.
    const bool mayHaveRuns = !worker.runs.empty() || m_unconfirmedWorkers.contains(worker.description.id);
    const bool isNeeded = mayHaveRuns || worker.lastEnd > worker.acknowledgedEnd || (!worker.hasAcceptedTerm && worker.isAnnounced);
    const auto order = [&](utils::milliseconds wait) {
        const bool mayAcknowledge = !worker.mayHaveRestarted && worker.acknowledgedEnd > worker.forgottenEnd;
        external::observe_order result { mayAcknowledge ? worker.acknowledgedEnd : 0, worker.fence, 0, wait, {} };
        if (std::exchange(worker.needsDescriptions, false))
            result.described = describeRuns(worker);
        // The lease of an unresponsive worker isn't renewed, so that its tasks may start elsewhere after it has
        // expired.
        if (worker.hasAcceptedTerm && worker.clock != 0 && worker.unansweredObserves == 0 && !worker.runs.empty() && !worker.isWaitPromised)
            result.leaseEnd = grantLease(worker, now);
        return result;
    };
    const external::worker_address address { worker.description.id, worker.description.endpoint };
    if (worker.needsProbe && !worker.isProbePending) {
        worker.needsProbe = false;
        worker.isProbePending = true;
        commands.push_back(observe_command { address, order(utils::milliseconds(0)), true, processOf(worker), now });
    }
    if (!isNeeded || worker.isObservePending || now < worker.nextObservation)
        return;
    // The worker would answer at once and repeat the ends that can't be acknowledged yet.
    if (!worker.unstoredRunEnds.empty() && now < worker.answeredAt + m_settings.observeRetryDelay)
        return;
    // The time of the answer makes up for the wait, so that leases are renewed as often.
    const auto answerTime = expectedAnswerTime(worker, m_settings, now);
    utils::milliseconds wait { 0 };
    const bool mayKeepFurtherEnds = worker.newestEndList && !listsAllEnds(worker, m_settings, *worker.newestEndList);
    if (worker.hasAcceptedTerm && worker.unansweredObserves == 0 && !worker.runs.empty() && !mayKeepFurtherEnds)
        wait = worker.bestEffortProcessors > 0 && worker.longRunningProcessors > 0 ? m_settings.longPollTimeoutWithBestEffort : m_settings.longPollTimeout;
    wait = std::max(wait - answerTime, utils::milliseconds(0));
    worker.isObservePending = true;
    commands.push_back(observe_command { address, order(wait), false, processOf(worker), now });
}

} // namespace camphorsaddle::jobs
