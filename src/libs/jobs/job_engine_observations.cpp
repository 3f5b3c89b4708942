#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

void job_engine::updateClock(worker_state& worker, external::worker_time clock, utils::time_point now)
{
    if (clock < worker.clock)
        return;
    worker.clock = clock;
    worker.clockSeen = now;
}

external::worker_time job_engine::grantLease(worker_state& worker, utils::time_point now)
{
    const auto sinceSeen = std::chrono::duration_cast<utils::milliseconds>(now - worker.clockSeen);
    const auto beyondClock = sinceSeen + m_settings.leaseDuration;
    worker.leaseOverAt = std::max(worker.leaseOverAt, worker.clockSeen + m_settings.surelyOver(beyondClock));
    return worker.clock + beyondClock.count();
}

void job_engine::beginLife(worker_state& worker, std::int64_t life, utils::time_point now)
{
    if (worker.description.life != 0) {
        note(note_kind::WorkerReborn, worker, absl::StrCat("life=", life, " runs=", worker.runs.size()));
        loseRuns(worker, now, "its worker started again");
        worker.isFenced = false;
    }
    worker.description.life = life;
    worker.clock = 0;
    worker.acknowledgedEnd = 0;
    worker.lastEnd = 0;
    worker.unstoredEnds.clear();
    worker.nextObservation = now;
    m_unheard.erase(worker.description.id);
}

void job_engine::handleObserveReply(const std::string& workerId, const observe_command& command, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto& worker = *found->second;
    // A late answer belongs to an observation that was given up, and tells nothing new but what it lists.
    if (!reply.isLate)
        (command.isProbe ? worker.isProbed : worker.isObserved) = false;
    else if (reply.outcome != external::order_outcome::Accepted)
        return;
    if (reply.outcome == external::order_outcome::Fenced) {
        m_isDeposed = true;
        m_note({ note_kind::Deposed, "", "", workerId, absl::StrCat("term=", m_term) });
        return;
    }
    if (reply.outcome == external::order_outcome::OtherIncarnation) {
        loseRuns(worker, now, "another worker answers at its address");
        m_unheard.erase(workerId);
        worker.isFenced = false;
        worker.nextObservation = now + m_settings.leaseDuration;
        return;
    }
    if (reply.outcome != external::order_outcome::Accepted) {
        if (worker.silences++ == 0)
            note(note_kind::WorkerSilent, worker, absl::StrCat("outcome=", std::string(toString(reply.outcome)), " runs=", worker.runs.size()));
        worker.nextObservation = now + m_settings.observeRetry;
        return;
    }
    const auto& workerState = reply.workerState;
    if (workerState.life != worker.description.life) {
        // A late answer of a former life tells nothing any more.
        if (workerState.life < worker.description.life)
            return;
        beginLife(worker, workerState.life, now);
    }
    const bool isInOrder = workerState.clock >= worker.clock;
    updateClock(worker, workerState.clock, now);
    if (!worker.isFenced || worker.silences > 0)
        note(note_kind::WorkerSeen, worker, absl::StrCat("running=", workerState.running.size(), " ended=", workerState.ended.size(), " silences=", worker.silences));
    worker.silences = 0;
    worker.answeredAt = now;
    worker.nextObservation = now;
    if (!worker.isFenced)
        worker.leaseOverAt = std::max(worker.leaseOverAt, now + m_settings.surelyOver(m_settings.leaseDuration));
    worker.isFenced = true;
    m_unheard.erase(workerId);
    for (const auto& end : workerState.ended)
        takeEnd(worker, end, now);
    if (isInOrder)
        takeReports(worker, workerState.running, sentAt, now);
    acknowledgeEnds(worker);
}

void job_engine::takeReports(worker_state& worker, const std::vector<external::run_report>& reports, utils::time_point sentAt, utils::time_point now)
{
    for (const auto& report : reports)
        takeReport(worker, report, now);
    const std::vector<run_state*> runs = worker.runs;
    for (auto* run : runs) {
        const bool isListed = std::ranges::any_of(reports, [&](const auto& report) { return report.run == idOf(*run); });
        if (!isListed)
            takeAbsence(*run, sentAt, now);
    }
    sampleServing(worker, now);
}

