#include "jobs/data_centre_path.h"

#include <algorithm>
#include <cmath>

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds halfLife { 1000 };
    // Orders in time that a path without recent orders is assumed to have had.
    constexpr double assumedCount = 2;
    // Single workers that are slow or gone leave this share of the orders unanswered.
    constexpr double tolerableShare = 0.25;
    // With all orders late, greater than any other difference between the costs of two workers.
    constexpr double latePathCost = 10;

} // namespace

double late_order_share::remainder(utils::time_point now) const
{
    if (m_updatedAt == utils::time_point())
        return 0;
    const auto age = std::max(now - m_updatedAt, utils::time_point::duration(0));
    return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}

void late_order_share::record(bool isLate, utils::time_point now)
{
    const double kept = remainder(now);
    m_lateCount = m_lateCount * kept + (isLate ? 1 : 0);
    m_count = m_count * kept + 1;
    m_updatedAt = std::max(m_updatedAt, now);
}

double late_order_share::value(utils::time_point now) const
{
    const double kept = remainder(now);
    return m_lateCount * kept / (m_count * kept + assumedCount);
}

bool isLateOutcome(external::order_outcome outcome)
{
    return outcome == external::order_outcome::NoAnswer || outcome == external::order_outcome::NotSent || outcome == external::order_outcome::Expired;
}

double pathCost(const data_centre_path& path, utils::time_point now)
{
    const double share = std::max(path.starts.value(now), path.observations.value(now));
    return share < tolerableShare ? 0 : latePathCost * share;
}

} // namespace camphorsaddle::jobs
