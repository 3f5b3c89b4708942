#include "utils/line_budget.h"

#include <algorithm>
#include <utility>

namespace camphorsaddle::utils {

line_budget::line_budget(double linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
    , m_available(linesPerSecond)
{
}

bool line_budget::take(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    m_available = std::min(m_linesPerSecond, m_available + m_linesPerSecond * std::max(seconds, 0.0));
    m_updatedAt = now;
    if (m_available < 1) {
        ++m_leftOutCount;
        return false;
    }
    m_available -= 1;
    return true;
}

std::uint64_t line_budget::takeLeftOutCount()
{
    return std::exchange(m_leftOutCount, 0);
}

} // namespace camphorsaddle::utils
