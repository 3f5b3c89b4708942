#include "external/circuit_breaker.h"

#include <algorithm>

namespace camphorsaddle::external {

bool circuit_breaker::admit(utils::time_point now)
{
    if (m_state == breaker_state::Open && now >= m_nextProbe) {
        m_state = breaker_state::Recovering;
        m_recoveryWindow = 1;
        // Calls that were sent before the breaker opened are no longer counted.
        m_inFlight = 0;
    }
    if (m_state == breaker_state::Open || (m_state == breaker_state::Recovering && m_inFlight >= m_recoveryWindow))
        return false;
    ++m_inFlight;
    return true;
}

void circuit_breaker::recordSuccess()
{
    m_inFlight -= std::min(m_inFlight, 1U);
    m_consecutiveFailures = 0;
    if (m_state != breaker_state::Recovering)
        return;
    m_recoveryWindow *= 2;
    if (m_recoveryWindow < m_settings.closingWindow)
        return;
    m_state = breaker_state::Closed;
    m_consecutiveOpenings = 0;
}

void circuit_breaker::recordFailure(utils::time_point now, std::uint64_t random)
{
    m_inFlight -= std::min(m_inFlight, 1U);
    ++m_consecutiveFailures;
    if (m_state == breaker_state::Recovering || (m_state == breaker_state::Closed && m_consecutiveFailures >= m_settings.failureThreshold))
        open(now, random);
}

void circuit_breaker::open(utils::time_point now, std::uint64_t random)
{
    constexpr unsigned maximumDoublings = 16;
    const auto interval = std::min(m_settings.maximumOpenInterval, m_settings.initialOpenInterval * (1U << std::min(m_consecutiveOpenings, maximumDoublings)));
    const auto halfInterval = std::max<std::int64_t>(interval.count() / 2, 1);
    m_state = breaker_state::Open;
    ++m_consecutiveOpenings;
    m_nextProbe = now + utils::milliseconds(halfInterval + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(halfInterval)));
}

} // namespace camphorsaddle::external
