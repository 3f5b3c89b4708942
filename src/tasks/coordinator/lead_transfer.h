#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "utils/clock.h"

namespace camphorsaddle::tasks {

struct lead_transfer_settings {
    //! Processor cores with which a daemon can lead the largest fleet. Such a leader hands over to nobody.
    double sufficientProcessors = 0.4;
    //! With as many changes of the leader within \a changeCountPeriod, for whatever reason, a leader keeps the lead until some have
    //! passed. Bounds the changes if the daemons that could carry it aren't elected.
    std::ptrdiff_t maximumChanges = 4;
    utils::milliseconds changeCountPeriod { 20'000 };
    //! Delay of the coordinator's timer from which a second counts as late, and how many late seconds in a row make a leader late.
    utils::milliseconds lateDelay { 300 };
    unsigned lateSeconds = 3;
    //! The same as \a maximumChanges for a late leader, since the load may make each leader late.
    std::ptrdiff_t maximumChangesIfLate = 2;

    auto operator<=>(const lead_transfer_settings&) const = default;
};

//! \brief A daemon that follows the leader, as it describes itself.
struct follower_daemon {
    std::string endpoint;
    //! Processor cores that it may use.
    double processors = 0;
    //! It reaches the store, without which it can't be elected.
    bool isStoreReachable = false;
    //! Longest delay of its coordinator's timer in the last second or two.
    utils::milliseconds timerDelay { 0 };

    auto operator<=>(const follower_daemon&) const = default;
};

enum class transfer_reason {
    FewProcessors,
    Late,
};

constexpr absl::string_view toString(transfer_reason reason)
{
    return reason == transfer_reason::Late ? "the leader is late" : "the leader has few processors";
}

//! \brief The daemon that should lead instead of the present leader.
struct lead_successor {
    follower_daemon daemon;
    transfer_reason reason = transfer_reason::FewProcessors;

    auto operator<=>(const lead_successor&) const = default;
};

//! \brief Decides whether a leader with few processors, or a late one, gives the lead to a daemon that can carry it.
//!
//! Which daemon is elected after an outage of the store depends on whose connection works again first, and the host of a leader may become slow.
class lead_transfer {
public:
    lead_transfer(lead_transfer_settings settings, double ownProcessors);

    //! \brief Records the highest term that this daemon knows; must be called regularly.
    void noteTerm(std::uint64_t term, utils::time_point now);
    //! \brief Records the delay of the coordinator's timer; must be called each time that it runs.
    void noteTimerDelay(utils::milliseconds delay, utils::time_point now);
    //! \brief Longest delay of the timer in the present and the last second.
    utils::milliseconds timerDelay() const;
    void noteFollower(const follower_daemon& follower, utils::time_point now);
    //! \brief Forgets the followers of an earlier term.
    void forgetFollowers();
    //! \brief The daemon to hand over to; nullopt if there is no reason or none that fits, or if the leader has changed too often.
    std::optional<lead_successor> successor(utils::time_point now) const;

private:
    bool isLate() const;
    bool hasMoreProcessors(const follower_daemon& follower) const;
    bool isFaster(const follower_daemon& follower) const;

    lead_transfer_settings m_settings;
    double m_ownProcessors;
    std::uint64_t m_highestTerm = 0;
    //! When this daemon learned of the last changes of the leader.
    std::deque<utils::time_point> m_changes;
    utils::time_point m_secondBeganAt;
    utils::milliseconds m_presentDelay { 0 };
    utils::milliseconds m_lastDelay { 0 };
    //! Number of late seconds in a row.
    unsigned m_lateSeconds = 0;
    //! By endpoint, with the time of the last message.
    std::map<std::string, std::pair<follower_daemon, utils::time_point>> m_followers;
};

} // namespace camphorsaddle::tasks
