#include "external/circuit_breaker.h"

#include <algorithm>

namespace camphorsaddle::external {

bool circuit_breaker::admit(utils::time_point now)
{
    if (m_state == breaker_state::Open && now >= m_probeAt) {
        m_state = breaker_state::Recovering;
        m_window = 1;
        // Calls from before the opening no longer count.
        m_inFlight = 0;
    }
    if (m_state == breaker_state::Open || (m_state == breaker_state::Recovering && m_inFlight >= m_window))
        return false;
    ++m_inFlight;
    return true;
}

void circuit_breaker::succeeded()
{
    m_inFlight -= std::min(m_inFlight, 1U);
    m_failures = 0;
    if (m_state != breaker_state::Recovering)
        return;
    m_window *= 2;
    if (m_window < m_settings.fullWindow)
        return;
    m_state = breaker_state::Closed;
    m_openings = 0;
}

void circuit_breaker::failed(utils::time_point now, std::uint64_t random)
{
    m_inFlight -= std::min(m_inFlight, 1U);
    ++m_failures;
    if (m_state == breaker_state::Recovering || (m_state == breaker_state::Closed && m_failures >= m_settings.failures))
        open(now, random);
}

void circuit_breaker::open(utils::time_point now, std::uint64_t random)
{
    constexpr unsigned doublings = 16;
    const auto step = std::min(m_settings.longestPause, m_settings.firstPause * (1U << std::min(m_openings, doublings)));
    const auto half = std::max<std::int64_t>(step.count() / 2, 1);
    m_state = breaker_state::Open;
    ++m_openings;
    m_probeAt = now + utils::milliseconds(half + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half)));
}

} // namespace camphorsaddle::external
