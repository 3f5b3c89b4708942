#include "routing/outcome.h"

#include <array>

namespace camphorsaddle::routing {

absl::string_view toString(outcome value)
{
    constexpr std::array<absl::string_view, 3> names { "ran", "not-run", "unknown" };
    return names[static_cast<std::size_t>(value)];
}

absl::string_view toString(refusal_reason reason)
{
    constexpr std::array<absl::string_view, refusalReasonCount> names { "unknown_service", "no_minion", "no_slot", "queue_full", "caller_limit",
        "deadline", "draining", "not_configured", "store_unavailable", "minion_refused", "connect_failed", "answer_lost", "duplicate_key", "bad_request" };
    return names[static_cast<std::size_t>(reason)];
}

absl::string_view toString(retry_reason reason)
{
    constexpr std::array<absl::string_view, retryReasonCount> names { "connect_failed", "minion_refused", "answer_lost" };
    return names[static_cast<std::size_t>(reason)];
}

} // namespace camphorsaddle::routing
