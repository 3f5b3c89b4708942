#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jobs/best_effort_capacity.h"
#include "jobs/interference_model.h"
#include "jobs/job_state.h"
#include "model/resources.h"
#include "utils/clock.h"

//! \brief Finds workers for the waiting tasks of one round of starts.
namespace camphorsaddle::jobs {

//! \brief Whether the worker may not get the task, because it has a run of it or the task has just left it.
bool isExcluded(const task_state& task, const worker_state& worker, utils::time_point now);

//! \brief Cost of the worker for the task alone, beside that for all tasks of its step.
double avoidanceCost(const task_state& task, const worker_state& worker);

//! \brief What a search for a worker depends on, beside the workers.
struct place_search {
    model::resources taskResources;
    image_index image = 0;
    std::string service;
    std::string label;
    bool isBestEffort = false;
    bool isLongRunning = false;
    placement_requirement requirement;
    //! Until when the outcome of a failed search is kept for best-effort tasks.
    utils::time_point validUntil;

    auto operator<=>(const place_search&) const = default;
};

//! \brief Searches that found no worker.
class failed_searches {
public:
    //! \brief Whether a search for at most the same resources under the same constraints has failed.
    bool cover(const place_search& wanted) const;
    void add(place_search search);
    //! \brief Forgets what may have changed by \a now. The end of any run may let a task with reserved processors start.
    void removeOutdated(utils::time_point now);

private:
    std::vector<place_search> m_searches;
};

//! \brief Worker that may get tasks in the current round of starts, with its free resources at the start of the round.
struct open_worker {
    worker_state* worker = nullptr;
    model::resources free;
};

//! \brief Finds workers for the tasks of a step in order of increasing cost. A start changes the cost of its own worker only, so the
//! fleet is evaluated once per step instead of once per task.
class worker_search {
public:
    //! Lower is better; nullopt for a worker that may not get a task of the step.
    using cost_function = std::function<std::optional<double>(const worker_state&, const placement_requirement&)>;

    //! \a openWorkers must outlive the search. Only those whose free resources \a reserved fits in are evaluated.
    worker_search(const std::vector<open_worker>& openWorkers, const model::resources& reserved, cost_function costOf, utils::time_point now);

    worker_state* nextWorker(const task_state& task, const placement_requirement& needed);
    bool hasCandidates() const;
    //! \brief Evaluates a worker again after a task was started on it.
    void updateCost(worker_state& worker);

private:
    struct candidate {
        double cost;
        worker_state* worker;
    };

    static bool isWorse(const candidate& left, const candidate& right);
    void evaluateWorkers(const placement_requirement& needed);

    const std::vector<open_worker>& m_openWorkers;
    model::resources m_reserved;
    cost_function m_costOf;
    utils::time_point m_now;
    std::optional<placement_requirement> m_requirement;
    std::vector<candidate> m_candidates;
};

} // namespace camphorsaddle::jobs
