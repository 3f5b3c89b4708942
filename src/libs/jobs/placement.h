#pragma once

#include <string>

#include "jobs/engine_settings.h"
#include "jobs/interference_model.h"
#include "jobs/job_state.h"

namespace camphorsaddle::jobs {

//! \brief Time at which the worker had the capacity that its directory entry states.
utils::time_point capacityKnownAt(const worker_state& worker);

//! \brief Whether tasks may be started by the capacity that the worker's directory entry states.
bool isCapacityReliable(const worker_state& worker, const engine_settings& settings, utils::time_point now);

//! \brief Whether the worker may be given any task now, as far as that depends on the worker alone.
bool isOpenForTasks(const worker_state& worker, const engine_settings& settings, utils::time_point now);

//! \brief Whether the worker is slow after its start and got a task so recently that the next one has to wait.
bool hasRecentColdStart(const worker_state& worker, utils::time_point now);

//! \brief Part of the placement cost of a worker that is slow after its start; falls to 0 with the time that is left.
double coldCost(const worker_state& worker, utils::time_point now);

//! \brief Resources that a task of the step reserves on its worker. Best-effort tasks reserve no processors.
model::resources reservedResources(const step_spec& step);

//! \brief Processors as a share of the worker's capacity; of a single thousandth of a core if it has none.
double shareOfCapacity(const worker_state& worker, std::int64_t processors);

//! \brief Whether a task of the step may be started on the worker now, as far as that doesn't depend on free resources.
bool isSuitable(const worker_state& worker, const step_spec& step, const std::string& service, const engine_settings& settings, utils::time_point now);

//! \brief Whether a task of the step may be started on the worker now.
bool mayPlace(const worker_state& worker, const step_spec& step, const std::string& service, const engine_settings& settings, utils::time_point now);

//! \brief Number of runs of a step on a worker.
unsigned runsOfStep(const worker_state& worker, const job_state& job, unsigned step);

//! \brief Cost of a task of the step on the worker; lower is better. Comparable only for tasks of one step.
//!
//! Tasks with reserved processors prefer the worker on which they leave the smallest share of free processors, so that other
//! workers keep enough in one piece for large tasks. Best-effort tasks prefer workers with many idle processors whose service
//! tasks keep enough latency headroom.
double placementCost(const worker_state& worker, const step_spec& step, image_index image, const interference_model& interference);

//! \brief Computes the headroom of the worker's service tasks. Call it after each report and each change of its runs.
void updateServiceHeadrooms(worker_state& worker, const interference_model& interference);

//! \brief Minimum headroom (latency target divided by tail latency) of the worker's service tasks if best-effort tasks
//! of \a image use the share \a added of its capacity in addition; infinite without such service tasks.
double minimumHeadroomWith(const worker_state& worker, image_index image, double added, const interference_model& interference);

//! \brief Whether the worker meets the requirement for another best-effort task of the step.
bool bestEffortFits(const worker_state& worker, const step_spec& step, image_index image, const interference_model& interference, const placement_requirement& needed);

//! \brief Processors of the worker that further best-effort tasks could use, thousandths of a core; negative if the
//! present ones request more than is idle.
std::int64_t idleProcessors(const worker_state& worker);

} // namespace camphorsaddle::jobs
