#include "tasks/coordinator/backfill_metrics.h"

namespace camphorsaddle::tasks {

namespace {

    // The totals of a new term begin at 0.
    std::uint64_t increase(std::uint64_t before, std::uint64_t now)
    {
        return now < before ? now : now - before;
    }

} // namespace

backfill_metrics::backfill_metrics(utils::metric_registry& registry)
    : m_reservedTasks(registry.addGauge("camphorsaddle_reserved_tasks"))
    , m_mostOvertakings(registry.addGauge("camphorsaddle_most_overtakings"))
    , m_startedBefore(registry.addCounter("camphorsaddle_backfilled_starts_total", "reason=\"ends_before\""))
    , m_startedBeside(registry.addCounter("camphorsaddle_backfilled_starts_total", "reason=\"fits_beside\""))
{
}

void backfill_metrics::update(const jobs::backfill_summary& summary)
{
    m_reservedTasks.set(static_cast<std::int64_t>(summary.reservedTasks));
    m_mostOvertakings.set(summary.mostOvertakings);
    m_startedBefore.add(increase(m_last.startedBefore, summary.startedBefore));
    m_startedBeside.add(increase(m_last.startedBeside, summary.startedBeside));
    m_last = summary;
}

} // namespace camphorsaddle::tasks
