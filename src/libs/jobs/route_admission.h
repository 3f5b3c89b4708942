#pragma once

#include "absl/strings/string_view.h"
#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief What a daemon does with a caller's request, given the rules that it has.
enum class route_admission {
    //! The rules name a queue for the request.
    Serve,
    //! The rules are too old for the decision: they have to be confirmed first.
    AwaitConfirmation,
    //! The newest rules name no queue for the request.
    UnknownQueue,
    //! No queue is known and the rules can't be confirmed, so that a newer version may name one.
    Unconfirmed,
};

inline constexpr std::size_t routeAdmissionCount = 4;

constexpr absl::string_view toString(route_admission admission)
{
    constexpr absl::string_view names[routeAdmissionCount] { "served", "awaits_confirmation", "unknown_queue", "unconfirmed" };
    return names[static_cast<std::size_t>(admission)];
}

struct route_admission_settings {
    //! Greatest age at which rules decide without a new confirmation. Below the time within which operators' changes must be
    //! in force, above the age that rules have while the leader confirms them regularly.
    utils::milliseconds maximumRulesAge { 1500 };
    //! How long a request waits for a confirmation; a store that replies slowly takes a quarter of a second.
    utils::milliseconds confirmationTimeout { 500 };
};

//! \brief A request and what is known of the rules.
struct route_request {
    bool isQueueKnown = false;
    utils::time_point arrivedAt;
    //! Time at which the rules were last known to be the newest.
    utils::time_point rulesConfirmedAt;
    //! The last attempt to read the rules from the store has failed.
    bool isStoreFailing = false;
};

//! \brief Decides whether the rules are recent enough to serve or refuse a request.
//!
//! A known queue is served if the rules can't be confirmed: whatever has to be stored is then refused by the store, and
//! the other calls change nothing.
route_admission admitRoute(const route_admission_settings& settings, const route_request& request, utils::time_point now);

} // namespace camphorsaddle::jobs
