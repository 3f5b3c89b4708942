#pragma once

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/configuration.h"
#include "model/host.h"
#include "placement/shard_state.h"

namespace camphorsaddle::placement {

//! \brief Lowest priority of urgent kinds, which may use the headroom and preempt other tasks.
inline constexpr int minimumUrgentPriority = 80;

//! \brief Number of starts of other tasks after which a task of a patient kind is started next.
inline constexpr unsigned startsPerPatientTask = 10;

//! \brief What the placer knows of a worker in addition to its committed allocations.
struct worker_view {
    model::host host;
    //! Whether the worker answered the last call of this owner.
    bool isResponsive = false;
    //! Whether this stands for another shard that accepts tasks; its capacity is what that shard reports as free.
    //! Used only when no worker of this shard has room.
    bool isRemoteShard = false;
    //! Whether no task may be started or make room for another one here, because the data centre is under evacuation or
    //! the evacuations are not known.
    bool isClosed = false;
    //! Number of attempts that may run on the worker at the same time.
    std::size_t maximumAttempts = std::numeric_limits<std::size_t>::max();

    auto operator<=>(const worker_view&) const = default;
};

//! \brief Workers by name.
using worker_views = std::map<std::string, worker_view>;

//! \brief Result of one placement round.
struct placement_round {
    std::vector<task_placed> placed;
    //! Urgent tasks for which no worker has room, in queue order.
    std::vector<task_id> blockedUrgentTasks;
    //! Starts of other tasks since the last task of a patient kind.
    unsigned startsSincePatient = 0;
    //! How often a worker was compared with the size of a task.
    std::size_t examinedWorkerCount = 0;
};

//! \brief Chooses workers for at most \a limit pending tasks, by best fit.
//!
//! Uses only responsive live workers that are not closed, within the capacity that the committed allocations in \a state leave free, and
//! keeps each team within its quota. Higher priorities go first; among equal ones the team that uses the smallest share
//! of its quota. After startsPerPatientTask other starts a task of a patient kind goes first. Tasks in
//! \a excludedTasks are skipped.
placement_round placePendingTasks(const shard_state& state, const worker_views& workers, const model::configuration& configuration,
    const std::set<task_id>& excludedTasks, std::size_t limit, unsigned startsSincePatient = 0);

//! \brief Greatest share of a quota, over all resources, that \a amount uses; infinite when the quota lacks a used resource.
double dominantQuotaShare(const model::resources& amount, const model::resources& quota);

} // namespace camphorsaddle::placement
