#include "placement/placer.h"

#include <algorithm>
#include <tuple>

namespace camphorsaddle::placement {

namespace {

    constexpr std::size_t blockedUrgentLimit = 32;

    //! A worker with the resources that are still free in this round. Workers of this shard sort before remote shards,
    //! then those with the fewest free accelerators, processors and memory first, so that accelerators stay free for
    //! the tasks that need them.
    struct candidate_worker {
        model::resources free;
        std::string worker;
        std::size_t remainingStarts = 0;
        bool isRemoteShard = false;

        auto sortKey() const
        {
            return std::tie(isRemoteShard, free.accelerators, free.processors, free.memory, worker);
        }

        bool operator<(const candidate_worker& other) const
        {
            return sortKey() < other.sortKey();
        }
    };

    //! A queue of pending tasks with the next task that may be placed.
    struct candidate_queue {
        const model::batch_kind_configuration* kind = nullptr;
        const model::resources* quota = nullptr;
        const queue_key* key = nullptr;
        task_queue::const_iterator next;
        task_queue::const_iterator end;

        bool isUrgent() const
        {
            return kind->priority >= minimumUrgentPriority;
        }
    };

    class round_planner {
    public:
        round_planner(const shard_state& state, const worker_views& workers, const model::configuration& configuration, const std::set<task_id>& excludedTasks)
            : m_state(state)
            , m_workers(workers)
            , m_configuration(configuration)
            , m_excludedTasks(excludedTasks)
        {
            collectCandidateWorkers();
            collectCandidateQueues();
        }

        placement_round run(std::size_t limit, unsigned startsSincePatient)
        {
            m_round.startsSincePatient = startsSincePatient;
            while (m_round.placed.size() < limit && !m_candidateQueues.empty()) {
                const auto selected = selectQueue();
                if (!placeNextTask(*selected))
                    m_candidateQueues.erase(selected);
            }
            return std::move(m_round);
        }

    private:
        void collectCandidateWorkers()
        {
            for (const auto& [name, view] : m_workers) {
                const auto attemptCount = m_state.taskCountOnWorker(name);
                if (view.isResponsive && !view.isClosed && view.host.state == model::host_state::Live && attemptCount < view.maximumAttempts)
                    m_candidateWorkers.insert({ view.host.capacity - m_state.allocatedOnWorker(name), name, view.maximumAttempts - attemptCount, view.isRemoteShard });
            }
        }

        void collectCandidateQueues()
        {
            for (const auto& [key, queue] : m_state.queues()) {
                const auto kind = m_configuration.batchKinds.find(key.kind);
                const auto team = m_configuration.teams.find(key.team);
                if (kind == m_configuration.batchKinds.end() || team == m_configuration.teams.end())
                    continue;
                candidate_queue candidate { &kind->second, &team->second.quota, &key, queue.begin(), queue.end() };
                skipExcludedTasks(candidate);
                if (candidate.next != candidate.end)
                    m_candidateQueues.push_back(candidate);
                m_allocatedByTeam.try_emplace(key.team, m_state.allocatedForTeam(key.team));
            }
        }

        void skipExcludedTasks(candidate_queue& queue) const
        {
            while (queue.next != queue.end && m_excludedTasks.count(queue.next->second) > 0)
                ++queue.next;
        }

