#include <algorithm>
#include <functional>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds arrangeInterval { 200 };
    // Searches for a place in one round; they cost the leader's processor.
    constexpr unsigned searchLimit = 8;
    // Tasks that are away for a move at one time, against all that serve.
    constexpr double mostMoving = 0.05;
    // A task that was moved stays for this time.
    constexpr utils::milliseconds settleTime { 6000 };
    // Share of the demand on one worker that a move has to win; a move costs about a second of service.
    constexpr double leastGain = 0.03;
    constexpr double demandMemory = 0.9;
    // A stop takes up to half a second and its report as long; the other one of a swap has to leave as well.
    constexpr utils::milliseconds holdTime { 2000 };

    bool hasTarget(const run_state& run)
    {
        const auto& step = run.job->spec.steps[run.step];
        return step.lasts && step.target.count() > 0;
    }

} // namespace

void job_engine::countBlockers()
{
    m_interference.refresh();
    std::vector<double> wanted;
    for (const auto* job : m_active) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            const auto& step = job->steps[number];
            if (spec.fills && step.isReady)
                addUse(wanted, step.image, static_cast<double>(spec.taskResources.processors) * static_cast<double>(step.tasks.size() - step.doneCount));
        }
    }
    m_fillDemand.resize(std::max(m_fillDemand.size(), wanted.size()), 0);
    for (std::size_t image = 0; image < m_fillDemand.size(); ++image)
        m_fillDemand[image] = demandMemory * m_fillDemand[image] + (image < wanted.size() ? wanted[image] : 0);
    m_arrangement.setDemand(m_fillDemand);
    for (auto& [id, worker] : m_workers) {
        worker->blockers.clear();
        for (const auto* run : worker->runs) {
            if (hasTarget(*run) && run->phase != run_phase::Stopping)
                addBlockers(worker->blockers, m_interference.enemies(run->image));
        }
        worker->blocked = m_arrangement.blocked(worker->blockers);
    }
}

// Moves tasks that serve one by one to workers that are closed to the work which disturbs them anyway.
void job_engine::arrangeServing(utils::time_point now)
{
    if (now < m_arrangedAt + arrangeInterval || m_isRestoring)
        return;
    m_arrangedAt = now;
    countBlockers();
    std::vector<run_state*> movable;
    std::size_t serving = 0;
    std::size_t moving = 0;
    for (auto* job : m_active) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            if (!spec.lasts || spec.target.count() == 0 || !job->steps[number].isReady)
                continue;
            for (auto& task : job->steps[number].tasks) {
                ++serving;
                if (task.runs.size() != 1 || task.runs.front()->phase != run_phase::Running || task.runs.front()->percent < 100)
                    ++moving;
                else if (spec.maximumUnavailableTasks == 0 && now > task.runs.front()->runningSince + settleTime && !task.runs.front()->worker->description.isDraining)
                    movable.push_back(task.runs.front().get());
            }
        }
    }
    const auto limit = static_cast<std::size_t>(mostMoving * static_cast<double>(serving)) + 1;
    std::ranges::stable_sort(movable, std::greater(), [&](const auto* run) {
        return m_arrangement.gainOfRemoving(run->worker->blockers, m_interference.enemies(run->image));
    });
    if (!movable.empty())
        std::rotate(movable.begin(), movable.begin() + static_cast<std::ptrdiff_t>(m_arrangementRound % movable.size()), movable.end());
    bool hasMoved = false;
    for (unsigned searches = 0; searches < std::min<std::size_t>(searchLimit, movable.size()) && moving < limit; ++searches) {
        auto* run = movable[searches];
        if (run->phase != run_phase::Running)
            continue;
        if (moveServer(*run, now)) {
            ++moving;
            hasMoved = true;
        } else if (swapServer(*run, movable, now)) {
            moving += 2;
            hasMoved = true;
        }
    }
    m_arrangementRound = hasMoved ? 0 : m_arrangementRound + searchLimit;
}

