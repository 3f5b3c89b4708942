#include <algorithm>
#include <optional>

#include "absl/strings/str_cat.h"
#include "jobs/exchange_search.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds rebalanceInterval { 200 };
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
    constexpr utils::milliseconds moveTimeout { 2000 };

    bool isLatencyCritical(const run_state& run)
    {
        const auto& step = run.job->spec.steps[run.step];
        return step.isLongRunning && step.latencyTarget.count() > 0;
    }

    bool isInService(const task_state& task)
    {
        return task.runs.size() == 1 && task.runs.front()->phase == run_phase::Running && task.runs.front()->percent == 100;
    }

    std::size_t permittedMoves(std::size_t taskCount)
    {
        return static_cast<std::size_t>(maximumMovingShare * static_cast<double>(taskCount)) + 1;
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
    }
    for (const auto& id : m_reservedTasks) {
        job_state* job = nullptr;
        const auto* task = findTask({ id, 0 }, &job);
        if (task == nullptr || task->reservedWorker == nullptr)
            continue;
        addBlockers(task->reservedWorker->blockerCounts, m_interference.antagonists(job->steps[id.step].image));
    }
    for (auto* worker : m_workerList) {
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
    std::size_t taskCount = 0;
    std::size_t movingCount = 0;
    for (auto* job : m_activeJobs) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            auto& step = job->steps[number];
            if (!spec.isLongRunning || spec.latencyTarget.count() == 0 || !step.isReady)
                continue;
            step.movingCount = static_cast<std::size_t>(std::ranges::count_if(step.tasks, [](const auto& task) { return !isInService(task); }));
            taskCount += step.tasks.size();
            movingCount += step.movingCount;
        }
    }
    const auto limit = permittedMoves(taskCount);
    if (movingCount >= limit)
        return;
    exchange_search search(m_blockedDemand, minimumMoveGain);
    addServicePlaces(search, now);
    search.offerExchanges([&](const service_place& left, const service_place& right) {
        if (movingCount >= limit)
            return exchange_outcome::Finished;
        if (!mayTakePlace(left.run, right, now) || !mayTakePlace(right.run, left, now))
            return exchange_outcome::Unsuitable;
        exchangePlaces(left, right, now);
        movingCount += (left.run != nullptr ? 1 : 0) + (right.run != nullptr ? 1 : 0);
        return exchange_outcome::Exchanged;
    });
    m_evaluatedMoves += search.evaluations();
}

void job_engine::addServicePlaces(exchange_search& search, utils::time_point now)
{
    std::vector<service_place> places;
    std::optional<model::resources> least;
    for (auto* worker : m_workerList) {
        if (worker->isOnRoster && isOpenForTasks(*worker, m_settings, now) && worker->reservationCount == 0) {
            // Whether a task fits is known below.
            places.push_back({ worker, nullptr });
            for (auto* run : worker->runs) {
                const auto& spec = run->job->spec.steps[run->step];
                if (!isLatencyCritical(*run) || !isInService(taskOf(*run)) || spec.maximumUnavailableTasks > 0 || now <= run->runningSince + minimumTimeBetweenMoves)
                    continue;
                places.push_back({ worker, run });
                const auto& needed = spec.taskResources;
                least = least ? model::resources { std::min(least->processors, needed.processors), std::min(least->memory, needed.memory), std::min(least->accelerators, needed.accelerators) } : needed;
            }
        }
    }
    for (const auto& place : places) {
        const auto& worker = *place.worker;
        if (place.run != nullptr)
            search.addPlace(place, worker.blockerCounts, m_interference.antagonists(place.run->image));
        else if (least && least->fitsIn(worker.description.capacity - worker.allocated))
            search.addPlace(place, worker.blockerCounts, {});
    }
}

bool job_engine::mayTakePlace(const run_state* run, const service_place& place, utils::time_point now) const
{
    if (run == nullptr)
        return true;
    const auto& spec = run->job->spec.steps[run->step];
    const auto& step = run->job->steps[run->step];
    const auto& worker = *place.worker;
    auto free = worker.description.capacity - worker.allocated;
    if (place.run != nullptr)
        free = free + place.run->job->spec.steps[place.run->step].taskResources;
    if (worker.description.service != run->job->spec.service || !spec.taskResources.fitsIn(free) || step.movingCount >= permittedMoves(step.tasks.size()))
        return false;
    if (spec.maximumTasksPerWorker > 0 && runsOfStep(worker, *run->job, run->step) >= spec.maximumTasksPerWorker)
        return false;
    const auto& task = step.tasks[run->index];
    return !isExcluded(task, worker, now) && avoidanceCost(task, worker) == 0 && mayPlaceIgnoringResources(worker, spec, now);
}

void job_engine::exchangePlaces(const service_place& left, const service_place& right, utils::time_point now)
{
    const auto antagonistsOf = [&](const service_place& place) {
        return place.run != nullptr ? m_interference.antagonists(place.run->image) : std::vector<image_index>();
    };
    const auto leftAntagonists = antagonistsOf(left);
    const auto rightAntagonists = antagonistsOf(right);
    const double gain = m_blockedDemand.gainOfSwapping(left.worker->blockerCounts, leftAntagonists, right.worker->blockerCounts, rightAntagonists);
    const bool isSwap = left.run != nullptr && right.run != nullptr;
    const std::string reason = absl::StrCat(isSwap ? "swapping it with another service task" : "moving it", " unblocks ", static_cast<int>(100 * gain), "% of the best-effort demand");
    removeBlockers(left.worker->blockerCounts, leftAntagonists);
    addBlockers(left.worker->blockerCounts, rightAntagonists);
    removeBlockers(right.worker->blockerCounts, rightAntagonists);
    addBlockers(right.worker->blockerCounts, leftAntagonists);
    const auto move = [&](run_state* run, worker_state& target) {
        if (run == nullptr)
            return;
        stopRun(*run, now, reason);
        ++run->job->steps[run->step].movingCount;
        releaseReservation(*run->job, run->step, taskOf(*run));
        reserveWorker(*run->job, run->step, run->index, target, now + moveTimeout);
    };
    move(left.run, *right.worker);
    move(right.run, *left.worker);
}

} // namespace camphorsaddle::jobs
