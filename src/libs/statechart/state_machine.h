#pragma once

#include <functional>
#include <map>
#include <string>

#include "absl/strings/str_cat.h"
#include "statechart/chart.h"
#include "utils/errors.h"

namespace camphorsaddle::statechart {

//! \brief The functions that implement a chart's guards and actions, by name.
template <typename Context>
struct chart_functions {
    std::map<std::string, std::function<bool(const Context&)>> guards;
    std::map<std::string, std::function<void(Context&)>> actions;
};

//! \brief A chart with its functions; any number of state machines share it, and it must outlive them.
template <typename Context>
class bound_chart {
public:
    //! \brief Binds a chart to \a functions; fails with InvalidArgument when a guard or action has no function.
    static absl::StatusOr<bound_chart> bind(const chart& chart, const chart_functions<Context>& functions)
    {
        bound_chart result;
        for (const auto& name : chart.guards) {
            const auto found = functions.guards.find(name);
            if (found == functions.guards.end())
                return utils::makeError(absl::StatusCode::kInvalidArgument, "bind chart", chart.name, absl::StrCat("no function for the guard ", name));
            result.m_guards.push_back(found->second);
        }
        for (const auto& name : chart.actions) {
            const auto found = functions.actions.find(name);
            if (found == functions.actions.end())
                return utils::makeError(absl::StatusCode::kInvalidArgument, "bind chart", chart.name, absl::StrCat("no function for the action ", name));
            result.m_actions.push_back(found->second);
        }
        result.m_chart = chart;
        return result;
    }

    const chart& definition() const
    {
        return m_chart;
    }
    bool isGuardSatisfied(name_id guard, const Context& context) const
    {
        return m_guards[guard](context);
    }
    void runAction(name_id action, Context& context) const
    {
        m_actions[action](context);
    }

private:
    bound_chart() = default;

    chart m_chart;
    std::vector<std::function<bool(const Context&)>> m_guards;
    std::vector<std::function<void(Context&)>> m_actions;
};

//! \brief Logs that \a state has no transition for \a event and returns a FailedPrecondition error.
absl::Status reportUndeclaredTransition(const chart& chart, name_id state, name_id event);

//! \brief One instance of a chart: a pointer to the chart and the index of the current state.
template <typename Context>
class state_machine {
public:
    explicit state_machine(const bound_chart<Context>& chart)
        : state_machine(chart, chart.definition().initial)
    {
    }

    //! \brief Creates a state machine in \a state, for example after a recovery.
    state_machine(const bound_chart<Context>& chart, name_id state)
        : m_chart(&chart)
        , m_state(state)
    {
    }

    //! \brief Processes \a event: enters the target state of the transition, then runs its actions in order.
    //!
    //! Fails with FailedPrecondition when the current state has no matching transition.
    absl::Status fire(name_id event, Context& context)
    {
        const auto& definition = m_chart->definition();
        for (const auto& candidate : definition.states[m_state].transitions) {
            if (candidate.event != event || (candidate.guard && !m_chart->isGuardSatisfied(*candidate.guard, context)))
                continue;
            m_state = candidate.target;
            for (const auto action : candidate.actions)
                m_chart->runAction(action, context);
            return absl::OkStatus();
        }
        return reportUndeclaredTransition(definition, m_state, event);
    }

    name_id state() const
    {
        return m_state;
    }
    const std::string& stateName() const
    {
        return m_chart->definition().states[m_state].name;
    }
    bool isFinal() const
    {
        return m_chart->definition().states[m_state].isFinal;
    }

private:
    const bound_chart<Context>* m_chart;
    name_id m_state;
};

} // namespace camphorsaddle::statechart
