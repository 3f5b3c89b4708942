#include "tasks/coordinator/job_memory_budget.h"

#include <algorithm>

namespace camphorsaddle::tasks {

namespace {

    // A daemon that is replaced or cut off for less time may lead next.
    constexpr utils::milliseconds followerRetention { 60'000 };

} // namespace

job_memory_budget::job_memory_budget(std::uint64_t ownLimit)
    : m_ownLimit(ownLimit)
{
}

void job_memory_budget::noteFollower(const std::string& endpoint, std::uint64_t limit, utils::time_point now)
{
    std::erase_if(m_followers, [&](const auto& entry) { return now > entry.second.second + followerRetention; });
    m_followers[endpoint] = { limit, now };
}

std::size_t job_memory_budget::followerCount(utils::time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_followers, [&](const auto& entry) { return now <= entry.second.second + followerRetention; }));
}

std::uint64_t job_memory_budget::limit(utils::time_point now) const
{
    auto lowest = m_ownLimit;
    for (const auto& entry : m_followers) {
        const auto& [limit, heardAt] = entry.second;
        if (limit != 0 && now <= heardAt + followerRetention)
            lowest = std::min(lowest, limit);
    }
    return lowest;
}

bool job_memory_budget::admits(std::uint64_t bytes, std::uint64_t held, utils::time_point now) const
{
    const auto limitNow = limit(now);
    return held <= limitNow && bytes <= limitNow - held;
}

std::uint64_t job_memory_budget::allowanceWithoutLeader(std::uint64_t held, utils::time_point now) const
{
    const auto limitNow = limit(now);
    return (limitNow - std::min(limitNow, held)) / (followerCount(now) + 1);
}

} // namespace camphorsaddle::tasks
