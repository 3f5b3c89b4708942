#include "placement/preemption.h"

#include <algorithm>

namespace camphorsaddle::placement {

namespace {

    struct preemption_candidate {
        double lostWorkSeconds = 0;
        task_id task;
        model::resources size;
    };

    std::vector<preemption_candidate> findPreemptionCandidates(const shard_state& state, const std::string& worker, const model::configuration& configuration,
        int priority, const std::map<task_id, utils::time_point>& unsavedWorkSince, utils::time_point now)
    {
        std::vector<preemption_candidate> candidates;
        for (const auto& task : state.tasksOnWorker(worker)) {
            const auto kind = configuration.batchKinds.find(state.findJob(task.job)->kind);
            const auto& record = *state.findTask(task);
            const bool canBeEvicted = record.machine.phase() == task_phase::Running && kind != configuration.batchKinds.end() && kind->second.priority < priority;
            if (!canBeEvicted)
                continue;
            const auto since = unsavedWorkSince.find(task);
            const auto unsavedTime = since == unsavedWorkSince.end() ? std::chrono::duration<double>(0) : std::chrono::duration<double>(now - since->second);
            candidates.push_back({ unsavedTime.count() * kind->second.weight, task, record.size });
        }
        std::sort(candidates.begin(), candidates.end(), [](const preemption_candidate& left, const preemption_candidate& right) { return std::tie(left.lostWorkSeconds, left.task) < std::tie(right.lostWorkSeconds, right.task); });
        return candidates;
    }

    // Selects the tasks with the least lost work until there is enough room, then removes those that turn out to be
    // unnecessary, the ones with the most lost work first.
    preemption findCheapestPreemption(const std::string& worker, const std::vector<preemption_candidate>& candidates, model::resources free, const model::resources& size)
    {
        std::vector<preemption_candidate> selected;
        for (const auto& candidate : candidates) {
            if (size.fitsIn(free))
                break;
            free = free + candidate.size;
            selected.push_back(candidate);
        }
        if (!size.fitsIn(free))
            return {};
        preemption result { worker, {}, 0 };
        for (auto candidate = selected.rbegin(); candidate != selected.rend(); ++candidate) {
            if (size.fitsIn(free - candidate->size)) {
                free = free - candidate->size;
                continue;
            }
            result.victims.push_back(candidate->task);
            result.lostWorkSeconds += candidate->lostWorkSeconds;
        }
        return result;
    }

} // namespace

preemption choosePreemption(const shard_state& state, const worker_views& workers, const model::configuration& configuration,
    const model::resources& size, int priority, const std::map<task_id, utils::time_point>& unsavedWorkSince,
    const std::set<std::string>& excludedWorkers, utils::time_point now)
{
    preemption best;
    for (const auto& [name, view] : workers) {
        const bool isUsable = !view.isRemoteShard && !view.isClosed && view.isResponsive && view.host.state == model::host_state::Live && size.fitsIn(view.host.capacity) && excludedWorkers.count(name) == 0;
        if (!isUsable)
            continue;
        auto current = findCheapestPreemption(name, findPreemptionCandidates(state, name, configuration, priority, unsavedWorkSince, now), view.host.capacity - state.allocatedOnWorker(name), size);
        const bool isBetter = !current.victims.empty() && (best.victims.empty() || current.lostWorkSeconds < best.lostWorkSeconds);
        if (isBetter)
            best = std::move(current);
    }
    return best;
}

} // namespace camphorsaddle::placement
