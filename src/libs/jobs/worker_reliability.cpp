#include "jobs/worker_reliability.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // Score at which a worker is suspended. Tasks rarely fail by their own fault (up to 5% of the runs), so that two
    // consecutive first failures suffice.
    constexpr double suspensionScore = 2.0;
    constexpr double firstFailureScore = 1.0;
    // The task has failed on another worker before, so that this worker is less likely to be the cause.
    constexpr double repeatedFailureScore = 0.34;
    constexpr utils::milliseconds minimumSuspension { 1500 };
    constexpr utils::milliseconds maximumSuspension { 6000 };
    // Shorter than for a failure, because a refused order has cost nothing but a message.
    constexpr utils::milliseconds refusalSuspension { 400 };
    constexpr unsigned maximumDoublings = 4;
    constexpr double slownessWeight = 0.3;

} // namespace

void worker_reliability::recordSuccess(double slowness)
{
    m_failureScore = 0;
    m_suspensions = 0;
    if (slowness > 0)
        m_slowness += slownessWeight * (slowness - m_slowness);
}

void worker_reliability::recordFailure(bool isFirst, utils::time_point now)
{
    m_failureScore += isFirst ? firstFailureScore : repeatedFailureScore;
    if (m_failureScore >= suspensionScore || m_suspensions > 0)
        suspend(now, minimumSuspension);
}

void worker_reliability::recordStall(utils::time_point now)
{
    m_failureScore = suspensionScore;
    suspend(now, minimumSuspension);
}

void worker_reliability::recordRefusal(utils::time_point now)
{
    suspend(now, refusalSuspension);
}

void worker_reliability::suspend(utils::time_point now, utils::milliseconds shortest)
{
    const auto pause = std::min(shortest * (1 << std::min(m_suspensions, maximumDoublings)), maximumSuspension);
    if (!isSuspended(now))
        ++m_suspensions;
    m_suspendedUntil = std::max(m_suspendedUntil, now + pause);
}

bool worker_reliability::isSuspended(utils::time_point now) const
{
    return now < m_suspendedUntil;
}

bool worker_reliability::isOnTrial() const
{
    return m_suspensions > 0;
}

double worker_reliability::slowness() const
{
    return m_slowness;
}

} // namespace camphorsaddle::jobs
