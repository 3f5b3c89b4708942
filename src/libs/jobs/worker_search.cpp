#include "jobs/worker_search.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorsaddle::jobs {

namespace {

    // Greater than any other difference between the costs of two workers.
    constexpr double avoidedWorkerCost = 10;

} // namespace

bool isExcluded(const task_state& task, const worker_state& worker, utils::time_point now)
{
    return (&worker == task.leftWorker && now < task.leftWorkerAvoidedUntil) || std::ranges::any_of(task.runs, [&](const auto& run) { return run->worker == &worker; });
}

// Tasks that have lost a worker together would otherwise meet again on the next one, and one that crashes its workers would have the
// others counted as the cause.
double avoidanceCost(const task_state& task, const worker_state& worker)
{
    if (task.lateCrashCount > 0 && std::ranges::any_of(worker.runs, [&](const auto* run) { return run->job->steps[run->step].tasks[run->index].lateCrashCount > 0; }))
        return avoidedWorkerCost;
    return std::ranges::find(task.avoidedWorkers, worker.description.id) != task.avoidedWorkers.end() ? avoidedWorkerCost : 0;
}

bool failed_searches::cover(const place_search& wanted) const
{
    return std::ranges::any_of(m_searches, [&](const place_search& search) {
        // Only best-effort tasks are kept away from workers because of their image.
        const bool isSameImage = !search.isBestEffort || search.image == wanted.image;
        return search.requirement == wanted.requirement && isSameImage && search.isBestEffort == wanted.isBestEffort && search.isLongRunning == wanted.isLongRunning
            && search.label == wanted.label && search.service == wanted.service && search.taskResources.fitsIn(wanted.taskResources);
    });
}

void failed_searches::add(place_search search)
{
    m_searches.push_back(std::move(search));
}

void failed_searches::removeOutdated(utils::time_point now)
{
    std::erase_if(m_searches, [&](const place_search& search) { return !search.isBestEffort || now >= search.validUntil; });
}

worker_search::worker_search(const std::vector<open_worker>& openWorkers, const model::resources& reserved, cost_function costOf, utils::time_point now)
    : m_openWorkers(openWorkers)
    , m_reserved(reserved)
    , m_costOf(std::move(costOf))
    , m_now(now)
{
}

worker_state* worker_search::nextWorker(const task_state& task, const placement_requirement& needed)
{
    if (needed != m_requirement)
        evaluateWorkers(needed);
    const bool hasNoExclusions = task.runs.empty() && task.avoidedWorkers.empty() && task.lateCrashCount == 0 && (task.leftWorker == nullptr || m_now >= task.leftWorkerAvoidedUntil);
    if (hasNoExclusions)
        return m_candidates.empty() ? nullptr : m_candidates.front().worker;
    std::optional<candidate> best;
    for (const auto& known : m_candidates) {
        if (isExcluded(task, *known.worker, m_now))
            continue;
        const candidate adapted { known.cost + avoidanceCost(task, *known.worker), known.worker };
        if (!best || isWorse(*best, adapted))
            best = adapted;
    }
    return best ? best->worker : nullptr;
}

bool worker_search::hasCandidates() const
{
    return !m_candidates.empty();
}

void worker_search::updateCost(worker_state& worker)
{
    if (!m_requirement)
        return;
    if (!m_candidates.empty() && m_candidates.front().worker == &worker) {
        std::ranges::pop_heap(m_candidates, isWorse);
        m_candidates.pop_back();
    } else {
        std::erase_if(m_candidates, [&](const candidate& known) { return known.worker == &worker; });
        std::ranges::make_heap(m_candidates, isWorse);
    }
    if (const auto cost = m_costOf(worker, *m_requirement)) {
        m_candidates.push_back({ *cost, &worker });
        std::ranges::push_heap(m_candidates, isWorse);
    }
}

bool worker_search::isWorse(const candidate& left, const candidate& right)
{
    return std::tie(left.cost, left.worker->description.id) > std::tie(right.cost, right.worker->description.id);
}

void worker_search::evaluateWorkers(const placement_requirement& needed)
{
    m_requirement = needed;
    m_candidates.clear();
    for (const auto& open : m_openWorkers) {
        // Starts of this round only reduce the free resources.
        if (!m_reserved.fitsIn(open.free))
            continue;
        if (const auto cost = m_costOf(*open.worker, needed))
            m_candidates.push_back({ *cost, open.worker });
    }
    std::ranges::make_heap(m_candidates, isWorse);
}

} // namespace camphorsaddle::jobs
