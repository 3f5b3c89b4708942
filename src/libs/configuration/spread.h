#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "configuration/edit_process.h"

namespace camphorsaddle::configuration {

struct spread_settings {
    //! Id of this daemon.
    std::string self;
    //! Pause after a store call that failed.
    utils::milliseconds retryDelay { 500 };
    //! The record is read again this long after the last read, whatever the watch says.
    utils::milliseconds rereadInterval { 30000 };
    //! As rereadInterval, while a peer reports a greater revision.
    utils::milliseconds pullInterval { 1000 };
    //! Time that a peer may lag before it is sent the record.
    utils::milliseconds grace { 1000 };
    //! Added to the grace for each member that sends before this one.
    utils::milliseconds rankDelay { 500 };
    //! Pause before the same record is sent to a peer again; doubles up to the limit.
    utils::milliseconds resendDelay { 1500 };
    utils::milliseconds resendLimit { 60000 };
    //! Peers that were not heard of for longer are sent nothing.
    utils::milliseconds silenceLimit { 5000 };
};

//! \brief Where a record came from.
enum class record_source {
    //! Written by this daemon for an operator; it is announced to all peers.
    OwnEdit,
    Read,
    Watch,
    Peer,
};

struct watch_record {
    external::revision after = 0;
};

//! \brief Send the record in force to a peer.
struct send_record {
    std::string receiver;
};

//! \brief The record in force changed.
struct apply_record { };

//! \brief A record failed the check and is not in force; reported once a revision.
struct reject_record {
    //! 0 when the stored text is no record.
    std::uint64_t revision = 0;
    absl::Status cause;
};

//! \brief A read found a revision that the watch still had not reported at the next read.
struct report_silent_watch {
    std::uint64_t revision = 0;
};

using spread_action = std::variant<read_record, watch_record, send_record, apply_record, reject_record, report_silent_watch>;
using spread_actions = std::vector<spread_action>;

//! \brief Decides which configuration is in force in a daemon and which peers are sent it.
//!
//! The revision in force only grows. Answers to actions may come late or never.
class spread {
public:
    using record_check = std::function<absl::Status(const settings::configuration_record&)>;

    spread(spread_settings settings, record_check check);

    //! \brief The record in force; revision 0 when there is none yet.
    const settings::configuration_record& record() const
    {
        return m_record;
    }
    //! \brief Revision that a peer last reported, 0 when unknown.
    std::uint64_t revisionOf(const std::string& member) const;

    //! \brief Due reads, watches and sends; called at start and every few hundred milliseconds.
    spread_actions onTick(utils::time_point now);
    //! \brief Answer to read_record; NotFound means that nothing is stored.
    //! \a at is the store's revision of the answer.
    spread_actions onRead(const absl::StatusOr<settings::configuration_record>& stored, external::revision at, utils::time_point now);
    //! \brief Answer to watch_record, with the last record of the changes if there was one.
    spread_actions onWatched(const absl::StatusOr<external::revision>& at, const settings::configuration_record* changed, utils::time_point now);
    //! \brief A record came from a peer or was written by this daemon.
    spread_actions onRecord(const settings::configuration_record& record, record_source source, utils::time_point now);
    void onMembers(std::set<std::string> members);
    void onHeartbeat(const std::string& sender, std::uint64_t revision, utils::time_point now);

private:
    //! What is known of a peer.
    struct peer_state {
        std::uint64_t reported = 0;
        bool isLagging = false;
        utils::time_point lagsSince;
        utils::time_point lastHeard;
        std::uint64_t sent = 0;
        utils::time_point sendAgain;
        utils::milliseconds pause { 0 };
    };

    void offer(const settings::configuration_record& record, record_source source, utils::time_point now, spread_actions& actions);
    void noteRead(std::uint64_t revision, spread_actions& actions);
    void announce(utils::time_point now, spread_actions& actions);
    void send(const std::string& receiver, utils::time_point now, spread_actions& actions);
    bool isSendDue(const std::string& name, const peer_state& peer, utils::time_point now) const;
    std::size_t rankFor(const std::string& laggard) const;

    spread_settings m_settings;
    record_check m_check;
    settings::configuration_record m_record;
    std::uint64_t m_rejected = 0;
    //! Found by the last read and not reported by the watch until then.
    std::uint64_t m_unreported = 0;
    std::set<std::string> m_members;
    std::map<std::string, peer_state> m_peers;
    external::revision m_watchedRevision = 0;
    utils::time_point m_readAgain;
    utils::time_point m_lastRead;
    utils::time_point m_watchAgain;
    bool m_isReading = false;
    bool m_isWatching = false;
    bool m_wasRead = false;
    bool m_isStoredCorrupt = false;
};

} // namespace camphorsaddle::configuration
