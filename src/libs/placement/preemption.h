#pragma once

#include <map>
#include <set>
#include <vector>

#include "placement/placer.h"
#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief The tasks to evict from a worker to make room for one more urgent task.
struct preemption {
    std::string worker;
    std::vector<task_id> victims;
    //! Seconds of work since the last checkpoints of the victims, weighted by the configuration of their kinds.
    double lostWorkSeconds = 0;
};

//! \brief Chooses the worker and the running tasks whose eviction makes room for \a size and loses the least work.
//!
//! Returns a preemption without victims when no worker can be used. Only tasks of kinds with a priority below
//! \a priority are evicted; workers in \a excludedWorkers are not considered. \a unsavedWorkSince holds the time of the
//! last checkpoint of each running task, or of its start if there is none; tasks that it lacks count as no lost work.
preemption choosePreemption(const shard_state& state, const worker_views& workers, const model::configuration& configuration,
    const model::resources& size, int priority, const std::map<task_id, utils::time_point>& unsavedWorkSince,
    const std::set<std::string>& excludedWorkers, utils::time_point now);

} // namespace camphorsaddle::placement
