#include "jobs/job_outcomes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorsaddle::jobs {

namespace {

    // Each queue has 15 time series.
    constexpr std::size_t maximumQueues = 32;
    const std::string otherQueues = "other";
    constexpr double largestTenthShare = 0.9;
    constexpr double nextFifthShare = 0.7;
    // Step of the stochastic approximation: one job in ten that is larger moves the bound by a tenth at most.
    constexpr double quantileStep = 0.1;
    constexpr double leastCoreSeconds = 1e-3;

    double moveQuantile(double known, double share, double value)
    {
        return known + quantileStep * (value > known ? share : share - 1);
    }

} // namespace

size_bounds updateSizeBounds(const size_bounds& known, double coreSeconds)
{
    const double value = std::log(std::max(coreSeconds, leastCoreSeconds));
    if (known.jobs == 0)
        return { value, value, 1 };
    return { moveQuantile(known.nextFifth, nextFifthShare, value), moveQuantile(known.largestTenth, largestTenthShare, value), known.jobs + 1 };
}

size_group groupOf(const size_bounds& bounds, double coreSeconds)
{
    const double value = std::log(std::max(coreSeconds, leastCoreSeconds));
    if (value > bounds.largestTenth)
        return size_group::LargestTenth;
    return value > bounds.nextFifth ? size_group::NextFifth : size_group::Rest;
}

const std::string& job_outcomes::countedName(const std::string& queue)
{
    return m_bounds.contains(queue) || m_bounds.size() < maximumQueues ? queue : otherQueues;
}

size_group job_outcomes::classify(const std::string& queue, double coreSeconds)
{
    auto& bounds = m_bounds[countedName(queue)];
    bounds = updateSizeBounds(bounds, coreSeconds);
    return groupOf(bounds, coreSeconds);
}

void job_outcomes::count(const std::string& queue, size_group group, job_outcome outcome)
{
    ++m_counts[countedName(queue)][static_cast<std::size_t>(group)][static_cast<std::size_t>(outcome)];
}

std::map<std::string, job_outcomes::group_counts> job_outcomes::take()
{
    return std::exchange(m_counts, {});
}

} // namespace camphorsaddle::jobs
