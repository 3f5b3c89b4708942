#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/crash_suspicion.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // Added to the time at which the runs that a waiting task needs the resources of should have ended.
    constexpr utils::milliseconds reservationMargin { 500 };

    bool isWaitedFor(const run_state& run)
    {
        const auto& spec = run.job->spec.steps[run.step];
        return !spec.isLongRunning && !spec.isBestEffort;
    }

} // namespace

void job_engine::reserveWorker(job_state& job, unsigned step, unsigned index, worker_state& worker, utils::time_point until)
{
    auto& task = job.steps[step].tasks[index];
    task.reservedWorker = &worker;
    task.reservedUntil = until;
    worker.allocated = worker.allocated + job.spec.steps[step].taskResources;
    ++worker.reservationCount;
    m_reservedTasks.push_back({ job.spec.id, 0, step, index });
}

void job_engine::releaseReservation(job_state& job, unsigned step, task_state& task)
{
    if (task.reservedWorker == nullptr)
        return;
    task.reservedWorker->allocated = task.reservedWorker->allocated - job.spec.steps[step].taskResources;
    --task.reservedWorker->reservationCount;
    task.reservedWorker = nullptr;
    if (const auto miss = std::exchange(task.reservedAtMiss, std::nullopt))
        --m_waitReservationCounts[*miss];
}

void job_engine::releaseExpiredReservations(utils::time_point now)
{
    std::vector<std::pair<external::task_id, std::size_t>> overdue;
    std::erase_if(m_reservedTasks, [&](const external::task_id& id) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task == nullptr)
            return true;
        if (now > task->reservedUntil && !isFinal(job->phase) && task->reservedAtMiss)
            overdue.emplace_back(id, *task->reservedAtMiss);
        if (now > task->reservedUntil || isFinal(job->phase))
            releaseReservation(*job, id.step, *task);
        return task->reservedWorker == nullptr;
    });
    // The next round of starts would give the worker to others first.
    for (const auto& [id, miss] : overdue) {
        job_state* job = nullptr;
        findTask({ id, 0 }, &job);
        reserveForWaitingTask({ job, id.step, { .deadlineMiss = miss } }, id.index, now);
    }
}

bool job_engine::reserveForWaitingTask(const waiting_step& waiting, unsigned index, utils::time_point now)
{
    auto& job = *waiting.job;
    const auto step = waiting.step;
    const auto& spec = job.spec.steps[step];
    auto& task = job.steps[step].tasks[index];
    const auto miss = waiting.traits.deadlineMiss;
    if (spec.isBestEffort || !task.runs.empty() || m_reservationSearches == 0 || !mayReserve(waitingTime(task, now), miss, m_waitReservationCounts[miss], m_workerList.size()))
        return false;
    --m_reservationSearches;
    worker_state* best = nullptr;
    utils::time_point bestAt;
    for (auto* worker : m_workerList) {
        const auto at = timeOfRoom(*worker, job, step, task, now);
        if (at && (best == nullptr || *at < bestAt)) {
            best = worker;
            bestAt = *at;
        }
    }
    if (best == nullptr)
        return false;
    reserveWorker(job, step, index, *best, bestAt + reservationMargin);
    task.reservedAtMiss = miss;
    task.plan = planStart(task.plan, bestAt);
    recordPlan(m_backfillSummary, *task.plan);
    ++m_waitReservationCounts[miss];
    return true;
}

std::optional<utils::time_point> job_engine::timeOfRoom(const worker_state& worker, const job_state& job, unsigned step, const task_state& task, utils::time_point now) const
{
    const auto& spec = job.spec.steps[step];
    const auto& needed = spec.taskResources;
    if (worker.reservationCount > 0 || needed.processors > worker.description.capacity.processors - worker.longRunningProcessors)
        return std::nullopt;
    if (!worker.isOnRoster || worker.description.service != job.spec.service || hasRecentColdStart(worker, now) || !mayPlaceIgnoringResources(worker, spec, now))
        return std::nullopt;
    if (isExcluded(task, worker, now) || avoidanceCost(task, worker) > 0 || (spec.maximumTasksPerWorker > 0 && runsOfStep(worker, job, step) >= spec.maximumTasksPerWorker))
        return std::nullopt;
    return jobs::timeOfRoom(needed, worker.description.capacity - worker.allocated, expectedEnds(worker, now), now);
}

std::vector<expected_end> job_engine::expectedEnds(const worker_state& worker, utils::time_point now) const
{
    std::vector<expected_end> ends;
    for (const auto* run : worker.runs) {
        if (isWaitedFor(*run))
            ends.push_back({ std::max(now, std::max(run->orderedAt, run->runningSince) + expectedDuration(*run->job, run->step).expected), run->job->spec.steps[run->step].taskResources });
    }
    return ends;
}

