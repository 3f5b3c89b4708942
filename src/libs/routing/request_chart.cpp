#include "routing/request_chart.h"

#include "statechart/enumerated_chart.h"

namespace camphorsaddle::routing {

namespace {

    constexpr std::array<absl::string_view, requestPhaseCount> phaseNames { "received", "queued", "sending", "retrying", "answered", "not_run", "unknown", "abandoned" };
    constexpr std::array<absl::string_view, requestEventCount> eventNames { "admitted", "refused", "sent", "answer_arrived", "attempt_not_run", "attempt_lost",
        "deadline_passed", "caller_gone" };

    using request_chart = statechart::enumerated_chart<request_context, request_phase, requestPhaseCount, request_event, requestEventCount>;

    statechart::chart_functions<request_context> guardBindings()
    {
        statechart::chart_functions<request_context> result;
        result.guards["may_retry"] = [](const request_context& context) {
            return context.mayRetry;
        };
        result.guards["may_repeat"] = [](const request_context& context) {
            return context.mayRepeat;
        };
        result.guards["never_reached_a_minion"] = [](const request_context& context) {
            return !context.mayHaveRun;
        };
        return result;
    }

    const request_chart& requestChart()
    {
        static const auto chart = request_chart::load("request", phaseNames, eventNames, guardBindings());
        return statechart::requireChart(chart);
    }

} // namespace

request_state_machine::request_state_machine()
    : m_machine(requestChart().start())
{
}

absl::Status request_state_machine::fire(request_event event, request_context& context)
{
    return requestChart().fire(m_machine, event, context);
}

request_phase request_state_machine::phase() const
{
    return requestChart().phaseOf(m_machine);
}

bool request_state_machine::isFinal() const
{
    return m_machine.isFinal();
}

} // namespace camphorsaddle::routing
