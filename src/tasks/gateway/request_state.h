#pragma once

#include <string>
#include <vector>

#include "model/host.h"
#include "routing/outcome.h"
#include "routing/request_attempts.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

//! \brief State of a request from its arrival until its response is sent.
struct request_state {
    //! Number of the request in this gateway process.
    std::uint64_t number = 0;
    //! Id in headers, events and logs; set by the caller or generated.
    std::string id;
    std::string service;
    //! Path that is sent to the minion.
    std::string target;
    transport::http_request request;
    transport::http_responder responder;
    utils::time_point arrivedAt;
    routing::request_attempts attempts;
    std::string caller;
    //! Whether the request counts towards the limits of its caller and service.
    bool isCounted = false;
    std::vector<std::string> triedMinions;
    //! Minion of the last attempt.
    model::host minion;
    utils::time_point sentAt;
    //! Number of the attempt in flight; 0 for none.
    int attempt = 0;
    transport::http_call_id call = 0;
};

//! \brief Why a minion's response is not forwarded to the caller.
enum class discard_reason {
    //! It belongs to another request or attempt.
    Mismatched,
    //! Its request has ended.
    Late,
};

inline constexpr std::size_t discardReasonCount = 2;

//! \brief Text of the reason in metrics.
inline absl::string_view toString(discard_reason reason)
{
    return reason == discard_reason::Mismatched ? "crossed" : "late";
}

//! \brief Metrics of a gateway.
struct gateway_metrics {
    explicit gateway_metrics(utils::metric_registry& registry);

    utils::reason_counters<routing::refusal_reason, routing::refusalReasonCount> refused;
    utils::reason_counters<routing::retry_reason, routing::retryReasonCount> retried;
    utils::reason_counters<discard_reason, discardReasonCount> discarded;
    utils::counter& requests;
    utils::counter& sends;
    utils::counter& waited;
    utils::counter& retryBudgetExhausted;
    utils::distribution& latency;
};

} // namespace camphorsaddle::tasks
