#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds evacuationReviewInterval { 200 };
    constexpr utils::milliseconds evacuationReportInterval { 3000 };
    // Share of all service tasks that may be out of service for a move at the same time, as in the rebalancing.
    constexpr double maximumMovingShare = 0.05;
    // A stop takes up to half a second, and its report as long.
    constexpr utils::milliseconds departureTimeout { 2000 };
    // Each search evaluates the whole fleet. After one without a result, other steps get their turn.
    constexpr std::size_t departureSearchesPerReview = 16;
    constexpr utils::milliseconds departureSearchInterval { 1000 };
    // For workers that don't tell how long they are slow. Not measured.
    constexpr utils::milliseconds assumedColdTime { 10'000 };

    bool isMoving(const task_state& task)
    {
        const bool isOutOfService = !task.runs.empty() && (task.runs.size() > 1 || task.runs.front()->phase != run_phase::Running || task.runs.front()->percent < 100);
        return isOutOfService || task.reservedWorker != nullptr;
    }

} // namespace

void job_engine::setEvacuations(const std::set<std::string>& dataCentres, utils::time_point now)
{
    const auto former = m_evacuations.requested();
    m_evacuations.setRequested(dataCentres, now);
    if (former == m_evacuations.requested())
        return;
    for (auto* worker : m_workerList) {
        const bool wasEvacuated = worker->isEvacuated;
        updateEvacuation(*worker);
        // Workers may have become cold shortly before the request; only they can tell that they aren't.
        if (wasEvacuated && !worker->isEvacuated && !worker->description.coldTime)
            worker->coldUntil = std::max(worker->coldUntil, now + assumedColdTime);
    }
    for (const auto& id : m_reservedTasks) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task != nullptr && task->reservedWorker != nullptr && task->reservedWorker->isEvacuated)
            releaseReservation(*job, id.step, *task);
    }
    for (const auto& entry : m_evacuations.requested()) {
        if (!former.contains(entry.first))
            reportEvacuation(engine_event_kind::EvacuationKnown, entry.first, utils::milliseconds(0));
    }
    for (const auto& [dataCentre, knownSince] : former) {
        if (m_evacuations.contains(dataCentre))
            continue;
        reportEvacuation(engine_event_kind::EvacuationEnded, dataCentre, utils::millisecondsBetween(knownSince, now));
        m_emptiedAt.erase(dataCentre);
    }
    // New jobs are judged by the capacity that is left.
    m_balancesUpdatedAt = {};
    updateProcessorBalances(now);
    m_mayStartTasks = true;
}

void job_engine::confirmEvacuations(utils::time_point at)
{
    m_evacuations.confirm(at);
}

const evacuations& job_engine::knownEvacuations() const
{
    return m_evacuations;
}

void job_engine::updateEvacuation(worker_state& worker)
{
    worker.isEvacuated = m_evacuations.contains(worker.description.dataCentre);
}

void job_engine::updateColdTime(worker_state& worker, utils::time_point now) const
{
    if (m_settings.maximumEvacuationsAge && worker.description.coldTime)
        worker.coldUntil = now + *worker.description.coldTime;
}

bool job_engine::isServiceEvacuated(const std::string& service) const
{
    bool isAnyEvacuated = false;
    for (const auto* worker : m_workerList) {
        // In an outage of the store, entries of workers expire that go on working.
        const bool isAnswering = worker->hasAcceptedTerm && worker->unansweredObserves == 0;
        if ((!worker->isAnnounced && !isAnswering) || worker->description.service != service)
            continue;
        if (!worker->isEvacuated)
            return false;
        isAnyEvacuated = true;
    }
    return isAnyEvacuated;
}

evacuation_remainder job_engine::remainderOf(const std::string& dataCentre) const
{
    evacuation_remainder remainder;
    for (const auto* worker : m_workerList) {
        if (worker->description.dataCentre != dataCentre)
            continue;
        ++remainder.workers;
        for (const auto* run : worker->runs) {
            const auto& spec = run->job->spec.steps[run->step];
            ++(spec.isLongRunning ? remainder.services : spec.isBestEffort ? remainder.bestEffort
                                                                           : remainder.batch);
        }
    }
    return remainder;
}

void job_engine::reportEvacuation(engine_event_kind kind, const std::string& dataCentre, utils::milliseconds knownFor)
{
    const auto remainder = remainderOf(dataCentre);
    m_onEvent({ kind, "", "", "", absl::StrCat("data_centre=", dataCentre, " known_ms=", knownFor.count(), " workers=", remainder.workers, " services=", remainder.services, " batch=", remainder.batch, " best_effort=", remainder.bestEffort) });
}

std::vector<evacuation_status> job_engine::evacuationStatuses(utils::time_point now) const
{
    std::vector<evacuation_status> statuses;
    for (const auto& [dataCentre, knownSince] : m_evacuations.requested()) {
        const auto emptied = m_emptiedAt.find(dataCentre);
        statuses.push_back({ dataCentre, utils::millisecondsBetween(knownSince, now), remainderOf(dataCentre), emptied == m_emptiedAt.end() ? std::nullopt : std::optional(utils::millisecondsBetween(emptied->second, now)) });
    }
    return statuses;
}

