#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // Keeps a task that fails at once from being restarted in a tight loop; below the bound in which a task that lasts
    // has to be back.
    constexpr utils::milliseconds restartPauses[] { utils::milliseconds(0), utils::milliseconds(150), utils::milliseconds(400), utils::milliseconds(800) };
    constexpr utils::milliseconds failurePause { 20 };
    // Numbers of closed runs that are remembered for a task; copies and moves make only a few.
    constexpr std::size_t closedRunLimit = 8;
    // The worker's room differs from what the ledger says, because ends are not listed yet.
    constexpr utils::milliseconds roomPause { 150 };
    constexpr double ratioWeight = 0.1;

} // namespace

run_state& job_engine::openRun(job_state& job, unsigned step, unsigned index, worker_state& worker, std::uint64_t number, utils::time_point now)
{
    auto& task = job.steps[step].tasks[index];
    const auto& spec = job.spec.steps[step];
    auto run = std::make_unique<run_state>();
    run->job = &job;
    run->step = step;
    run->index = index;
    run->number = number;
    run->image = job.steps[step].image;
    run->worker = &worker;
    run->since = now;
    run->percentChangedAt = now;
    task.lastRun = std::max(task.lastRun, number);
    auto charge = spec.taskResources;
    if (spec.fills) {
        charge.processors = 0;
        worker.fillProcessors += spec.taskResources.processors;
    }
    if (spec.lasts)
        worker.servingProcessors += spec.taskResources.processors;
    worker.charged = worker.charged + charge;
    worker.runs.push_back(run.get());
    if (spec.lasts)
        updateRooms(worker, m_interference);
    task.runs.push_back(std::move(run));
    return *task.runs.back();
}

void job_engine::closeRun(run_state& run, utils::time_point now)
{
    m_hasOpening = true;
    auto& worker = *run.worker;
    auto& task = taskOf(run);
    const auto& spec = run.job->spec.steps[run.step];
    auto charge = spec.taskResources;
    if (spec.fills) {
        charge.processors = 0;
        worker.fillProcessors -= spec.taskResources.processors;
    }
    if (spec.lasts)
        worker.servingProcessors -= spec.taskResources.processors;
    worker.charged = worker.charged - charge;
    std::erase(worker.runs, &run);
    if (spec.lasts)
        updateRooms(worker, m_interference);
    task.waitingSince = now;
    task.closedRuns.push_back(run.number);
    if (task.closedRuns.size() > closedRunLimit)
        task.closedRuns.erase(task.closedRuns.begin());
    if (!run.checkpoint.empty())
        task.checkpoint = run.checkpoint;
    std::erase_if(task.runs, [&](const auto& owned) { return owned.get() == &run; });
}

void job_engine::stopRun(run_state& run, utils::time_point now, const std::string& why)
{
    if (run.phase == run_phase::Stopping)
        return;
    note(note_kind::RunStopped, run, why);
    run.phase = run_phase::Stopping;
    run.since = now;
}

task_state& job_engine::taskOf(const run_state& run)
{
    return run.job->steps[run.step].tasks[run.index];
}

