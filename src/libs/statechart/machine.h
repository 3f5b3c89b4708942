#pragma once

#include <functional>
#include <map>
#include <string>

#include "absl/strings/str_cat.h"
#include "statechart/chart.h"
#include "utils/errors.h"

namespace camphorsaddle::statechart {

//! \brief The functions that a chart's guard and action names stand for.
template <typename Context>
struct chart_functions {
    std::map<std::string, std::function<bool(const Context&)>> guards;
    std::map<std::string, std::function<void(Context&)>> actions;
};

//! \brief A chart with its functions; one serves any number of machines and must outlive them.
template <typename Context>
class bound_chart {
public:
    //! \brief Fails with InvalidArgument when the chart names a guard or action that \a functions lack.
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
    bool holds(name_id guard, const Context& context) const
    {
        return m_guards[guard](context);
    }
    void run(name_id action, Context& context) const
    {
        m_actions[action](context);
    }

private:
    bound_chart() = default;

    chart m_chart;
    std::vector<std::function<bool(const Context&)>> m_guards;
    std::vector<std::function<void(Context&)>> m_actions;
};

//! \brief Logs the undeclared transition and returns a FailedPrecondition error.
absl::Status refuseTransition(const chart& chart, name_id state, name_id event);

//! \brief One instance of a chart: a pointer and the index of its state.
template <typename Context>
class state_machine {
public:
    explicit state_machine(const bound_chart<Context>& chart)
        : state_machine(chart, chart.definition().initial)
    {
    }

    //! \brief Resumes in \a state, for instance after recovery.
    state_machine(const bound_chart<Context>& chart, name_id state)
        : m_chart(&chart)
        , m_state(state)
    {
    }

    //! \brief Takes the transition of \a event: enters the target, then runs the actions in order.
    absl::Status fire(name_id event, Context& context)
    {
        const auto& definition = m_chart->definition();
        for (const auto& candidate : definition.states[m_state].transitions) {
            if (candidate.event != event || (candidate.guard && !m_chart->holds(*candidate.guard, context)))
                continue;
            m_state = candidate.target;
            for (const auto action : candidate.actions)
                m_chart->run(action, context);
            return absl::OkStatus();
        }
        return refuseTransition(definition, m_state, event);
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
