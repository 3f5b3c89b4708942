#pragma once

#include <string>

#include "jobs/interference.h"
#include "jobs/job_state.h"

namespace camphorsaddle::jobs {

//! \brief Whether the worker may get a task of the step now.
bool mayPlace(const worker_state& worker, const step_spec& step, const std::string& service, utils::milliseconds withdrawalGrace, utils::time_point now);

//! \brief Runs of a step on a worker.
unsigned runsOfStep(const worker_state& worker, const job_state& job, unsigned step);

//! \brief Lower is better; comparable only for tasks of one step.
//!
//! Tasks that count against the capacity go where the smallest share is taken, which leaves room for large ones on
//! several workers and loses least with one worker. Tasks that fill go where most processors are idle and where they
//! slow the fewest tasks that serve.
double placementCost(const worker_state& worker, const step_spec& step, image_number image, const interference_model& interference);

//! \brief Works out anew what each server on the worker has left; after a report and whenever its runs change.
void updateRooms(worker_state& worker, const interference_model& interference);

//! \brief Least headroom (target against tail) that a task which serves on the worker keeps with \a added more use.
//!
//! Without such a task the headroom is unlimited.
double headroomWith(const worker_state& worker, image_number image, double added, const interference_model& interference);

//! \brief Whether a task that fills leaves the headroom \a needed to every task that serves on the worker.
bool fillFits(const worker_state& worker, const step_spec& step, image_number image, const interference_model& interference, double needed);

//! \brief Processors that tasks which fill could use on the worker, thousandths of a core.
std::int64_t idleProcessors(const worker_state& worker);

} // namespace camphorsaddle::jobs
