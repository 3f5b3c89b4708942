#pragma once

#include <cstddef>

#include "absl/strings/string_view.h"

namespace camphorsaddle::routing {

//! \brief Outcome of a request as reported to the caller.
enum class outcome {
    //! A minion ran the request; the caller gets its response.
    Ran,
    //! No byte of the request can have reached a minion, or the minion reported that it did not run the request.
    NotRun,
    //! The request may have run, but no response arrived.
    Unknown,
};

//! \brief Value of the camphorsaddle-outcome header.
absl::string_view toString(outcome value);

//! \brief Why a caller gets an error instead of a minion's response.
enum class refusal_reason {
    UnknownService,
    NoMinion,
    NoSlot,
    QueueFull,
    CallerLimit,
    Deadline,
    Draining,
    NotConfigured,
    StoreUnavailable,
    MinionRefused,
    ConnectFailed,
    AnswerLost,
    DuplicateKey,
    BadRequest,
};

inline constexpr std::size_t refusalReasonCount = 14;

//! \brief Text of the reason in metrics, events and the camphorsaddle-reason header.
absl::string_view toString(refusal_reason reason);

//! \brief Why a request was sent again.
enum class retry_reason {
    ConnectFailed,
    MinionRefused,
    AnswerLost,
};

inline constexpr std::size_t retryReasonCount = 3;

//! \brief Text of the reason in metrics.
absl::string_view toString(retry_reason reason);

} // namespace camphorsaddle::routing
