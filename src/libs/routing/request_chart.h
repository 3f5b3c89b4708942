#pragma once

#include "absl/status/status.h"
#include "statechart/machine.h"

namespace camphorsaddle::routing {

//! \brief The states of share/charts/request.json.
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

//! \brief The events of share/charts/request.json.
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

//! \brief What the guards of the chart read.
struct request_context {
    //! Another attempt is allowed after one that surely did not run.
    bool mayRetry = false;
    //! Another attempt is allowed after one that may have run.
    bool mayRepeat = false;
    //! Whether any attempt so far may have run.
    bool mayHaveRun = false;
};

//! \brief Life cycle of one request in a gateway.
class request_machine {
public:
    request_machine();

    absl::Status fire(request_event event, request_context& context);
    request_phase phase() const;
    bool isFinal() const;

private:
    statechart::state_machine<request_context> m_machine;
};

} // namespace camphorsaddle::routing