void job_engine::takeReport(worker_state& worker, const external::run_report& report, utils::time_point now)
{
    auto* run = findRun(worker, report.run);
    if (run == nullptr) {
        job_state* job = nullptr;
        auto* task = findTask(report.run, &job);
        if (task == nullptr) {
            m_note({ note_kind::RunAdopted, report.run.task.job, "", worker.description.id, "a run of an unknown job" });
            return;
        }
        if (std::ranges::find(task->closedRuns, report.run.number) != task->closedRuns.end())
            return;
        const bool isWanted = !task->isDone && !isFinal(job->phase) && task->runs.empty();
        run = &openRun(*job, report.run.task.step, report.run.task.index, worker, report.run.number, now);
        run->phase = run_phase::Running;
        run->runningSince = now;
        run->firstPercent = report.percent;
        run->isPaceKnown = false;
        note(note_kind::RunAdopted, *run, isWanted ? "of a former leader" : "not wanted");
        if (job->phase == job_phase::Queued)
            job->phase = job_phase::Running;
        if (!isWanted)
            stopRun(*run, now, "the task is done, cancelled or runs elsewhere");
    }
    if (run->phase == run_phase::Uncertain) {
        run->phase = run_phase::Running;
        run->since = now;
        run->runningSince = now;
        note(note_kind::RunAdopted, *run, "its start took effect without an answer");
        if (run->job->phase == job_phase::Queued)
            run->job->phase = job_phase::Running;
    }
    if (run->firstPercent < 0)
        run->firstPercent = report.run.number > 1 && !run->checkpoint.empty() ? report.percent : 0;
    if (report.percent != run->percent) {
        run->percent = report.percent;
        run->percentChangedAt = now;
    }
    run->load = report.load;
    if (!report.checkpoint.empty())
        run->checkpoint = report.checkpoint;
}

// Only an observation that was sent after the last answered order can tell that a run is not there.
void job_engine::takeAbsence(run_state& run, utils::time_point sentAt, utils::time_point now)
{
    if (run.phase == run_phase::Starting)
        return;
    if (run.phase == run_phase::Stopping) {
        if (run.stopConfirmedAt && sentAt >= *run.stopConfirmedAt) {
            note(note_kind::RunLost, run, "it was never there and is rejected from now on");
            closeRun(run, now);
        }
        return;
    }
    if (sentAt < run.since)
        return;
    stopRun(run, now, run.phase == run_phase::Uncertain ? "its start has not taken effect" : "its worker no longer lists it");
}

void job_engine::acknowledgeEnds(worker_state& worker)
{
    while (!worker.unstoredEnds.empty()) {
        const auto& end = worker.unstoredEnds.front();
        const auto job = m_jobs.find(end.job);
        if (end.version != 0 && job != m_jobs.end() && job->second->storedVersion < end.version)
            return;
        worker.acknowledgedEnd = end.number;
        worker.unstoredEnds.pop_front();
    }
}

void job_engine::observe(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    // A worker whose entry is gone is still asked while it may run something.
    const bool mayHaveRuns = !worker.runs.empty() || m_unheard.contains(worker.description.id);
    const bool isNeeded = mayHaveRuns || worker.lastEnd > worker.acknowledgedEnd || (!worker.isFenced && worker.isAnnounced);
    const auto order = [&](utils::milliseconds wait) {
        external::observe_order result { worker.acknowledgedEnd, m_term, 0, wait };
        // A silent worker gets no new lease, so that what it ran may start elsewhere when the last one has lapsed.
        if (worker.isFenced && worker.clock != 0 && worker.silences == 0 && !worker.runs.empty())
            result.leaseEnd = grantLease(worker, now);
        return result;
    };
    const external::worker_address address { worker.description.id, worker.description.endpoint };
    if (worker.wantsProbe && !worker.isProbed) {
        worker.wantsProbe = false;
        worker.isProbed = true;
        commands.push_back(observe_command { address, order(utils::milliseconds(0)), true });
    }
    if (!isNeeded || worker.isObserved || now < worker.nextObservation)
        return;
    // The worker would answer at once with ends that can't be acknowledged yet.
    if (!worker.unstoredEnds.empty() && now < worker.answeredAt + m_settings.observeRetry)
        return;
    utils::milliseconds wait { 0 };
    if (worker.isFenced && worker.silences == 0 && !worker.runs.empty())
        wait = worker.fillProcessors > 0 && worker.servingProcessors > 0 ? m_settings.observeWaitBesideFills : m_settings.observeWait;
    worker.isObserved = true;
    commands.push_back(observe_command { address, order(wait), false });
}

} // namespace camphorsaddle::jobs
