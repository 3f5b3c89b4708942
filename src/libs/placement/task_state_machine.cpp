#include "placement/task_state_machine.h"

#include <array>

#include "statechart/enumerated_chart.h"

namespace camphorsaddle::placement {

namespace {

    constexpr std::array<absl::string_view, taskPhaseCount> phaseNames { "pending", "parked", "starting", "running", "checkpointing", "stopping",
        "evicted", "uncertain", "cancelling", "finished", "failed", "cancelled" };

    constexpr std::array<absl::string_view, taskEventCount> eventNames { "placed", "cannot_run", "can_run", "start_confirmed", "start_refused",
        "start_lost", "attempt_finished", "attempt_failed", "attempts_exhausted", "evict", "checkpoint_taken", "checkpoint_failed", "stop",
        "stop_confirmed", "requeue", "worker_silent", "owner_changed", "seen_running", "never_seen", "lease_ended", "cancel" };

    using task_chart = statechart::enumerated_chart<task_context, task_phase, taskPhaseCount, task_event, taskEventCount>;

    const task_chart& taskChart()
    {
        static const auto chart = task_chart::load("task", phaseNames, eventNames);
        return statechart::requireChart(chart);
    }

} // namespace

absl::string_view toString(task_phase phase)
{
    return phaseNames[static_cast<std::size_t>(phase)];
}

absl::string_view toString(task_event event)
{
    return eventNames[static_cast<std::size_t>(event)];
}

task_state_machine::task_state_machine()
    : m_machine(taskChart().start())
{
}

task_state_machine::task_state_machine(task_phase phase)
    : m_machine(taskChart().resume(phase))
{
}

absl::Status task_state_machine::fire(task_event event)
{
    task_context context;
    return taskChart().fire(m_machine, event, context);
}

task_phase task_state_machine::phase() const
{
    return taskChart().phaseOf(m_machine);
}

bool task_state_machine::isFinal() const
{
    return m_machine.isFinal();
}

bool hasAllocation(task_phase phase)
{
    switch (phase) {
    case task_phase::Starting:
    case task_phase::Running:
    case task_phase::Checkpointing:
    case task_phase::Stopping:
    case task_phase::Uncertain:
    case task_phase::Cancelling:
        return true;
    default:
        return false;
    }
}

} // namespace camphorsaddle::placement
