#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "configuration/edit_transaction.h"

namespace camphorsaddle::configuration {

struct replicator_settings {
    std::string localDaemonId;
    //! Delay before a failed store call is repeated.
    utils::milliseconds retryDelay { 500 };
    //! Delay of the next read after the last one, whether or not the watch reports changes.
    utils::milliseconds rereadInterval { 30000 };
    //! Minimum time between two reads while a peer reports a newer revision.
    utils::milliseconds catchUpReadInterval { 1000 };
    //! Time that a peer may report an older revision before it is sent the record; also the delay of the read after a peer
    //! has reported a newer one.
    utils::milliseconds lagGracePeriod { 1000 };
    //! Added to lagGracePeriod for each member that is due to send before this daemon.
    utils::milliseconds delayPerRank { 500 };
    //! Delay before the same record is sent to a peer again; doubles with each send up to maximumResendDelay.
    utils::milliseconds initialResendDelay { 1500 };
    utils::milliseconds maximumResendDelay { 60000 };
    //! Peers without a heartbeat for longer than this are sent nothing.
    utils::milliseconds peerTimeout { 5000 };
};

//! \brief Where a record came from.
enum class record_source {
    //! Written by this daemon for an operator; it is sent to all peers that don't have it yet.
    LocalEdit,
    Read,
    Watch,
    Peer,
};

//! \brief Wait for a change of the stored record after a revision of the store.
struct watch_record {
    external::revision after = 0;
};

//! \brief Send the active record to a peer.
struct send_record {
    std::string receiver;
};

//! \brief The active record has changed and has to be put into effect.
struct apply_record { };

//! \brief A record is invalid and was not activated; reported once for each revision.
struct reject_record {
    //! 0 if the stored value could not be parsed.
    std::uint64_t revision = 0;
    absl::Status cause;
};

//! \brief A read found a revision that the watch had not reported by the time of the next read.
struct report_stalled_watch {
    std::uint64_t revision = 0;
};

using replicator_action = std::variant<read_record, watch_record, send_record, apply_record, reject_record, report_stalled_watch>;
using replicator_actions = std::vector<replicator_action>;

//! \brief Keeps the configuration of a daemon up to date and passes it on to peers with an older one.
//!
//! The active revision never decreases. Replies to actions may arrive late or not at all. Does no input or output itself.
class replicator {
public:
    using record_check = std::function<absl::Status(const settings::configuration_record&)>;

    replicator(replicator_settings settings, record_check check);

    //! \brief The active record; its revision is 0 before the first one.
    const settings::configuration_record& activeRecord() const
    {
        return m_activeRecord;
    }
    //! \brief The revision in the last heartbeat of \a member, 0 if unknown; the active revision for this daemon itself.
    std::uint64_t lastReportedRevision(const std::string& member) const;

    //! \brief Returns the reads, watches and sends that are due; to be called at start and every few hundred milliseconds.
    replicator_actions handleTick(utils::time_point now);
    //! \brief Handles the reply to read_record; NotFound means that no record is stored.
    //!
    //! \a storeRevision is the revision of the store at the time of the read.
    replicator_actions handleReadReply(const absl::StatusOr<settings::configuration_record>& stored, external::revision storeRevision, utils::time_point now);
    //! \brief Handles the reply to watch_record.
    //!
    //! \a storeRevision is the revision up to which the store has been watched, \a latestRecord the newest record in the
    //! reported changes, or null.
    replicator_actions handleWatchReply(const absl::StatusOr<external::revision>& storeRevision, const settings::configuration_record* latestRecord, utils::time_point now);
    //! \brief Handles a record that a peer has sent or that this daemon has written for an operator.
    replicator_actions handleRecord(const settings::configuration_record& record, record_source source, utils::time_point now);
    //! \brief Sets the ids of all members of the deployment; peers that are no longer members are forgotten.
    void setMembers(std::set<std::string> members);
    //! \brief Handles a heartbeat, in which the peer \a sender reports the revision of its active record.
    void handleHeartbeat(const std::string& sender, std::uint64_t revision, utils::time_point now);

private:
    //! What this daemon knows about a peer.
    struct peer_state {
        //! The revision in the peer's last heartbeat.
        std::uint64_t reportedRevision = 0;
        bool isLagging = false;
        utils::time_point laggingSince;
        utils::time_point lastHeard;
        //! The last revision that this daemon sent to the peer.
        std::uint64_t sentRevision = 0;
        utils::time_point nextSendTime;
        utils::milliseconds currentResendDelay { 0 };
    };

    void considerRecord(const settings::configuration_record& record, record_source source, utils::time_point now, replicator_actions& actions);
    void detectStalledWatch(std::uint64_t revision, replicator_actions& actions);
    void sendToOutdatedPeers(utils::time_point now, replicator_actions& actions);
    void queueSend(const std::string& receiver, utils::time_point now, replicator_actions& actions);
    bool isSendDue(const std::string& name, const peer_state& peer, utils::time_point now) const;
    std::size_t sendRank(const std::string& laggingPeer) const;

    replicator_settings m_settings;
    record_check m_check;
    settings::configuration_record m_activeRecord;
    //! The last revision that failed the check; it is not checked again.
    std::uint64_t m_rejectedRevision = 0;
    //! Revision that the last read found before the watch reported it; 0 if there is none.
    std::uint64_t m_unreportedRevision = 0;
    std::set<std::string> m_members;
    std::map<std::string, peer_state> m_peers;
    external::revision m_watchedRevision = 0;
    utils::time_point m_nextReadTime;
    utils::time_point m_lastReadTime;
    utils::time_point m_nextWatchTime;
    bool m_isReading = false;
    bool m_isWatching = false;
    bool m_hasReadStore = false;
    bool m_isStoredRecordCorrupt = false;
};

} // namespace camphorsaddle::configuration