        std::vector<candidate_queue>::iterator selectQueue()
        {
            const bool isPatientTurn = m_round.startsSincePatient >= startsPerPatientTask;
            const auto rank = [&](const candidate_queue& queue) {
                return std::tuple(isPatientTurn && queue.kind->patient ? 0 : 1, -queue.kind->priority,
                    dominantQuotaShare(m_allocatedByTeam.at(queue.key->team), *queue.quota), queue.next->first);
            };
            return std::min_element(m_candidateQueues.begin(), m_candidateQueues.end(), [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
        }

        //! Returns whether the queue may place another task in this round.
        bool placeNextTask(candidate_queue& queue)
        {
            const auto& size = queue.kind->size;
            auto& allocated = m_allocatedByTeam.at(queue.key->team);
            if (!queue.key->isDelegated && !(allocated + size).fitsIn(*queue.quota))
                return false;
            const auto task = queue.next->second;
            const auto chosen = findBestFit(size, queue);
            if (chosen == m_candidateWorkers.end()) {
                if (queue.isUrgent())
                    recordBlockedTasks(queue);
                return false;
            }
            auto worker = m_candidateWorkers.extract(chosen);
            worker.value().free = worker.value().free - size;
            allocated = allocated + size;
            m_round.placed.push_back({ task, m_state.findTask(task)->attempt + 1, worker.value().worker, size });
            m_round.startsSincePatient = queue.kind->patient ? 0 : m_round.startsSincePatient + 1;
            if (--worker.value().remainingStarts > 0)
                m_candidateWorkers.insert(std::move(worker));
            ++queue.next;
            skipExcludedTasks(queue);
            return queue.next != queue.end;
        }

        void recordBlockedTasks(candidate_queue& queue)
        {
            for (; queue.next != queue.end && m_round.blockedUrgentTasks.size() < blockedUrgentLimit; skipExcludedTasks(queue))
                m_round.blockedUrgentTasks.push_back((queue.next++)->second);
        }

        // No share of the accelerators is reserved, because a worker has too few of them.
        model::resources addHeadroom(const model::resources& size, const std::string& worker) const
        {
            const auto& capacity = m_workers.at(worker).host.capacity;
            const auto headroom = [&](std::int64_t amount) {
                return static_cast<std::int64_t>(static_cast<double>(amount) * m_configuration.guards.urgentHeadroom);
            };
            return { size.processors + headroom(capacity.processors), size.memory + headroom(capacity.memory), size.accelerators };
        }

        // Candidates are sorted by free resources, so that the first one with enough room is the best fit.
        std::set<candidate_worker>::iterator findBestFit(const model::resources& size, const candidate_queue& queue)
        {
            auto current = m_candidateWorkers.lower_bound({ size, {}, 0 });
            while (current != m_candidateWorkers.end()) {
                ++m_round.examinedWorkerCount;
                // A delegated task is not delegated again.
                if (current->isRemoteShard && queue.key->isDelegated)
                    return m_candidateWorkers.end();
                const auto required = queue.isUrgent() || current->isRemoteShard ? size : addHeadroom(size, current->worker);
                if (required.fitsIn(current->free))
                    return current;
                // Skips the remaining workers with the same number of free accelerators and too few free processors.
                if (current->free.processors < size.processors)
                    current = m_candidateWorkers.lower_bound({ { size.processors, size.memory, current->free.accelerators }, {}, 0, current->isRemoteShard });
                else
                    ++current;
            }
            return current;
        }

        const shard_state& m_state;
        const worker_views& m_workers;
        const model::configuration& m_configuration;
        const std::set<task_id>& m_excludedTasks;
        std::set<candidate_worker> m_candidateWorkers;
        std::vector<candidate_queue> m_candidateQueues;
        std::map<std::string, model::resources> m_allocatedByTeam;
        placement_round m_round;
    };

} // namespace

double dominantQuotaShare(const model::resources& amount, const model::resources& quota)
{
    const auto share = [](std::int64_t used, std::int64_t limit) {
        if (limit > 0)
            return static_cast<double>(used) / static_cast<double>(limit);
        return used > 0 ? std::numeric_limits<double>::infinity() : 0.0;
    };
    return std::max({ share(amount.processors, quota.processors), share(amount.memory, quota.memory), share(amount.accelerators, quota.accelerators) });
}

placement_round placePendingTasks(const shard_state& state, const worker_views& workers, const model::configuration& configuration,
    const std::set<task_id>& excludedTasks, std::size_t limit, unsigned startsSincePatient)
{
    return round_planner(state, workers, configuration, excludedTasks).run(limit, startsSincePatient);
}

} // namespace camphorsaddle::placement
