#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace camphorsaddle::statechart {

//! \brief Index into the names of a chart.
using name_id = std::uint16_t;

// clang-tidy mistakes some defaulted comparisons for uses of a null pointer constant.
struct transition {
    name_id event = 0;
    std::optional<name_id> guard;
    std::vector<name_id> actions;
    name_id target = 0;

    auto operator<=>(const transition&) const = default;
};

struct state {
    std::string name;
    bool isFinal = false;
    //! In file order; the first transition with a matching event and a satisfied guard is taken.
    std::vector<transition> transitions;

    auto operator<=>(const state&) const = default;
};

//! \brief A validated state chart with all names resolved to indices.
struct chart {
    std::string name;
    name_id initial = 0;
    std::vector<state> states;
    std::vector<std::string> events;
    std::vector<std::string> guards;
    std::vector<std::string> actions;

    auto operator<=>(const chart&) const = default;
};

//! \brief Parses and validates a chart; errors are InvalidArgument with \a file as the peer.
//!
//! Every target must be declared and every state must be reachable from the initial state. Final states have no transitions,
//! all other states have at least one.
absl::StatusOr<chart> parseChart(absl::string_view text, absl::string_view file);

//! \brief The chart share/charts/\a name.json that was embedded at build time; NotFound for an unknown name.
absl::StatusOr<chart> embeddedChart(absl::string_view name);

//! \brief Index of an event or state; NotFound when the chart does not declare it.
absl::StatusOr<name_id> findEvent(const chart& chart, absl::string_view name);
absl::StatusOr<name_id> findState(const chart& chart, absl::string_view name);

} // namespace camphorsaddle::statechart
