#include "placement/worker_health.h"

#include <algorithm>
#include <limits>

namespace camphorsaddle::placement {

namespace {

    constexpr unsigned quarantineFailureCount = 3;
    constexpr std::size_t unprovenWorkerAttemptLimit = 8;
    constexpr utils::seconds initialQuarantine { 30 };
    constexpr unsigned maximumBackoffDoublings = 5;
    //! Factor by which each ended attempt reduces the weight of earlier ones in the failure rate of the fleet.
    constexpr double failureRateDecay = 0.99;
    constexpr double fleetFailureThreshold = 0.5;
    //! Number of ended attempts below which the failure rate of the fleet is ignored.
    constexpr double minimumFleetEnds = 20;

} // namespace

void worker_health::recordAttemptEnd(const std::string& worker, bool isFailed, utils::time_point now)
{
    auto& history = m_workers[worker];
    if (history.quarantines == 0) {
        m_decayedEnds = m_decayedEnds * failureRateDecay + 1;
        m_decayedFailures = m_decayedFailures * failureRateDecay + (isFailed ? 1 : 0);
    }
    if (!isFailed) {
        history = {};
        history.isProven = true;
        return;
    }
    ++history.failures;
    // Attempts that fail while the worker is already quarantined do not start another quarantine.
    const bool isOnProbation = history.quarantines > 0;
    if (now < history.quarantinedUntil || (!isOnProbation && (history.failures < quarantineFailureCount || isFleetFailing())))
        return;
    history.quarantinedUntil = now + initialQuarantine * (1U << std::min(history.quarantines, maximumBackoffDoublings));
    ++history.quarantines;
}

void worker_health::recordRunningAttempt(const std::string& worker)
{
    m_workers[worker].isProven = true;
}

bool worker_health::isSuspect(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.quarantines > 0;
}

std::size_t worker_health::maximumAttempts(const std::string& worker, utils::time_point now) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return unprovenWorkerAttemptLimit;
    const auto& history = found->second;
    if (history.quarantines > 0)
        return now < history.quarantinedUntil ? 0 : 1;
    return history.isProven ? std::numeric_limits<std::size_t>::max() : unprovenWorkerAttemptLimit;
}

bool worker_health::isFleetFailing() const
{
    return m_decayedEnds >= minimumFleetEnds && m_decayedFailures >= fleetFailureThreshold * m_decayedEnds;
}

} // namespace camphorsaddle::placement
