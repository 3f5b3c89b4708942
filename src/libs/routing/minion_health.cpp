#include "routing/minion_health.h"

#include <algorithm>
#include <vector>

namespace camphorsaddle::routing {

namespace {

    //! Weight of the newest response in the moving average of the latency.
    constexpr double latencySmoothingFactor = 0.1;
    //! Weight of the newest attempt in the moving average of the failed share of all minions.
    constexpr double failureSmoothingFactor = 0.01;
    //! Weight right after an ejection.
    constexpr double minimumWeight = 0.1;
    //! No minion is considered slow while fewer minions than this have a known latency.
    constexpr std::size_t minimumMinionsForMedian = 3;

} // namespace

minion_health::minion_health(const health_options& options)
    : m_options(options)
{
}

void minion_health::add(const std::string& minion)
{
    m_statistics.emplace(minion, minion_statistics());
}

void minion_health::remove(const std::string& minion)
{
    m_statistics.erase(minion);
}

bool minion_health::onResponse(const std::string& minion, utils::milliseconds latency, utils::time_point now, ejection_reason& reason)
{
    m_failedShare -= failureSmoothingFactor * m_failedShare;
    auto& statistics = m_statistics[minion];
    const auto sample = static_cast<double>(latency.count());
    statistics.latency = statistics.responses == 0 ? sample : statistics.latency + latencySmoothingFactor * (sample - statistics.latency);
    ++statistics.responses;
    statistics.consecutiveFailures = 0;
    if (statistics.responses < m_options.minimumResponses)
        return false;
    const double median = medianLatency();
    if (median <= 0 || statistics.latency <= m_options.slowLatencyRatio * median) {
        // The ejection time doubles again unless the minion has kept up for twice the minimum number of responses.
        if (statistics.responses >= 2 * m_options.minimumResponses)
            statistics.consecutiveEjections = 0;
        return false;
    }
    reason = ejection_reason::Slow;
    return eject(statistics, now);
}

bool minion_health::onFailure(const std::string& minion, utils::time_point now, ejection_reason& reason)
{
    m_failedShare += failureSmoothingFactor * (1 - m_failedShare);
    auto& statistics = m_statistics[minion];
    if (++statistics.consecutiveFailures < m_options.consecutiveFailureLimit)
        return false;
    reason = ejection_reason::Failures;
    return eject(statistics, now);
}

bool minion_health::eject(minion_statistics& minion, utils::time_point now)
{
    // If most attempts at all minions fail, the cause is not this minion, and ejecting minions would only slow the recovery.
    if (now < minion.ejectedUntil || m_failedShare > m_options.maximumFailedShare)
        return false;
    const auto ejected = std::count_if(m_statistics.begin(), m_statistics.end(), [now](const auto& entry) { return now < entry.second.ejectedUntil; });
    if (static_cast<double>(ejected + 1) > m_options.maximumEjectedShare * static_cast<double>(m_statistics.size()))
        return false;
    constexpr int maximumDoublings = 10;
    minion.ejectedUntil = now + std::min(m_options.maximumEjectionTime, m_options.baseEjectionTime * (1 << std::min(minion.consecutiveEjections, maximumDoublings)));
    ++minion.consecutiveEjections;
    minion.responses = 0;
    minion.consecutiveFailures = 0;
    return true;
}

void minion_health::onLeaving(const std::string& minion, utils::time_point now)
{
    m_statistics[minion].leavingUntil = now + m_options.leavingStateTtl;
}

double minion_health::weight(const std::string& minion, utils::time_point now) const
{
    const auto found = m_statistics.find(minion);
    if (found == m_statistics.end())
        return 1;
    const auto& statistics = found->second;
    if (now < statistics.ejectedUntil || now < statistics.leavingUntil)
        return 0;
    if (statistics.consecutiveEjections == 0)
        return 1;
    const double recoveredShare = std::chrono::duration<double>(now - statistics.ejectedUntil) / std::chrono::duration<double>(m_options.slowStartWindow);
    return std::clamp(recoveredShare, minimumWeight, 1.0);
}

double minion_health::latency(const std::string& minion) const
{
    const auto found = m_statistics.find(minion);
    return found == m_statistics.end() ? 0 : found->second.latency;
}

double minion_health::medianLatency() const
{
    std::vector<double> latencies;
    for (const auto& [name, statistics] : m_statistics) {
        if (statistics.responses >= m_options.minimumResponses)
            latencies.push_back(statistics.latency);
    }
    if (latencies.size() < minimumMinionsForMedian)
        return 0;
    const auto median = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), median, latencies.end());
    return *median;
}

} // namespace camphorsaddle::routing
