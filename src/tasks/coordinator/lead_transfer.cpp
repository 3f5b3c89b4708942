#include "tasks/coordinator/lead_transfer.h"

#include <algorithm>
#include <utility>

namespace camphorsaddle::tasks {

namespace {

    // A change of the leader takes time, which a little more processor time doesn't make up for.
    constexpr double minimumGain = 2;
    // Followers announce themselves twice a second.
    constexpr utils::milliseconds followerSilenceTimeout { 1300 };
    constexpr utils::milliseconds delayPeriod { 1000 };
    // Share of the delay of a late leader that the next one may have.
    constexpr int maximumDelayDivisor = 2;

} // namespace

lead_transfer::lead_transfer(lead_transfer_settings settings, double ownProcessors)
    : m_settings(settings)
    , m_ownProcessors(ownProcessors)
{
}

void lead_transfer::noteTerm(std::uint64_t term, utils::time_point now)
{
    if (term <= m_highestTerm)
        return;
    // A daemon that has just started, or was cut off, learns of all terms that have passed at once.
    if (m_highestTerm != 0)
        m_changes.push_back(now);
    m_highestTerm = term;
    while (!m_changes.empty() && m_changes.front() + m_settings.changeCountPeriod < now)
        m_changes.pop_front();
}

void lead_transfer::noteTimerDelay(utils::milliseconds delay, utils::time_point now)
{
    m_presentDelay = std::max(m_presentDelay, delay);
    if (m_secondBeganAt == utils::time_point())
        m_secondBeganAt = now;
    if (now < m_secondBeganAt + delayPeriod)
        return;
    m_secondBeganAt = now;
    m_lastDelay = std::exchange(m_presentDelay, utils::milliseconds(0));
    m_lateSeconds = m_lastDelay >= m_settings.lateDelay ? m_lateSeconds + 1 : 0;
}

utils::milliseconds lead_transfer::timerDelay() const
{
    return std::max(m_presentDelay, m_lastDelay);
}

bool lead_transfer::isLate() const
{
    return m_lateSeconds >= m_settings.lateSeconds;
}

void lead_transfer::noteFollower(const follower_daemon& follower, utils::time_point now)
{
    m_followers[follower.endpoint] = { follower, now };
}

void lead_transfer::forgetFollowers()
{
    m_followers.clear();
    m_lateSeconds = 0;
}

bool lead_transfer::hasMoreProcessors(const follower_daemon& follower) const
{
    return follower.processors >= m_settings.sufficientProcessors || follower.processors >= minimumGain * m_ownProcessors;
}

bool lead_transfer::isFaster(const follower_daemon& follower) const
{
    return follower.processors >= m_ownProcessors && follower.timerDelay * maximumDelayDivisor <= m_settings.lateDelay;
}

std::optional<lead_successor> lead_transfer::successor(utils::time_point now) const
{
    const auto recentChanges = std::ranges::count_if(m_changes, [&](auto at) { return at + m_settings.changeCountPeriod >= now; });
    const bool isTooSmall = m_ownProcessors < m_settings.sufficientProcessors && recentChanges < m_settings.maximumChanges;
    const bool isTooLate = isLate() && recentChanges < m_settings.maximumChangesIfLate;
    std::optional<lead_successor> best;
    for (const auto& [endpoint, known] : m_followers) {
        const auto& [follower, heardAt] = known;
        if (!follower.isStoreReachable || now > heardAt + followerSilenceTimeout || (best && follower.processors <= best->daemon.processors))
            continue;
        if (isTooSmall && hasMoreProcessors(follower))
            best = lead_successor { follower, transfer_reason::FewProcessors };
        else if (isTooLate && isFaster(follower))
            best = lead_successor { follower, transfer_reason::Late };
    }
    return best;
}

} // namespace camphorsaddle::tasks