std::vector<job_engine::task_reservation> job_engine::reservationsToBackfill()
{
    std::vector<task_reservation> result;
    for (const auto& id : m_reservedTasks) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task == nullptr || task->reservedWorker == nullptr || !task->reservedAtMiss || task->reservedWorker->reservationCount > 1)
            continue;
        const auto& worker = *task->reservedWorker;
        const auto& reserved = job->spec.steps[id.step].taskResources;
        const auto free = worker.description.capacity - worker.allocated + reserved;
        if (free.processors > 0 && free.memory > 0)
            result.push_back({ task, reserved });
    }
    return result;
}

worker_state* job_engine::takeReservedPlace(const job_state& job, unsigned step, const task_state& task, const std::vector<task_reservation>& reservations, utils::time_point now)
{
    const auto& spec = job.spec.steps[step];
    if (spec.isBestEffort || spec.isLongRunning || !task.runs.empty())
        return nullptr;
    const auto duration = expectedDuration(job, step);
    for (const auto& [waitingTask, reserved] : reservations) {
        if (waitingTask->reservedWorker == nullptr || !waitingTask->reservedAtMiss)
            continue;
        auto& worker = *waitingTask->reservedWorker;
        reserved_place place;
        place.reserved = reserved;
        place.free = worker.description.capacity - worker.allocated + place.reserved;
        if (!spec.taskResources.fitsIn(place.free))
            continue;
        ++m_evaluatedPlacements;
        const bool isFull = spec.maximumTasksPerWorker > 0 && runsOfStep(worker, job, step) >= spec.maximumTasksPerWorker;
        if (isFull || !worker.isOnRoster || isExcluded(task, worker, now) || avoidanceCost(task, worker) > 0 || worker.description.service != job.spec.service || !mayPlaceIgnoringResources(worker, spec, now))
            continue;
        place.start = *waitingTask->plan;
        place.freeAtStart = freeAt(place.start.at, place.free, expectedEnds(worker, now));
        const auto kind = backfillKind(place, spec.taskResources, duration, now);
        if (!kind)
            continue;
        recordBackfill(m_backfillSummary, *waitingTask->plan, *kind);
        return &worker;
    }
    return nullptr;
}

backfill_summary job_engine::backfillSummary() const
{
    auto summary = m_backfillSummary;
    for (const auto count : m_waitReservationCounts)
        summary.reservedTasks += count;
    return summary;
}

void job_engine::reportReservations()
{
    const auto summary = backfillSummary();
    m_onEvent({ engine_event_kind::ReservationsReported, "", "", "",
        absl::StrCat("in_time=", m_waitReservationCounts[0], " late=", m_waitReservationCounts[1], " overdue=", m_waitReservationCounts[2], " started_before=", summary.startedBefore, " started_beside=", summary.startedBeside,
            " most_overtakings=", summary.mostOvertakings, " longest_postponement_ms=", summary.longestPostponement.count()) });
}

void job_engine::startReservedTasks(utils::time_point now, std::vector<engine_command>& commands)
{
    for (const auto& id : m_reservedTasks) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task == nullptr || task->reservedWorker == nullptr || isFinal(job->phase) || isCrashSuspect(*task) || !isWaiting(*job, id.step, *task, now))
            continue;
        startReservedTask(*job, id.step, id.index, now, commands);
    }
}

// A task that moves waits until the reserved resources become free or the reservation expires.
void job_engine::startReservedTask(job_state& job, unsigned step, unsigned index, utils::time_point now, std::vector<engine_command>& commands)
{
    auto& task = job.steps[step].tasks[index];
    const auto& spec = job.spec.steps[step];
    const auto& taskResources = spec.taskResources;
    auto& worker = *task.reservedWorker;
    const bool isFull = spec.maximumTasksPerWorker > 0 && runsOfStep(worker, job, step) >= spec.maximumTasksPerWorker;
    if (isFull || !mayPlaceIgnoringResources(worker, spec, now)) {
        releaseReservation(job, step, task);
        return;
    }
    if (!taskResources.fitsIn(worker.description.capacity - worker.allocated + taskResources))
        return;
    releaseReservation(job, step, task);
    startTask(job, step, index, worker, now, commands);
}

bool job_engine::mayPlaceIgnoringResources(const worker_state& worker, const step_spec& step, utils::time_point now) const
{
    // A task that works isn't stopped for a start that may not arrive.
    return worker.path->cost == 0 && isSuitable(worker, step, worker.description.service, m_settings, now);
}

} // namespace camphorsaddle::jobs
