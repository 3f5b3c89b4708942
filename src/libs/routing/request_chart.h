#pragma once

#include "absl/status/status.h"
#include "statechart/state_machine.h"

namespace camphorsaddle::routing {

//! \brief States of share/charts/request.json.
enum class request_phase {
    Received,
    Queued,
    Sending,
    Retrying,
    Answered,
    NotRun,
    Unknown,
    Abandoned,
};

inline constexpr std::size_t requestPhaseCount = 8;

//! \brief Events of share/charts/request.json.
enum class request_event {
    Admitted,
    Refused,
    Sent,
    AnswerArrived,
    AttemptNotRun,
    AttemptLost,
    DeadlinePassed,
    CallerGone,
};

inline constexpr std::size_t requestEventCount = 8;

//! \brief Input of the chart's guards.
struct request_context {
    //! Whether another attempt is allowed after one that certainly did not run.
    bool mayRetry = false;
    //! Whether another attempt is allowed after one that may have run.
    bool mayRepeat = false;
    //! Whether any attempt so far may have run.
    bool mayHaveRun = false;
};

//! \brief State machine of one request in a gateway.
class request_state_machine {
public:
    request_state_machine();

    //! \brief Processes \a event. Error: the chart has no transition for it in the current state.
    absl::Status fire(request_event event, request_context& context);
    request_phase phase() const;
    bool isFinal() const;

private:
    statechart::state_machine<request_context> m_machine;
};

} // namespace camphorsaddle::routing
