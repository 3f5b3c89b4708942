#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "external/key_value_store.h"
#include "membership/member.h"

namespace camphorsaddle::membership {

struct session_settings {
    utils::milliseconds leaseDuration { 3500 };
    utils::milliseconds heartbeatInterval { 500 };
    //! Number of heartbeats that a peer may miss before it counts as silent.
    int maximumMissedHeartbeats = 4;
    //! Number of renewals per lease term.
    int renewalsPerTerm = 3;
    utils::milliseconds initialRetryDelay { 100 };
    utils::milliseconds maximumRetryDelay { 2000 };
};

//! \brief State of the membership as reported to the other tasks.
struct membership_report {
    member_view view;
    //! Members that stopped sending heartbeats; load is moved away from them, but they keep their shards.
    std::set<std::string> silent;
    //! Whether this daemon's member key is in the store under a lease that certainly has not expired.
    bool isMember = false;

    auto operator<=>(const membership_report&) const = default;
};

//! Calls to the store. The answer to a call is passed back with the identifier of the call.
struct grant_member_lease {
    std::uint64_t callId = 0;
};

struct renew_member_lease {
    std::uint64_t callId = 0;
    external::lease_id lease = 0;
};

struct revoke_member_lease {
    std::uint64_t callId = 0;
    external::lease_id lease = 0;
};

struct read_member_key {
    std::uint64_t callId = 0;
};

struct write_member_key {
    std::uint64_t callId = 0;
    external::write_request request;
};

struct list_members {
    std::uint64_t callId = 0;
};

struct watch_members {
    std::uint64_t callId = 0;
    external::revision after = 0;
};

//! \brief Sends a heartbeat to all peers.
struct send_heartbeat { };

//! \brief Reports that a leave() has completed.
struct report_leave_completed { };

using session_action = std::variant<grant_member_lease, renew_member_lease, revoke_member_lease, read_member_key, write_member_key, list_members, watch_members,
    membership_report, send_heartbeat, report_leave_completed>;
using session_actions = std::vector<session_action>;

std::string memberKey(const std::string& id);

//! \brief Maintains the membership of one daemon: its leased member key, the view of the other members and the silent peers.
//!
//! A state machine without I/O: each event is passed in with the current time and a random number and returns the actions to
//! perform. Each event first checks whether the lease has certainly not expired, so that a daemon that was suspended does not
//! act as a member when it resumes.
class member_session {
public:
    member_session(member self, session_settings settings);

    session_actions start(utils::time_point now, std::uint64_t random);
    //! \brief Performs the work that is due; call this at nextDueTime().
    session_actions runDueActions(utils::time_point now, std::uint64_t random);
    utils::time_point nextDueTime() const;

    session_actions handleLeaseGranted(std::uint64_t callId, const absl::StatusOr<external::lease_id>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleLeaseRenewed(std::uint64_t callId, const absl::Status& answer, utils::time_point now, std::uint64_t random);
    session_actions handleLeaseRevoked(std::uint64_t callId);
    session_actions handleKeyRead(std::uint64_t callId, const absl::StatusOr<external::key_value>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleKeyWritten(std::uint64_t callId, const absl::StatusOr<external::revision>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleMembersListed(std::uint64_t callId, const absl::StatusOr<external::key_listing>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleMembersChanged(std::uint64_t callId, const absl::StatusOr<external::watch_result>& answer, utils::time_point now, std::uint64_t random);

    //! \brief Records that a message of \a peer arrived at \a now.
    void recordPeerMessage(const std::string& peer, utils::time_point now);
    //! \brief Publishes the data centres whose workers this daemon cannot reach to the other members.
    session_actions setUnreachableDataCentres(std::vector<std::string> dataCentres, utils::time_point now);
    //! \brief Ends the membership permanently.
    session_actions leave();

    const membership_report& report() const
    {
        return m_report;
    }
    const member& self() const
    {
        return m_self;
    }

private:
    enum class phase {
        NotJoined,
        Granting,
        Reading,
        Writing,
        Joined,
        Left,
    };

    void checkLease(utils::time_point now, session_actions& actions);
    void loseLease(session_actions& actions, const std::string& cause);
    void join(utils::time_point now, session_actions& actions);
    void retryJoin(utils::time_point now, std::uint64_t random);
    void retryListing(utils::time_point now, std::uint64_t random);
    void renew(utils::time_point now, session_actions& actions);
    void checkOwnKey(session_actions& actions);
    void sendHeartbeatAndCheckPeers(utils::time_point now, session_actions& actions);
    void appendReport(session_actions& actions);
    utils::milliseconds retryDelay(unsigned failures, std::uint64_t random) const;

    member m_self;
    session_settings m_settings;
    //! Progress of writing the member key. When the member key changes, the daemon reads and writes it again while it stays a
    //! member.
    phase m_phase = phase::NotJoined;
    bool m_isMember = false;
    std::uint64_t m_lastCallId = 0;

    // Lease and member key of this daemon
    std::uint64_t m_joinCallId = 0;
    std::uint64_t m_renewCallId = 0;
    external::lease_id m_lease = 0;
    utils::time_point m_leaseRequestTime;
    utils::time_point m_leaseEnd;
    utils::time_point m_nextJoin = utils::time_point::max();
    utils::time_point m_nextRenewal = utils::time_point::max();
    unsigned m_joinFailures = 0;

    // View of the members
    std::uint64_t m_viewCallId = 0;
    utils::time_point m_nextListing = utils::time_point::max();
    unsigned m_viewFailures = 0;
    external::revision m_revision = 0;
    std::map<std::string, member> m_members;
    std::map<std::string, utils::time_point> m_lastMessageTimes;
    utils::time_point m_nextHeartbeat = utils::time_point::max();
    membership_report m_report;
};

} // namespace camphorsaddle::membership
