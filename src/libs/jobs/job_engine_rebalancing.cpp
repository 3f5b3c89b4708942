#include <algorithm>
#include <functional>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds rebalanceInterval { 200 };
    // Limits of the processor time that the leader spends in one round. The searches grow with the fleet, so that each service task's turn
    // comes as soon on a large fleet as on a small one.
    constexpr std::size_t minimumSearchesPerRound = 8;
    constexpr std::size_t tasksPerSearch = 250;
    constexpr std::size_t maximumSwapCandidates = 128;
    // Maximum share of the service tasks that may be out of service for a move at the same time.
    constexpr double maximumMovingShare = 0.05;
    // A task that was moved or started stays on its worker at least this long.
    constexpr utils::milliseconds minimumTimeBetweenMoves { 6000 };
    // Minimum share of the best-effort demand that a move must unblock on a worker. A move interrupts the service for
    // about a second.
    constexpr double minimumMoveGain = 0.03;
    // Factor by which older demand counts less with each round.
    constexpr double demandDecay = 0.9;
    // A stop takes up to half a second, its report as long, and in a swap both tasks have to stop.
    constexpr utils::milliseconds reservationTimeout { 2000 };

    bool isLatencyCritical(const run_state& run)
    {
        const auto& step = run.job->spec.steps[run.step];
        return step.isLongRunning && step.latencyTarget.count() > 0;
    }

} // namespace

void job_engine::updateBlockedDemand()
{
    m_interference.refreshAntagonists();
    std::vector<double> requested;
    for (const auto* job : m_activeJobs) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            const auto& step = job->steps[number];
            if (spec.isBestEffort && step.isReady)
                addUsage(requested, step.image, static_cast<double>(spec.taskResources.processors) * static_cast<double>(step.tasks.size() - step.doneCount));
        }
    }
    m_bestEffortDemand.resize(std::max(m_bestEffortDemand.size(), requested.size()), 0);
    for (std::size_t image = 0; image < m_bestEffortDemand.size(); ++image)
        m_bestEffortDemand[image] = demandDecay * m_bestEffortDemand[image] + (image < requested.size() ? requested[image] : 0);
    m_blockedDemand.setDemand(m_bestEffortDemand);
    for (auto* worker : m_workerList) {
        worker->blockerCounts.clear();
        for (const auto* run : worker->runs) {
            if (isLatencyCritical(*run) && run->phase != run_phase::Stopping)
                addBlockers(worker->blockerCounts, m_interference.antagonists(run->image));
        }
        worker->blockedDemand = m_blockedDemand.blockedShare(worker->blockerCounts);
    }
}

// Moves service tasks to workers where other service tasks block the same best-effort images already, which makes other
// workers available to those images.
void job_engine::rebalanceServiceTasks(utils::time_point now)
{
    if (now < m_rebalancedAt + rebalanceInterval || m_isRestoring)
        return;
    m_rebalancedAt = now;
    updateBlockedDemand();
    std::vector<run_state*> movable;
    std::size_t serviceTaskCount = 0;
    std::size_t movingCount = 0;
    for (auto* job : m_activeJobs) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            if (!spec.isLongRunning || spec.latencyTarget.count() == 0 || !job->steps[number].isReady)
                continue;
            for (auto& task : job->steps[number].tasks) {
                ++serviceTaskCount;
                if (task.runs.size() != 1 || task.runs.front()->phase != run_phase::Running || task.runs.front()->percent < 100)
                    ++movingCount;
                else if (spec.maximumUnavailableTasks == 0 && now > task.runs.front()->runningSince + minimumTimeBetweenMoves && !task.runs.front()->worker->description.isDraining)
                    movable.push_back(task.runs.front().get());
            }
        }
    }
    const auto limit = static_cast<std::size_t>(maximumMovingShare * static_cast<double>(serviceTaskCount)) + 1;
    for (auto* run : movable)
        run->gainOfLeaving = m_blockedDemand.gainOfRemoving(run->worker->blockerCounts, m_interference.antagonists(run->image));
    std::ranges::stable_sort(movable, std::greater(), &run_state::gainOfLeaving);
    bool hasMoved = false;
    const auto searchCount = std::min(std::max(minimumSearchesPerRound, movable.size() / tasksPerSearch), movable.size());
    for (std::size_t searches = 0; searches < searchCount && movingCount < limit; ++searches) {
        auto* run = movable[(m_rebalanceOffset + searches) % movable.size()];
        if (run->phase != run_phase::Running)
            continue;
        if (moveServiceTask(*run, now)) {
            ++movingCount;
            hasMoved = true;
        } else if (swapServiceTasks(*run, movable, now)) {
            movingCount += 2;
            hasMoved = true;
        }
    }
    m_rebalanceOffset = hasMoved ? 0 : m_rebalanceOffset + searchCount;
}

