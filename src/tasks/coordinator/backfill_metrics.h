#pragma once

#include "jobs/backfill_scheduler.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

//! \brief Metrics of the leader's reservations for waiting tasks and of the starts before them.
class backfill_metrics {
public:
    explicit backfill_metrics(utils::metric_registry& registry);

    //! \brief Shows the summary of the present term; an empty one if this daemon doesn't lead.
    void update(const jobs::backfill_summary& summary);

private:
    utils::gauge& m_reservedTasks;
    utils::gauge& m_mostOvertakings;
    utils::counter& m_startedBefore;
    utils::counter& m_startedBeside;
    jobs::backfill_summary m_last;
};

} // namespace camphorsaddle::tasks