void job_engine::reviewEvacuations(utils::time_point now)
{
    if (m_evacuations.requested().empty() || m_isRestoring)
        return;
    const bool isReportDue = now >= m_evacuationsReportedAt + evacuationReportInterval;
    if (isReportDue)
        m_evacuationsReportedAt = now;
    for (const auto& [dataCentre, knownSince] : m_evacuations.requested()) {
        const auto knownFor = utils::millisecondsBetween(knownSince, now);
        const auto remainder = remainderOf(dataCentre);
        // A lost order may have started a run that is found later.
        if (!isEmpty(remainder))
            m_emptiedAt.erase(dataCentre);
        else if (remainder.workers > 0 && m_emptiedAt.try_emplace(dataCentre, now).second)
            reportEvacuation(engine_event_kind::EvacuationEmptied, dataCentre, knownFor);
        if (isReportDue)
            reportEvacuation(engine_event_kind::EvacuationProgress, dataCentre, knownFor);
    }
}

bool job_engine::departTo(run_state& run, std::size_t& searches, utils::time_point now)
{
    auto& step = run.job->steps[run.step];
    if (searches == 0 || now < step.departureNotBefore)
        return false;
    --searches;
    auto& task = taskOf(run);
    auto* target = chooseWorker(*run.job, run.step, task, now, {});
    // A task that works isn't stopped for a start that may not arrive.
    if (target == nullptr || target->path->cost > 0) {
        step.departureNotBefore = now + departureSearchInterval;
        return false;
    }
    stopRun(run, now, "its data centre is evacuated");
    releaseReservation(*run.job, run.step, task);
    reserveWorker(*run.job, run.step, run.index, *target, now + departureTimeout);
    return true;
}

void job_engine::moveServicesFromEvacuatedWorkers(utils::time_point now)
{
    if (m_evacuations.requested().empty() || m_isRestoring || now < m_evacuationsReviewedAt + evacuationReviewInterval)
        return;
    m_evacuationsReviewedAt = now;
    std::size_t taskCount = 0;
    std::size_t movingCount = 0;
    std::map<const step_state*, std::size_t> movingByStep;
    for (const auto* job : m_activeJobs) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& step = job->steps[number];
            if (!job->spec.steps[number].isLongRunning || !step.isReady)
                continue;
            const auto moving = static_cast<std::size_t>(std::ranges::count_if(step.tasks, &isMoving));
            taskCount += step.tasks.size();
            movingCount += moving;
            movingByStep[&step] = moving;
        }
    }
    const auto limit = static_cast<std::size_t>(maximumMovingShare * static_cast<double>(taskCount)) + 1;
    auto searches = departureSearchesPerReview;
    for (auto* worker : m_workerList) {
        if (!worker->isEvacuated)
            continue;
        for (auto* run : worker->runs) {
            if (movingCount >= limit)
                return;
            const auto& spec = run->job->spec.steps[run->step];
            const auto* step = &run->job->steps[run->step];
            if (!spec.isLongRunning || run->phase != run_phase::Running || isFinal(run->job->phase))
                continue;
            // A task that doesn't serve yet moves already, in terms of the limits.
            const bool isCounted = isMoving(taskOf(*run));
            if (!isCounted && spec.maximumUnavailableTasks > 0 && movingByStep[step] >= spec.maximumUnavailableTasks)
                continue;
            if (!departTo(*run, searches, now) || isCounted)
                continue;
            ++movingCount;
            ++movingByStep[step];
        }
    }
}

std::optional<run_departure> job_engine::departureOf(const run_state& run) const
{
    const auto worked = run.startClock == 0 ? 0 : run.worker->reportClock - run.startClock;
    const int gained = run.percent - std::max(run.initialPercent, 0);
    if (worked <= 0 || gained <= 0)
        return std::nullopt;
    const auto since = run.worker->reportClock - std::max(run.startClock, run.checkpointClock);
    return run_departure { utils::milliseconds(worked * (100 - run.percent) / gained), utils::milliseconds(since) };
}

void job_engine::moveRunsFromEvacuatedWorkers(utils::time_point now)
{
    if (m_evacuations.requested().empty() || m_isRestoring)
        return;
    auto searches = departureSearchesPerReview;
    for (auto* worker : m_workerList) {
        if (!worker->isEvacuated)
            continue;
        for (auto* run : worker->runs) {
            const auto& spec = run->job->spec.steps[run->step];
            auto& task = taskOf(*run);
            const bool mayMove = !spec.isLongRunning && spec.hasCheckpoints && !run->checkpoint.empty() && run->phase == run_phase::Running && task.runs.size() == 1;
            const auto departure = mayMove ? departureOf(*run) : std::nullopt;
            if (!departure || !isMoveCheaper(*departure))
                continue;
            // Best-effort tasks reserve no processors.
            if (!spec.isBestEffort)
                departTo(*run, searches, now);
            else if (takeBetterWorker(*run, task, now))
                stopRun(*run, now, "its data centre is evacuated");
        }
    }
}

} // namespace camphorsaddle::jobs