bool job_engine::moveServiceTask(run_state& run, utils::time_point now)
{
    const auto& antagonists = m_interference.antagonists(run.image);
    const double gain = m_blockedDemand.gainOfRemoving(run.worker->blockerCounts, antagonists);
    if (gain < minimumMoveGain)
        return false;
    const auto& task = run.job->steps[run.step].tasks[run.index];
    m_evaluatedMoves += m_workerList.size();
    auto* target = chooseWorker(*run.job, run.step, task, now, placement_mode::Strict);
    if (target == nullptr || gain - m_blockedDemand.costOfAdding(target->blockerCounts, antagonists) < minimumMoveGain)
        return false;
    stopRun(run, now, absl::StrCat("moving it unblocks ", static_cast<int>(100 * gain), "% of the best-effort demand on its worker"));
    removeBlockers(run.worker->blockerCounts, antagonists);
    addBlockers(target->blockerCounts, antagonists);
    reserveWorker(run, *target, now);
    return true;
}

// Swaps two service tasks that fit into each other's place, for workers without free capacity. \a others are in descending
// order of gainOfLeaving.
bool job_engine::swapServiceTasks(run_state& run, const std::vector<run_state*>& others, utils::time_point now)
{
    const auto& spec = run.job->spec.steps[run.step];
    const auto& antagonists = m_interference.antagonists(run.image);
    const auto fits = [](const run_state& leaving, const step_spec& coming) {
        const auto& leavingSpec = leaving.job->spec.steps[leaving.step];
        return coming.taskResources.fitsIn(leaving.worker->description.capacity - leaving.worker->allocated + leavingSpec.taskResources);
    };
    run_state* best = nullptr;
    double bestGain = 2 * minimumMoveGain;
    std::size_t candidates = 0;
    for (auto* other : others) {
        // A swap gains at most what both tasks unblock by leaving, and the others are in the order of that.
        if (run.gainOfLeaving + other->gainOfLeaving <= bestGain)
            break;
        if (other->worker == run.worker || other->phase != run_phase::Running || other->image == run.image || other->worker->description.service != run.worker->description.service)
            continue;
        if (++candidates > maximumSwapCandidates)
            break;
        ++m_evaluatedMoves;
        const auto& otherSpec = other->job->spec.steps[other->step];
        const double gain = m_blockedDemand.gainOfSwapping(run.worker->blockerCounts, antagonists, other->worker->blockerCounts, m_interference.antagonists(other->image));
        if (gain <= bestGain || !fits(run, otherSpec) || !fits(*other, spec))
            continue;
        const bool isWithinTaskLimits = (spec.maximumTasksPerWorker == 0 || runsOfStep(*other->worker, *run.job, run.step) < spec.maximumTasksPerWorker)
            && (otherSpec.maximumTasksPerWorker == 0 || runsOfStep(*run.worker, *other->job, other->step) < otherSpec.maximumTasksPerWorker);
        if (!isWithinTaskLimits || !mayPlaceIgnoringResources(*other->worker, spec, now) || !mayPlaceIgnoringResources(*run.worker, otherSpec, now))
            continue;
        best = other;
        bestGain = gain;
    }
    if (best == nullptr)
        return false;
    const std::string reason = absl::StrCat("swapping it with another service task unblocks ", static_cast<int>(100 * bestGain), "% of the best-effort demand");
    stopRun(run, now, reason);
    stopRun(*best, now, reason);
    const auto& bestAntagonists = m_interference.antagonists(best->image);
    removeBlockers(run.worker->blockerCounts, antagonists);
    addBlockers(run.worker->blockerCounts, bestAntagonists);
    removeBlockers(best->worker->blockerCounts, bestAntagonists);
    addBlockers(best->worker->blockerCounts, antagonists);
    reserveWorker(run, *best->worker, now);
    reserveWorker(*best, *run.worker, now);
    return true;
}

void job_engine::reserveWorker(run_state& run, worker_state& target, utils::time_point now)
{
    auto& task = taskOf(run);
    releaseReservation(*run.job, run.step, task);
    task.reservedWorker = &target;
    task.reservedUntil = now + reservationTimeout;
    target.allocated = target.allocated + run.job->spec.steps[run.step].taskResources;
    m_reservedTasks.push_back(idOf(run).task);
}

void job_engine::releaseReservation(job_state& job, unsigned step, task_state& task)
{
    if (task.reservedWorker == nullptr)
        return;
    task.reservedWorker->allocated = task.reservedWorker->allocated - job.spec.steps[step].taskResources;
    task.reservedWorker = nullptr;
}

void job_engine::releaseExpiredReservations(utils::time_point now)
{
    std::erase_if(m_reservedTasks, [&](const external::task_id& id) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task == nullptr)
            return true;
        if (now > task->reservedUntil || isFinal(job->phase))
            releaseReservation(*job, id.step, *task);
        return task->reservedWorker == nullptr;
    });
}

bool job_engine::mayPlaceIgnoringResources(const worker_state& worker, const step_spec& step, utils::time_point now) const
{
    auto withoutResources = step;
    withoutResources.taskResources = {};
    return mayPlace(worker, withoutResources, worker.description.service, m_settings, now);
}

} // namespace camphorsaddle::jobs
