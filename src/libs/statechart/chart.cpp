#include "statechart/chart.h"

#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "statechart/state_machine.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::statechart {

namespace {

    using nlohmann::json;

    absl::Status makeChartError(absl::string_view file, absl::string_view cause)
    {
        return utils::makeError(absl::StatusCode::kInvalidArgument, "parse state chart", file, cause);
    }

    name_id intern(std::vector<std::string>& names, const std::string& name)
    {
        const auto found = std::find(names.begin(), names.end(), name);
        if (found != names.end())
            return static_cast<name_id>(found - names.begin());
        names.push_back(name);
        return static_cast<name_id>(names.size() - 1);
    }

    absl::StatusOr<name_id> findStateIndex(const std::vector<state>& states, absl::string_view name, absl::string_view file)
    {
        const auto found = std::find_if(states.begin(), states.end(), [&](const state& candidate) { return candidate.name == name; });
        if (found == states.end())
            return makeChartError(file, absl::StrCat("state ", name, " is not declared"));
        return static_cast<name_id>(found - states.begin());
    }

    absl::StatusOr<transition> parseTransition(const json& item, chart& chart, absl::string_view file)
    {
        for (const auto& field : item.items()) {
            if (field.key() != "event" && field.key() != "guard" && field.key() != "actions" && field.key() != "target")
                return makeChartError(file, absl::StrCat("unknown field ", field.key(), " of a transition"));
        }
        transition result;
        const auto target = findStateIndex(chart.states, item.at("target").get<std::string>(), file);
        if (!target.ok())
            return target.status();
        result.target = *target;
        result.event = intern(chart.events, item.at("event").get<std::string>());
        if (item.contains("guard"))
            result.guard = intern(chart.guards, item.at("guard").get<std::string>());
        for (const auto& action : item.value("actions", json::array()))
            result.actions.push_back(intern(chart.actions, action.get<std::string>()));
        return result;
    }

    absl::Status checkReachable(const chart& chart, absl::string_view file)
    {
        std::vector<bool> reached(chart.states.size());
        std::vector<name_id> pending { chart.initial };
        reached[chart.initial] = true;
        while (!pending.empty()) {
            const auto current = pending.back();
            pending.pop_back();
            for (const auto& next : chart.states[current].transitions) {
                if (!reached[next.target])
                    pending.push_back(next.target);
                reached[next.target] = true;
            }
        }
        for (std::size_t index = 0; index < reached.size(); ++index) {
            if (!reached[index])
                return makeChartError(file, absl::StrCat("state ", chart.states[index].name, " is not reachable"));
            if (chart.states[index].isFinal != chart.states[index].transitions.empty())
                return makeChartError(file, absl::StrCat("state ", chart.states[index].name, chart.states[index].isFinal ? " is final and has transitions" : " is not final and has no transitions"));
        }
        return absl::OkStatus();
    }

    absl::Status parseStates(const json& document, chart& chart, absl::string_view file)
    {
        for (const auto& item : document.at("states").items())
            chart.states.push_back({ .name = item.key(), .isFinal = false, .transitions = {} });
        for (const auto& name : document.at("final")) {
            if (document.at("states").contains(name.get<std::string>()))
                return makeChartError(file, absl::StrCat("final state ", name.get<std::string>(), " is declared twice or has transitions"));
            chart.states.push_back({ .name = name.get<std::string>(), .isFinal = true, .transitions = {} });
        }
        if (chart.states.size() > std::numeric_limits<name_id>::max())
            return makeChartError(file, "too many states");
        for (const auto& item : document.at("states").items()) {
            const auto index = findStateIndex(chart.states, item.key(), file);
            for (const auto& entry : item.value()) {
                auto parsed = parseTransition(entry, chart, file);
                if (!parsed.ok())
                    return parsed.status();
                chart.states[*index].transitions.push_back(*std::move(parsed));
            }
        }
        return absl::OkStatus();
    }

    absl::StatusOr<name_id> findEventIndex(const std::vector<std::string>& names, absl::string_view name, absl::string_view chartName)
    {
        const auto found = std::find(names.begin(), names.end(), name);
        if (found == names.end())
            return utils::makeError(absl::StatusCode::kNotFound, "find event", chartName, absl::StrCat("no event ", name));
        return static_cast<name_id>(found - names.begin());
    }

} // namespace

absl::StatusOr<chart> parseChart(absl::string_view text, absl::string_view file)
{
    try {
        const json document = json::parse(text.begin(), text.end());
        chart result;
        result.name = document.at("name").get<std::string>();
        if (auto status = parseStates(document, result, file); !status.ok())
            return status;
        const auto initial = findStateIndex(result.states, document.at("initial").get<std::string>(), file);
        if (!initial.ok())
            return initial.status();
        result.initial = *initial;
        if (auto status = checkReachable(result, file); !status.ok())
            return status;
        return result;
    } catch (const json::exception& error) {
        return makeChartError(file, error.what());
    }
}

absl::StatusOr<name_id> findEvent(const chart& chart, absl::string_view name)
{
    return findEventIndex(chart.events, name, chart.name);
}

absl::StatusOr<name_id> findState(const chart& chart, absl::string_view name)
{
    const auto found = std::find_if(chart.states.begin(), chart.states.end(), [&](const state& candidate) { return candidate.name == name; });
    if (found == chart.states.end())
        return utils::makeError(absl::StatusCode::kNotFound, "find state", chart.name, absl::StrCat("no state ", name));
    return static_cast<name_id>(found - chart.states.begin());
}

absl::Status reportUndeclaredTransition(const chart& chart, name_id state, name_id event)
{
    const std::string stateName = chart.states[state].name;
    const std::string eventName = event < chart.events.size() ? chart.events[event] : absl::StrCat("#", event);
    utils::logEvent(utils::events::undeclaredTransition, { { "chart", chart.name }, { "state", stateName }, { "trigger", eventName } });
    return utils::makeError(absl::StatusCode::kFailedPrecondition, "fire event", chart.name,
        absl::StrCat("state ", stateName, " has no transition for ", eventName));
}

} // namespace camphorsaddle::statechart