bool job_engine::moveServer(run_state& run, utils::time_point now)
{
    const auto& enemies = m_interference.enemies(run.image);
    const double gain = m_arrangement.gainOfRemoving(run.worker->blockers, enemies);
    if (gain < leastGain)
        return false;
    const auto& task = run.job->steps[run.step].tasks[run.index];
    auto* target = choose(*run.job, run.step, task, now, placement_mode::Strict);
    if (target == nullptr || gain - m_arrangement.costOfAdding(target->blockers, enemies) < leastGain)
        return false;
    stopRun(run, now, absl::StrCat("it opens its worker to ", static_cast<int>(100 * gain), "% of the filling work"));
    removeBlockers(run.worker->blockers, enemies);
    addBlockers(target->blockers, enemies);
    holdPlace(run, *target, now);
    return true;
}

// Where workers are full, two servers of about the same size change places.
bool job_engine::swapServer(run_state& run, const std::vector<run_state*>& others, utils::time_point now)
{
    const auto& spec = run.job->spec.steps[run.step];
    const auto& enemies = m_interference.enemies(run.image);
    const auto fits = [](const run_state& leaving, const step_spec& coming) {
        const auto& leavingSpec = leaving.job->spec.steps[leaving.step];
        return coming.taskResources.fitsIn(leaving.worker->description.capacity - leaving.worker->charged + leavingSpec.taskResources);
    };
    run_state* best = nullptr;
    double bestGain = 2 * leastGain;
    for (auto* other : others) {
        if (other->worker == run.worker || other->phase != run_phase::Running || other->image == run.image || other->worker->description.service != run.worker->description.service)
            continue;
        const auto& otherSpec = other->job->spec.steps[other->step];
        const double gain = m_arrangement.gainOfSwapping(run.worker->blockers, enemies, other->worker->blockers, m_interference.enemies(other->image));
        if (gain <= bestGain || !fits(run, otherSpec) || !fits(*other, spec))
            continue;
        const bool isApart = (spec.maximumTasksPerWorker == 0 || runsOfStep(*other->worker, *run.job, run.step) < spec.maximumTasksPerWorker)
            && (otherSpec.maximumTasksPerWorker == 0 || runsOfStep(*run.worker, *other->job, other->step) < otherSpec.maximumTasksPerWorker);
        if (!isApart || !mayServe(*other->worker, spec, now) || !mayServe(*run.worker, otherSpec, now))
            continue;
        best = other;
        bestGain = gain;
    }
    if (best == nullptr)
        return false;
    const std::string why = absl::StrCat("two servers change places, which opens ", static_cast<int>(100 * bestGain), "% of the filling work");
    stopRun(run, now, why);
    stopRun(*best, now, why);
    const auto& bestEnemies = m_interference.enemies(best->image);
    removeBlockers(run.worker->blockers, enemies);
    addBlockers(run.worker->blockers, bestEnemies);
    removeBlockers(best->worker->blockers, bestEnemies);
    addBlockers(best->worker->blockers, enemies);
    holdPlace(run, *best->worker, now);
    holdPlace(*best, *run.worker, now);
    return true;
}

void job_engine::holdPlace(run_state& run, worker_state& target, utils::time_point now)
{
    auto& task = taskOf(run);
    releasePlace(*run.job, run.step, task);
    task.heldOn = &target;
    task.heldUntil = now + holdTime;
    target.charged = target.charged + run.job->spec.steps[run.step].taskResources;
    m_holders.push_back(idOf(run).task);
}

void job_engine::releasePlace(job_state& job, unsigned step, task_state& task)
{
    if (task.heldOn == nullptr)
        return;
    task.heldOn->charged = task.heldOn->charged - job.spec.steps[step].taskResources;
    task.heldOn = nullptr;
}

void job_engine::releaseOldPlaces(utils::time_point now)
{
    std::erase_if(m_holders, [&](const external::task_id& id) {
        job_state* job = nullptr;
        auto* task = findTask({ id, 0 }, &job);
        if (task == nullptr)
            return true;
        if (now > task->heldUntil || isFinal(job->phase))
            releasePlace(*job, id.step, *task);
        return task->heldOn == nullptr;
    });
}

bool job_engine::mayServe(const worker_state& worker, const step_spec& step, utils::time_point now) const
{
    auto weightless = step;
    weightless.taskResources = {};
    return mayPlace(worker, weightless, worker.description.service, m_settings.withdrawalGrace, now);
}

} // namespace camphorsaddle::jobs
