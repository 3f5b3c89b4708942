#include "tasks/coordinator/job_event_log.h"

#include "utils/events.h"

namespace camphorsaddle::tasks {

void job_event_log::write(const jobs::engine_event& event, utils::time_point now)
{
    if (!budgetFor(event).take(now))
        return;
    utils::logEvent(utils::events::jobCourse, { { "what", std::string(toString(event.kind)) }, { "job", event.job }, { "run", event.run }, { "worker", event.worker }, { "detail", event.detail } });
}

utils::line_budget& job_event_log::budgetFor(const jobs::engine_event& event)
{
    if (isSummary(event.kind))
        return m_summaryBudget;
    if (event.kind == jobs::engine_event_kind::ServiceTaskWaits)
        return m_serviceWaitBudget;
    return event.isRoutine ? m_routineBudget : m_otherBudget;
}

void job_event_log::reportLeftOutLines()
{
    const auto routine = m_routineBudget.takeLeftOutCount();
    const auto other = m_otherBudget.takeLeftOutCount();
    const auto summary = m_summaryBudget.takeLeftOutCount();
    const auto serviceWaits = m_serviceWaitBudget.takeLeftOutCount();
    if (routine + other + summary + serviceWaits > 0)
        utils::logEvent(utils::events::logLinesLeftOut, { { "event", std::to_string(utils::events::jobCourse.number) }, { "routine", std::to_string(routine) }, { "other", std::to_string(other) }, { "summary", std::to_string(summary) }, { "service_waits", std::to_string(serviceWaits) } });
}

} // namespace camphorsaddle::tasks