external::run_id job_engine::idOf(const run_state& run) const
{
    return { { run.job->spec.id, 0, run.step, run.index }, run.number };
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

void job_engine::note(note_kind kind, const run_state& run, const std::string& detail)
{
    m_note({ kind, run.job->spec.id, absl::StrCat(run.step, ".", run.index, "/", run.number), run.worker->description.id, detail });
}

void job_engine::note(note_kind kind, const worker_state& worker, const std::string& detail)
{
    m_note({ kind, "", "", worker.description.id, detail });
}

void job_engine::taskDone(job_state& job, unsigned step, unsigned index, utils::time_point now)
{
    auto& task = job.steps[step].tasks[index];
    if (task.isDone)
        return;
    m_hasOpening = true;
    task.isDone = true;
    ++job.steps[step].doneCount;
    changed(job);
    for (auto& run : task.runs)
        stopRun(*run, now, "another copy is done");
    if (isFinal(job.phase))
        return;
    refreshReadiness(job, now);
    const bool isComplete = std::ranges::all_of(job.steps, [](const auto& state) { return state.doneCount == state.tasks.size(); });
    if (isComplete)
        endJob(job, job_phase::Completed, now, "all tasks are done");
}

void job_engine::taskFailed(job_state& job, unsigned step, unsigned index, std::uint64_t run, worker_state& worker, utils::time_point now)
{
    auto& task = job.steps[step].tasks[index];
    // The former leader may have counted it and not acknowledged its end.
    if (std::ranges::find(task.failedRuns, run) != task.failedRuns.end())
        return;
    task.avoided.push_back(worker.description.id);
    if (job.spec.steps[step].lasts) {
        task.notBefore = now + restartPauses[std::min<std::size_t>(task.restarts, std::size(restartPauses) - 1)];
        ++task.restarts;
        return;
    }
    task.failedRuns.push_back(run);
    task.notBefore = now + failurePause;
    changed(job);
    if (!isFinal(job.phase) && task.failedRuns.size() >= attemptsOf(job))
        endJob(job, job_phase::Failed, now, absl::StrCat("task ", step, ".", index, " failed ", task.failedRuns.size(), " times"));
}

void job_engine::takeEnd(worker_state& worker, const external::run_end& end, utils::time_point now)
{
    if (end.number <= worker.lastEnd)
        return;
    worker.lastEnd = end.number;
    job_state* job = nullptr;
    auto* task = findTask(end.run, &job);
    if (task == nullptr) {
        m_note({ note_kind::RunEnded, end.run.task.job, "", worker.description.id, "the job is not known" });
        worker.unstoredEnds.push_back({ end.number, {}, 0 });
        return;
    }
    const auto versionBefore = job->version;
    const auto& spec = job->spec.steps[end.run.task.step];
    auto& step = job->steps[end.run.task.step];
    double slowness = 0;
    auto* run = findRun(worker, end.run);
    m_note({ note_kind::RunEnded, job->spec.id, absl::StrCat(end.run.task.step, ".", end.run.task.index, "/", end.run.number), worker.description.id,
        absl::StrCat("cause=", std::string(toString(end.cause)), " attempts=", task->failedRuns.size(), run == nullptr ? " run=unknown" : "") });
    if (run != nullptr) {
        if (!end.checkpoint.empty())
            run->checkpoint = end.checkpoint;
        const auto duration = static_cast<double>(std::chrono::duration_cast<utils::milliseconds>(now - run->runningSince).count());
        const bool isWhole = run->runningSince != utils::time_point() && run->firstPercent <= 0 && run->pace == 100 && !spec.lasts;
        if (end.cause == external::end_cause::Done && isWhole) {
            if (step.durationCount > 0)
                slowness = duration / (step.durationSum / step.durationCount);
            step.durationSum += duration;
            ++step.durationCount;
            if (spec.estimate.count() > 0) {
                auto& ratio = m_estimateRatios.try_emplace(job->spec.queue, 1.0).first->second;
                ratio += ratioWeight * (std::min(duration / static_cast<double>(spec.estimate.count()), 4.0) - ratio);
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
        worker.trust.done(slowness);
        task->restarts = 0;
        taskDone(*job, end.run.task.step, end.run.task.index, now);
        break;
    case external::end_cause::Failed:
        if (!isFinal(job->phase))
            worker.trust.failed(task->failedRuns.empty() && task->restarts == 0, now);
        taskFailed(*job, end.run.task.step, end.run.task.index, end.run.number, worker, now);
        break;
    case external::end_cause::Stopped:
    case external::end_cause::LeaseExpired:
    case external::end_cause::GangMemberEnded:
    case external::end_cause::GangIncomplete:
        if (!end.checkpoint.empty())
            task->checkpoint = end.checkpoint;
        break;
    }
    worker.unstoredEnds.push_back({ end.number, job->spec.id, job->version > versionBefore ? job->version : 0 });
}

void job_engine::handleStartReply(const std::string& workerId, const external::run_id& id, const external::order_reply& reply, utils::time_point, utils::time_point now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto& worker = *found->second;
    if (reply.clock != 0)
        updateClock(worker, reply.clock, now);
    auto* run = findRun(worker, id);
    // A late answer settles an uncertain run.
    const bool isSettled = run != nullptr && run->phase == run_phase::Uncertain && reply.outcome == external::order_outcome::Accepted;
    if (run == nullptr || (run->phase != run_phase::Starting && run->phase != run_phase::Stopping && !isSettled))
        return;
    const bool isStopping = run->phase == run_phase::Stopping;
    if (reply.outcome != external::order_outcome::Accepted)
        note(note_kind::OrderRefused, *run, absl::StrCat("outcome=", std::string(toString(reply.outcome))));
    switch (reply.outcome) {
    case external::order_outcome::Accepted:
        worker.answeredAt = now;
        run->runningSince = now;
        run->percentChangedAt = now;
        if (!isStopping) {
            run->phase = run_phase::Running;
            run->since = now;
            note(note_kind::RunStarted, *run, absl::StrCat("clock_age_ms=", std::chrono::duration_cast<utils::milliseconds>(now - worker.clockSeen).count()));
        }
        if (run->job->phase == job_phase::Queued)
            run->job->phase = job_phase::Running;
        return;
    case external::order_outcome::Fenced:
        m_isDeposed = true;
        m_note({ note_kind::Deposed, "", "", workerId, absl::StrCat("term=", m_term) });
        return;
    case external::order_outcome::InsufficientCapacity:
        taskOf(*run).notBefore = now + roomPause;
        worker.wantsProbe = true;
        closeRun(*run, now);
        return;
    case external::order_outcome::Unhealthy:
    case external::order_outcome::NotSent:
    case external::order_outcome::Malformed:
        worker.trust.refused(now);
        closeRun(*run, now);
        return;
    case external::order_outcome::LeaseEndPassed:
        worker.wantsProbe = true;
        closeRun(*run, now);
        return;
    case external::order_outcome::OtherIncarnation:
        loseRuns(worker, now, "another worker answers at its address");
        worker.isFenced = false;
        return;
    case external::order_outcome::StaleRunNumber:
    case external::order_outcome::NoAnswer:
        note(note_kind::RunUncertain, *run, std::string(toString(reply.outcome)));
        if (!isStopping) {
            run->phase = run_phase::Uncertain;
            run->since = now;
        }
        worker.wantsProbe = true;
        return;
    }
}

void job_engine::handleStopReply(const std::string& workerId, const external::run_id& id, const external::order_reply& reply, utils::time_point now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto& worker = *found->second;
    if (reply.clock != 0)
        updateClock(worker, reply.clock, now);
    if (reply.outcome == external::order_outcome::Fenced) {
        m_isDeposed = true;
        m_note({ note_kind::Deposed, "", "", workerId, absl::StrCat("term=", m_term) });
        return;
    }
    auto* run = findRun(worker, id);
    if (run == nullptr)
        return;
    run->isStopUnderWay = false;
    if (reply.outcome == external::order_outcome::Accepted && !run->stopConfirmedAt) {
        run->stopConfirmedAt = now;
        worker.wantsProbe = true;
    }
}

void job_engine::handlePaceReply(const std::string& workerId, const external::run_id& id, int percent, const external::order_reply& reply, utils::time_point now)
{
    const auto found = m_workers.find(workerId);
    if (found == m_workers.end())
        return;
    auto* run = findRun(*found->second, id);
    if (run == nullptr)
        return;
    run->isPacing = false;
    run->pacedAt = now;
    if (reply.outcome != external::order_outcome::Accepted)
        return;
    run->pace = percent;
    run->isPaceKnown = true;
}

void job_engine::loseRuns(worker_state& worker, utils::time_point now, const std::string& why)
{
    while (!worker.runs.empty()) {
        auto& run = *worker.runs.back();
        note(note_kind::RunLost, run, why);
        auto& task = taskOf(run);
        task.notBefore = now;
        closeRun(run, now);
    }
    worker.unstoredEnds.clear();
}

} // namespace camphorsaddle::jobs
