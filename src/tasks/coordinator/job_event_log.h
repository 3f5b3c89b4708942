#pragma once

#include "jobs/engine_command.h"
#include "utils/line_budget.h"

namespace camphorsaddle::tasks {

//! \brief Writes the events of a job engine to the log with a bounded rate.
//!
//! Routine lines, the starts and ends of runs that go as planned, have a budget of their own, so that they leave room for
//! the lines that explain a failure. So have the lines that sum up a job or the fleet, and those on service tasks that wait.
class job_event_log {
public:
    void write(const jobs::engine_event& event, utils::time_point now);
    //! \brief Logs how many lines were left out since the last call, if any.
    void reportLeftOutLines();

private:
    utils::line_budget& budgetFor(const jobs::engine_event& event);

    static constexpr double routineLinesPerSecond = 60;
    static constexpr double otherLinesPerSecond = 300;
    static constexpr double summaryLinesPerSecond = 200;
    // All lines of a report are written at once.
    static constexpr double serviceWaitLinesPerSecond = 20;

    utils::line_budget m_routineBudget { routineLinesPerSecond };
    utils::line_budget m_otherBudget { otherLinesPerSecond };
    utils::line_budget m_summaryBudget { summaryLinesPerSecond };
    utils::line_budget m_serviceWaitBudget { serviceWaitLinesPerSecond };
};

} // namespace camphorsaddle::tasks
