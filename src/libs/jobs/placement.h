#pragma once

#include <map>
#include <optional>
#include <string>

#include "jobs/job_state.h"

namespace camphorsaddle::jobs {

//! \brief How much a task of an image that fills slows the tasks that serve beside it, learned from their tails.
class fill_pressure {
public:
    //! \brief Growth of a neighbour's tail against its target for each core that the image uses beside it.
    double of(const std::string& image) const;
    //! \brief Learns from one look at a worker: \a shares are cores used beside a task that serves, by image,
    //! \a growth is how far its tail lies over the tail without company, as a share of its target.
    void learn(const std::map<std::string, double>& shares, double growth);

private:
    std::map<std::string, double> m_pressures;
};

//! \brief Whether the worker may get a task of the step now.
bool mayPlace(const worker_state& worker, const step_spec& step, const std::string& service, utils::milliseconds withdrawalGrace, utils::time_point now);

//! \brief Runs of a step on a worker.
unsigned runsOfStep(const worker_state& worker, const job_state& job, unsigned step);

//! \brief Lower is better; comparable only for tasks of one step.
//!
//! Tasks that count against the capacity go where the smallest share is taken, which leaves room for large ones on
//! several workers and loses least with one worker. Tasks that fill go where most processors are idle and where they
//! slow the fewest tasks that serve.
double placementCost(const worker_state& worker, const step_spec& step, const fill_pressure& pressure);

//! \brief Processors that tasks which fill could use on the worker, thousandths of a core.
std::int64_t idleProcessors(const worker_state& worker);

} // namespace camphorsaddle::jobs
