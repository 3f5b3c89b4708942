#include "jobs/backfill_scheduler.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // Time from the decision until the task runs, and from its end until the end is known.
    constexpr utils::milliseconds orderAndReportTime { 100 };

} // namespace

planned_start planStart(const std::optional<planned_start>& previous, utils::time_point at)
{
    return previous ? planned_start { at, previous->firstAt, previous->overtakings } : planned_start { at, at, 0 };
}

std::optional<backfill_kind> backfillKind(const reserved_place& place, const model::resources& needed, const duration_estimate& duration, utils::time_point now)
{
    if (!needed.fitsIn(place.free))
        return std::nullopt;
    if ((place.reserved + needed).fitsIn(place.freeAtStart))
        return backfill_kind::FitsBeside;
    const bool isPostponed = place.start.at > place.start.firstAt + maximumPostponement;
    if (isPostponed || place.start.overtakings >= maximumOvertakings)
        return std::nullopt;
    // A task of unknown duration may take any time.
    if (duration.longest.count() <= 0 || now + duration.longest + orderAndReportTime > place.start.at)
        return std::nullopt;
    return backfill_kind::EndsBefore;
}

void recordBackfill(backfill_summary& summary, planned_start& plan, backfill_kind kind)
{
    if (kind == backfill_kind::FitsBeside) {
        ++summary.startedBeside;
        return;
    }
    ++summary.startedBefore;
    ++plan.overtakings;
    summary.mostOvertakings = std::max(summary.mostOvertakings, plan.overtakings);
}

void recordPlan(backfill_summary& summary, const planned_start& plan)
{
    summary.longestPostponement = std::max(summary.longestPostponement, utils::millisecondsBetween(plan.firstAt, plan.at));
}

} // namespace camphorsaddle::jobs
