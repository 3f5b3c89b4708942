#include "routing/request_chart.h"

#include "statechart/enumerated_chart.h"

namespace camphorsaddle::routing {

namespace {

    constexpr std::array<absl::string_view, requestPhaseCount> phaseNames { "received", "queued", "sending", "retrying", "answered", "not_run", "unknown", "abandoned" };
    constexpr std::array<absl::string_view, requestEventCount> eventNames { "admitted", "refused", "sent", "answer_arrived", "attempt_not_run", "attempt_lost",
        "deadline_passed", "caller_gone" };

    using request_chart = statechart::enumerated_chart<request_context, request_phase, requestPhaseCount, request_event, requestEventCount>;

    statechart::chart_functions<request_context> functions()
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

    const request_chart& chartOfRequests()
    {
        static const auto chart = request_chart::load("request", phaseNames, eventNames, functions());
        return statechart::requireChart(chart);
    }

} // namespace

request_machine::request_machine()
    : m_machine(chartOfRequests().start())
{
}

absl::Status request_machine::fire(request_event event, request_context& context)
{
    return chartOfRequests().fire(m_machine, event, context);
}

request_phase request_machine::phase() const
{
    return chartOfRequests().phaseOf(m_machine);
}

bool request_machine::isFinal() const
{
    return m_machine.isFinal();
}

} // namespace camphorsaddle::routing
