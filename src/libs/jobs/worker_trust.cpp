#include "jobs/worker_trust.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // A task that fails by its own fault is rare (up to 5% of the runs), so that two first failures in a row are suspect.
    constexpr double suspectBadness = 2.0;
    constexpr double firstFailure = 1.0;
    // The task has failed elsewhere, so that the worker is less likely to be the cause.
    constexpr double repeatedFailure = 0.34;
    constexpr utils::milliseconds shortestSuspension { 1500 };
    constexpr utils::milliseconds longestSuspension { 6000 };
    // A refused order has cost nothing but a message.
    constexpr utils::milliseconds refusalPause { 400 };
    constexpr unsigned mostDoublings = 4;
    constexpr double slownessWeight = 0.3;

} // namespace

void worker_trust::done(double slowness)
{
    m_badness = 0;
    m_suspensions = 0;
    if (slowness > 0)
        m_slowness += slownessWeight * (slowness - m_slowness);
}

void worker_trust::failed(bool isFirst, utils::time_point now)
{
    m_badness += isFirst ? firstFailure : repeatedFailure;
    if (m_badness >= suspectBadness || m_suspensions > 0)
        suspend(now, shortestSuspension);
}

void worker_trust::stalled(utils::time_point now)
{
    m_badness = suspectBadness;
    suspend(now, shortestSuspension);
}

void worker_trust::refused(utils::time_point now)
{
    suspend(now, refusalPause);
}

void worker_trust::suspend(utils::time_point now, utils::milliseconds shortest)
{
    const auto pause = std::min(shortest * (1 << std::min(m_suspensions, mostDoublings)), longestSuspension);
    if (!isSuspended(now))
        ++m_suspensions;
    m_suspendedUntil = std::max(m_suspendedUntil, now + pause);
}

bool worker_trust::isSuspended(utils::time_point now) const
{
    return now < m_suspendedUntil;
}

bool worker_trust::isOnTrial() const
{
    return m_suspensions > 0;
}

double worker_trust::slowness() const
{
    return m_slowness;
}

} // namespace camphorsaddle::jobs
