#include "journal/write_budget.h"

#include <algorithm>
#include <cmath>

namespace camphorsaddle::journal {

namespace {

    constexpr double millisecondsPerSecond = 1000;

} // namespace

write_budget::write_budget(double writesPerSecond, double burst)
    : m_writesPerSecond(writesPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void write_budget::setRate(double writesPerSecond)
{
    m_writesPerSecond = writesPerSecond;
}

utils::milliseconds write_budget::reserve(utils::time_point now)
{
    const double elapsedSeconds = std::chrono::duration<double>(now - m_lastUpdate).count();
    m_tokens = std::min(m_burst, m_tokens + std::max(0.0, elapsedSeconds) * m_writesPerSecond);
    m_lastUpdate = std::max(m_lastUpdate, now);
    m_tokens -= 1;
    if (m_tokens >= 0)
        return utils::milliseconds(0);
    return utils::milliseconds(static_cast<std::int64_t>(std::ceil(-m_tokens / m_writesPerSecond * millisecondsPerSecond)));
}

} // namespace camphorsaddle::journal
