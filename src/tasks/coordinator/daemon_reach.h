#pragma once

#include <compare>

#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief What a daemon that doesn't lead knows of its way to the leader and to the store.
struct daemon_reach {
    //! When a message of the leader arrived last; the epoch if none has.
    utils::time_point leaderHeardAt;
    //! When the leader or the store confirmed the rules last.
    utils::time_point rulesConfirmedAt;
    //! The last call of each of the two watches of the store has failed: that of the leader key, and that of the rules.
    bool isLeaderWatchFailing = false;
    bool isRulesWatchFailing = false;

    auto operator<=>(const daemon_reach&) const = default;
};

//! Daemons say hello twice a second, and the leader replies. A longer silence is the loss of the leader or of the way to it.
inline constexpr utils::milliseconds longestLeaderSilence { 1500 };

//! A store that refuses single calls, as one at the limit of its rate does, confirms the rules within this time. A silent link shows in the
//! leader's watch after 9 s only.
inline constexpr utils::milliseconds longestUnconfirmedTime { 3000 };

//! \brief Whether the daemon reaches neither the leader nor the store, so that it can do nothing for callers.
constexpr bool isDisconnected(const daemon_reach& reach, utils::time_point now)
{
    const bool isOneWatchFailing = reach.isLeaderWatchFailing || reach.isRulesWatchFailing;
    const bool areBothFailing = reach.isLeaderWatchFailing && reach.isRulesWatchFailing;
    const bool isStoreLost = areBothFailing || (isOneWatchFailing && now > reach.rulesConfirmedAt + longestUnconfirmedTime);
    return isStoreLost && now > reach.leaderHeardAt + longestLeaderSilence;
}

} // namespace camphorsaddle::tasks
