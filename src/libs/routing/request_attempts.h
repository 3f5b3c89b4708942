#pragma once

#include <set>

#include "routing/request_chart.h"
#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Whether a failed attempt can have run on the minion.
enum class attempt_failure {
    //! No byte of the request left this host.
    NeverSent,
    //! The minion reported that it did not run the request.
    Refused,
    //! The request may have run; no usable response arrived.
    Lost,
};

//! \brief What the gateway has to do after an event of a request.
enum class request_action {
    //! Wait for another attempt that is still in flight.
    Wait,
    //! Send another attempt.
    Retry,
    //! Forward the minion's response to the caller.
    ForwardResponse,
    //! Report to the caller that the request did not run.
    ReportNotRun,
    //! Report to the caller that the request may have run.
    ReportUnknown,
    //! Do nothing: the attempt or the request has ended already.
    Ignore,
};

//! \brief Attempts of one request.
//!
//! Decides whether another attempt may be sent, and what is reported to the caller at the end.
class request_attempts {
public:
    request_attempts(bool isRepeatable, utils::time_point deadline);

    //! \brief Admits the request; before this no attempt may be sent.
    void admit();

    //! \brief Returns whether an attempt (first, retry or hedge) may be sent at \a now.
    bool maySend(utils::time_point now) const;
    //! \brief Begins an attempt and returns its number, counted from 1. Requires that maySend() has returned true.
    int beginAttempt();

    //! \brief Handles the response to an attempt.
    request_action onResponse(int attempt);
    //! \brief Handles a failed attempt.
    //!
    //! \a isRetryAvailable: the attempt limit, the retry budget and the deadline allow another attempt.
    request_action onFailure(int attempt, attempt_failure failure, bool isRetryAvailable, utils::time_point now);
    //! \brief Handles that the deadline of the request has passed.
    request_action onDeadline();
    //! \brief Handles that no attempt can be sent any more, for example because the queue is full or the gateway stops.
    request_action onRefusal();
    //! \brief Ends the request because the caller closed its connection.
    request_action onCallerDisconnected();

    bool isFinished() const
    {
        return m_machine.isFinal();
    }
    bool isRepeatable() const
    {
        return m_isRepeatable;
    }
    request_phase phase() const
    {
        return m_machine.phase();
    }
    utils::time_point deadline() const
    {
        return m_deadline;
    }
    int attemptCount() const
    {
        return m_attemptCount;
    }
    const std::set<int>& outstandingAttempts() const
    {
        return m_outstandingAttempts;
    }

private:
    request_action fire(request_event event);

    bool m_isRepeatable;
    utils::time_point m_deadline;
    request_state_machine m_machine;
    request_context m_context;
    int m_attemptCount = 0;
    //! Whether any byte of an ended attempt may have left this host.
    bool m_mayHaveReachedMinion = false;
    std::set<int> m_outstandingAttempts;
};

} // namespace camphorsaddle::routing
