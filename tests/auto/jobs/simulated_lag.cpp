#include "jobs/simulated_lag.h"

#include <algorithm>

namespace camphorsaddle::jobs::test {

namespace {

    constexpr utils::milliseconds shortestDelay { 500 };
    constexpr utils::milliseconds shortestPhase { 1000 };
    constexpr utils::milliseconds longestPhase { 6000 };
    constexpr utils::milliseconds shortestPauseInterval { 8000 };
    constexpr utils::milliseconds longestPauseInterval { 20'000 };
    constexpr int pauseCount = 40;
    constexpr utils::milliseconds granularity { 10 };

    utils::milliseconds draw(std::mt19937_64& random, utils::milliseconds least, utils::milliseconds most)
    {
        const auto span = static_cast<std::uint64_t>((most - least) / granularity) + 1;
        return least + granularity * static_cast<std::int64_t>(random() % span);
    }

} // namespace

simulated_lag::simulated_lag(std::uint64_t seed, utils::milliseconds longestDelay, utils::time_point start)
    : m_random(seed)
    , m_longestDelay(longestDelay)
{
    auto end = start;
    for (int number = 0; number < pauseCount; ++number) {
        const auto begin = end + draw(m_random, shortestPauseInterval, longestPauseInterval);
        end = begin + draw(m_random, shortestDelay, m_longestDelay);
        m_pauses.push_back({ begin, end });
    }
}

utils::milliseconds simulated_lag::drawDelay()
{
    if (m_random() % 2 == 0)
        return utils::milliseconds(0);
    return draw(m_random, shortestDelay, m_longestDelay);
}

utils::time_point simulated_lag::handledAt(leader_input kind, utils::time_point arrivedAt)
{
    auto& input = m_delays[static_cast<std::size_t>(kind)];
    if (arrivedAt >= input.changesAt) {
        input.delay = drawDelay();
        input.changesAt = arrivedAt + draw(m_random, shortestPhase, longestPhase);
    }
    input.lastHandledAt = std::max(firesAt(arrivedAt + input.delay), input.lastHandledAt);
    return input.lastHandledAt;
}

utils::time_point simulated_lag::firesAt(utils::time_point dueAt) const
{
    const auto next = std::ranges::upper_bound(m_pauses, dueAt, {}, &pause::end);
    return next == m_pauses.end() || dueAt < next->start ? dueAt : next->end;
}

} // namespace camphorsaddle::jobs::test
