#include "routing/request_attempts.h"

#include "absl/status/status.h"

namespace camphorsaddle::routing {

request_attempts::request_attempts(bool isRepeatable, utils::time_point deadline)
    : m_isRepeatable(isRepeatable)
    , m_deadline(deadline)
{
}

void request_attempts::admit()
{
    static_cast<void>(m_machine.fire(request_event::Admitted, m_context));
}

bool request_attempts::maySend(utils::time_point now) const
{
    const auto currentPhase = phase();
    if (now >= m_deadline || m_machine.isFinal() || currentPhase == request_phase::Received)
        return false;
    return m_isRepeatable || (!m_mayHaveReachedMinion && m_outstandingAttempts.empty());
}

int request_attempts::beginAttempt()
{
    // When a hedge is sent, the state machine is in "sending" already.
    if (phase() != request_phase::Sending)
        static_cast<void>(m_machine.fire(request_event::Sent, m_context));
    m_outstandingAttempts.insert(++m_attemptCount);
    return m_attemptCount;
}

request_action request_attempts::onResponse(int attempt)
{
    if (m_outstandingAttempts.erase(attempt) == 0 || isFinished())
        return request_action::Ignore;
    return fire(request_event::AnswerArrived);
}

request_action request_attempts::onFailure(int attempt, attempt_failure failure, bool isRetryAvailable, utils::time_point now)
{
    if (m_outstandingAttempts.erase(attempt) == 0 || isFinished())
        return request_action::Ignore;
    m_mayHaveReachedMinion = m_mayHaveReachedMinion || failure != attempt_failure::NeverSent;
    m_context.mayHaveRun = m_context.mayHaveRun || failure == attempt_failure::Lost;
    if (!m_outstandingAttempts.empty())
        return request_action::Wait;
    const bool isLost = failure == attempt_failure::Lost;
    m_context.mayRetry = isRetryAvailable && maySend(now);
    m_context.mayRepeat = m_context.mayRetry;
    return fire(isLost ? request_event::AttemptLost : request_event::AttemptNotRun);
}

request_action request_attempts::onDeadline()
{
    if (isFinished())
        return request_action::Ignore;
    return fire(phase() == request_phase::Received ? request_event::Refused : request_event::DeadlinePassed);
}

request_action request_attempts::onRefusal()
{
    if (isFinished())
        return request_action::Ignore;
    return m_outstandingAttempts.empty() ? fire(request_event::Refused) : request_action::Wait;
}

request_action request_attempts::onCallerDisconnected()
{
    if (!isFinished())
        static_cast<void>(m_machine.fire(request_event::CallerGone, m_context));
    return request_action::Ignore;
}

request_action request_attempts::fire(request_event event)
{
    static_cast<void>(m_machine.fire(event, m_context));
    switch (phase()) {
    case request_phase::Answered:
        return request_action::ForwardResponse;
    case request_phase::NotRun:
        return request_action::ReportNotRun;
    case request_phase::Unknown:
        return request_action::ReportUnknown;
    case request_phase::Retrying:
        return request_action::Retry;
    default:
        return request_action::Wait;
    }
}

} // namespace camphorsaddle::routing
