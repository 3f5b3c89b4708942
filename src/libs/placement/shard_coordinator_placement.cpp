#include <algorithm>

#include "placement/shard_coordinator.h"

namespace camphorsaddle::placement {

namespace {

    constexpr std::size_t maximumEntriesPerRound = 200;
    //! The list of workers may be incomplete for some time.
    constexpr utils::seconds unschedulableGracePeriod { 30 };
    constexpr utils::milliseconds preemptionCheckpointTimeout { 2000 };

} // namespace

bool shard_coordinator::canFitAnyWorker(const std::string& kind) const
{
    const auto found = m_configuration->batchKinds.find(kind);
    return found != m_configuration->batchKinds.end() && std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& worker) {
        const auto& host = worker.second.view.host;
        return host.state == model::host_state::Live && found->second.size.fitsIn(host.capacity);
    });
}

bool shard_coordinator::allowsStarts(const worker_view& view, utils::time_point now) const
{
    return view.isRemoteShard ? m_evacuations.knowledge(now) != evacuation_knowledge::Unknown : m_evacuations.allowsStarts(view.host.dataCentre, now);
}

bool shard_coordinator::isEvacuated(utils::time_point now) const
{
    if (m_evacuations.knowledge(now) != evacuation_knowledge::Known)
        return false;
    bool hasWorkers = false;
    for (const auto& [name, contact] : m_workers) {
        if (contact.view.isRemoteShard || contact.view.host.state != model::host_state::Live)
            continue;
        if (!m_evacuations.isEvacuated(contact.view.host.dataCentre))
            return false;
        hasWorkers = true;
    }
    return hasWorkers;
}

bool shard_coordinator::hasCheckpoints(const task_id& task) const
{
    if (m_configuration == nullptr)
        return true;
    const auto kind = m_configuration->batchKinds.find(m_state.findJob(task.job)->kind);
    return kind == m_configuration->batchKinds.end() || kind->second.checkpoints;
}

// Parks tasks that failed repeatedly on workers that run other tasks well, and tasks that are larger than every worker.
void shard_coordinator::parkTasks(utils::time_point now)
{
    for (const auto& task : m_state.repeatedlyFailedTasks()) {
        if (m_busyTasks.count(task) == 0)
            appendTaskEntry(task, task_parking { task, parking_cause::FailedOften });
    }
    std::size_t parked = 0;
    std::map<std::string, utils::time_point> unschedulableSince;
    for (const auto& [key, queue] : m_state.queues()) {
        if (canFitAnyWorker(key.kind))
            continue;
        const auto since = m_unschedulableSince.find(key.kind);
        unschedulableSince[key.kind] = since == m_unschedulableSince.end() ? now : since->second;
        if (now < unschedulableSince[key.kind] + unschedulableGracePeriod)
            continue;
        for (auto next = queue.begin(); next != queue.end() && parked < maximumEntriesPerRound; ++next) {
            if (m_busyTasks.count(next->second) > 0)
                continue;
            appendTaskEntry(next->second, task_parking { next->second, parking_cause::NeverFits });
            ++parked;
        }
    }
    m_unschedulableSince = std::move(unschedulableSince);
}

void shard_coordinator::unparkTasks()
{
    std::size_t unparked = 0;
    for (const auto& [kind, tasks] : m_state.unschedulableTasks()) {
        if (!canFitAnyWorker(kind))
            continue;
        for (auto task = tasks.begin(); task != tasks.end() && unparked < maximumEntriesPerRound; ++task) {
            if (m_busyTasks.count(*task) > 0)
                continue;
            appendTaskEntry(*task, task_parking { *task, parking_cause::None });
            ++unparked;
        }
    }
}

worker_views shard_coordinator::makeWorkerViews(utils::time_point now) const
{
    worker_views views;
    for (const auto& [name, contact] : m_workers) {
        auto& view = views[name];
        view = contact.view;
        view.isClosed = !allowsStarts(view, now);
        if (!view.isRemoteShard)
            view.maximumAttempts = m_workerHealth.maximumAttempts(name, now);
    }
    return views;
}

std::set<task_id> shard_coordinator::collectExcludedTasks(utils::time_point now)
{
    auto excluded = m_busyTasks;
    for (auto current = m_retryTimes.begin(); current != m_retryTimes.end();) {
        if (now >= current->second) {
            current = m_retryTimes.erase(current);
            continue;
        }
        excluded.insert(current->first);
        ++current;
    }
    return excluded;
}

void shard_coordinator::placeTasks(utils::time_point now)
{
    if (m_state.queues().empty())
        return;
    const auto views = makeWorkerViews(now);
    const auto round = placePendingTasks(m_state, views, *m_configuration, collectExcludedTasks(now), maximumEntriesPerRound, m_startsSincePatient);
    m_startsSincePatient = round.startsSincePatient;
    for (const auto& placed : round.placed) {
        ++m_pendingPlacements;
        appendTaskEntry(placed.task, placed);
    }
    startPreemptions(round.blockedUrgentTasks, views, now);
}

// Starts preemptions so that there is one for each blocked task. A worker has at most one preemption at a time.
void shard_coordinator::startPreemptions(const std::vector<task_id>& blockedTasks, const worker_views& views, utils::time_point now)
{
    std::set<std::string> excludedWorkers;
    for (auto current = m_preemptions.begin(); current != m_preemptions.end();) {
        const auto isPending = [this](const task_id& task) {
            return m_evictions.count(task) > 0;
        };
        const bool isDone = std::none_of(current->second.begin(), current->second.end(), isPending);
        if (!isDone)
            excludedWorkers.insert(current->first);
        current = isDone ? m_preemptions.erase(current) : std::next(current);
    }
    for (const auto& [name, view] : views) {
        if (m_state.taskCountOnWorker(name) > view.maximumAttempts)
            excludedWorkers.insert(name);
    }
    for (std::size_t index = m_preemptions.size(); index < blockedTasks.size(); ++index) {
        const auto kind = m_configuration->batchKinds.find(m_state.findJob(blockedTasks[index].job)->kind);
        auto chosen = choosePreemption(m_state, views, *m_configuration, kind->second.size, kind->second.priority, m_unsavedWorkSince, excludedWorkers, now);
        if (chosen.victims.empty())
            return;
        for (const auto& task : chosen.victims)
            m_evictions[task] = { m_state.findTask(task)->attempt, true, preemptionCheckpointTimeout, hasCheckpoints(task) ? 1U : 0U, 0, {} };
        excludedWorkers.insert(chosen.worker);
        m_preemptions[chosen.worker] = std::move(chosen.victims);
    }
}

} // namespace camphorsaddle::placement
