#include "routing/link_budget.h"

#include <algorithm>

namespace camphorsaddle::routing {

link_budget::link_budget(double bytesPerSecond, double burstBytes, utils::time_point now)
    : m_bytesPerSecond(bytesPerSecond)
    , m_burstBytes(burstBytes)
    , m_balance(burstBytes)
    , m_refilledAt(now)
{
}

bool link_budget::tryConsume(std::int64_t bytes, utils::time_point now)
{
    m_balance = std::min(m_burstBytes, m_balance + m_bytesPerSecond * std::chrono::duration<double>(now - m_refilledAt).count());
    m_refilledAt = now;
    if (m_balance < static_cast<double>(bytes))
        return false;
    m_balance -= static_cast<double>(bytes);
    return true;
}

void link_budget::consume(std::int64_t bytes)
{
    m_balance -= static_cast<double>(bytes);
}

} // namespace camphorsaddle::routing
