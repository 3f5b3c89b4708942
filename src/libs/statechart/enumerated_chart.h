#pragma once

#include <array>
#include <vector>

#include "glog/logging.h"
#include "statechart/state_machine.h"

namespace camphorsaddle::statechart {

//! \brief An embedded chart with its states and events mapped to two enums.
//!
//! The values of both enums are consecutive from 0; the arrays passed to load() hold their names in the chart.
template <typename Context, typename Phase, std::size_t PhaseCount, typename Event, std::size_t EventCount>
class enumerated_chart {
public:
    //! \brief Loads the chart; fails when it lacks a state or event of the enums, or when a guard or action has no function.
    static absl::StatusOr<enumerated_chart> load(absl::string_view name, const std::array<absl::string_view, PhaseCount>& phases,
        const std::array<absl::string_view, EventCount>& events, const chart_functions<Context>& functions = {})
    {
        auto definition = embeddedChart(name);
        if (!definition.ok())
            return definition.status();
        auto bound = bound_chart<Context>::bind(*std::move(definition), functions);
        if (!bound.ok())
            return bound.status();

        enumerated_chart result(*std::move(bound));
        result.m_phases.resize(result.m_bound.definition().states.size());
        for (std::size_t index = 0; index < PhaseCount; ++index) {
            const auto state = findState(result.m_bound.definition(), phases[index]);
            if (!state.ok())
                return state.status();
            result.m_states[index] = *state;
            result.m_phases[*state] = static_cast<Phase>(index);
        }
        for (std::size_t index = 0; index < EventCount; ++index) {
            const auto event = findEvent(result.m_bound.definition(), events[index]);
            if (!event.ok())
                return event.status();
            result.m_events[index] = *event;
        }
        return result;
    }

    state_machine<Context> start() const
    {
        return state_machine<Context>(m_bound);
    }

    state_machine<Context> resume(Phase phase) const
    {
        return state_machine<Context>(m_bound, m_states[static_cast<std::size_t>(phase)]);
    }

    absl::Status fire(state_machine<Context>& instance, Event event, Context& context) const
    {
        return instance.fire(m_events[static_cast<std::size_t>(event)], context);
    }

    Phase phaseOf(const state_machine<Context>& instance) const
    {
        return m_phases[instance.state()];
    }

private:
    explicit enumerated_chart(bound_chart<Context> bound)
        : m_bound(std::move(bound))
    {
    }

    bound_chart<Context> m_bound;
    std::array<name_id, PhaseCount> m_states {};
    std::array<name_id, EventCount> m_events {};
    std::vector<Phase> m_phases;
};

//! \brief The chart that load() returned; terminates the process with the error if loading failed.
template <typename Chart>
const Chart& requireChart(const absl::StatusOr<Chart>& loaded)
{
    CHECK(loaded.ok()) << utils::describe(loaded.status());
    return *loaded;
}

} // namespace camphorsaddle::statechart
