#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "jobs/capacity_forecast.h"
#include "model/resources.h"
#include "utils/clock.h"

//! \brief Decides which tasks may start on a worker before a larger task that it is reserved for.
//!
//! Load that it answers: a large task waits until runs on its worker end, and the processors that are free there meanwhile would stay
//! idle, although smaller tasks that wait would end before.
namespace camphorsaddle::jobs {

//! \brief Most tasks that may be started before a task that waits, on workers that are reserved for it, if they delay it when their
//! durations exceed their forecasts.
inline constexpr unsigned maximumOvertakings = 16;

//! \brief Such tasks are started no more once the forecast start of the waiting task is later than the first forecast by this time.
inline constexpr utils::milliseconds maximumPostponement { 1000 };

//! \brief Forecast start of a task that waits for runs of its reserved worker to end.
struct planned_start {
    utils::time_point at;
    //! The first forecast, since which the task may have had other reserved workers.
    utils::time_point firstAt;
    //! Number of tasks that were started before it on its reserved workers.
    unsigned overtakings = 0;

    auto operator<=>(const planned_start&) const = default;
};

//! \brief Plan of a task that gets a reserved worker, after \a previous one if it has had another.
planned_start planStart(const std::optional<planned_start>& previous, utils::time_point at);

//! \brief A worker that is reserved for a task.
struct reserved_place {
    //! Free resources now, before the reservation.
    model::resources free;
    //! Free resources at the planned start, before the reservation.
    model::resources freeAtStart;
    model::resources reserved;
    planned_start start;

    auto operator<=>(const reserved_place&) const = default;
};

enum class backfill_kind {
    //! Ends before the planned start. If it takes longer than forecast, it delays the waiting task.
    EndsBefore,
    //! Fits beside the waiting task.
    FitsBeside,
};

//! \brief How a task may be started before the one that the place is reserved for; nullopt if it may not.
std::optional<backfill_kind> backfillKind(const reserved_place& place, const model::resources& needed, const duration_estimate& duration, utils::time_point now);

//! \brief Reservations and what was started before them during a term, for operators.
struct backfill_summary {
    //! Tasks that have a reserved worker now because they found none.
    std::size_t reservedTasks = 0;
    std::uint64_t startedBefore = 0;
    std::uint64_t startedBeside = 0;
    //! Greatest number of tasks that were started before one task.
    unsigned mostOvertakings = 0;
    //! Longest time by which a task's forecast start has moved.
    utils::milliseconds longestPostponement { 0 };

    auto operator<=>(const backfill_summary&) const = default;
};

//! \brief Records that a task was started before the one with the given plan; counts it in the plan if it may delay that one.
void recordBackfill(backfill_summary& summary, planned_start& plan, backfill_kind kind);

//! \brief Records the plan of a task that gets a reserved worker.
void recordPlan(backfill_summary& summary, const planned_start& plan);

} // namespace camphorsaddle::jobs
