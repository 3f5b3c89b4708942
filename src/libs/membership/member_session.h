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
    utils::milliseconds leaseTerm { 3500 };
    utils::milliseconds heartbeatInterval { 500 };
    //! Heartbeats that may be missed before a peer counts as silent.
    int maximumMissedHeartbeats = 4;
    //! Renewals that fit into one lease term.
    int renewalsPerTerm = 3;
    utils::milliseconds initialRetryDelay { 100 };
    utils::milliseconds maximumRetryDelay { 2000 };
};

//! \brief What the other tasks learn of the membership.
struct membership_report {
    member_view view;
    //! Members that were not heard of; load moves away from them, ownership does not.
    std::set<std::string> silent;
    //! Whether this daemon's own member key is in the store under a lease that surely runs.
    bool isMember = false;

    auto operator<=>(const membership_report&) const = default;
};

//! Calls to the store; an answer carries the identifier of its call.
struct grant_member_lease {
    std::uint64_t callId = 0;
};

struct renew_member_lease {
    std::uint64_t callId = 0;
    external::lease_id lease = 0;
};

struct end_member_lease {
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

//! \brief The heartbeat is due.
struct send_heartbeat { };

//! \brief A planned leave is complete.
struct report_leave_completed { };

using session_action = std::variant<grant_member_lease, renew_member_lease, end_member_lease, read_member_key, write_member_key, list_members, watch_members,
    membership_report, send_heartbeat, report_leave_completed>;
using session_actions = std::vector<session_action>;

std::string memberKey(const std::string& id);

//! \brief Keeps one daemon's membership: its leased key, the view of the others and who is silent.
//!
//! A pure state machine: events go in with the present time and a random number, actions come out. Each event first
//! checks whether the lease surely still runs, so that a daemon which was stopped owns nothing when it goes on.
class member_session {
public:
    member_session(member self, session_settings settings);

    session_actions start(utils::time_point now, std::uint64_t random);
    //! \brief Does what is due; call it at nextDueTime().
    session_actions runDueActions(utils::time_point now, std::uint64_t random);
    utils::time_point nextDueTime() const;

    session_actions handleLeaseGranted(std::uint64_t callId, const absl::StatusOr<external::lease_id>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleLeaseRenewed(std::uint64_t callId, const absl::Status& answer, utils::time_point now, std::uint64_t random);
    session_actions handleLeaseEnded(std::uint64_t callId);
    session_actions handleKeyRead(std::uint64_t callId, const absl::StatusOr<external::key_value>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleKeyWritten(std::uint64_t callId, const absl::StatusOr<external::revision>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleMembersListed(std::uint64_t callId, const absl::StatusOr<external::key_listing>& answer, utils::time_point now, std::uint64_t random);
    session_actions handleMembersChanged(std::uint64_t callId, const absl::StatusOr<external::watch_result>& answer, utils::time_point now, std::uint64_t random);

    //! \brief A message of the peer arrived.
    void recordPeerMessage(const std::string& peer, utils::time_point now);
    //! \brief Tells the others the data centres whose workers this daemon does not reach.
    session_actions setUnreachableDataCentres(std::vector<std::string> dataCentres, utils::time_point now);
    //! \brief Gives the membership up for good.
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
        Absent,
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
    void updateSilentPeers(utils::time_point now, session_actions& actions);
    void appendReport(session_actions& actions);
    utils::milliseconds retryDelay(unsigned failures, std::uint64_t random) const;

    member m_self;
    session_settings m_settings;
    //! The key's way into the store; a changed key goes that way again while this daemon stays a member.
    phase m_phase = phase::Absent;
    bool m_isMember = false;
    std::uint64_t m_lastCallId = 0;

    // The own lease and key
    std::uint64_t m_joinCallId = 0;
    std::uint64_t m_renewCallId = 0;
    external::lease_id m_lease = 0;
    utils::time_point m_leaseRequestTime;
    utils::time_point m_leaseEnd;
    utils::time_point m_nextJoin = utils::time_point::max();
    utils::time_point m_nextRenewal = utils::time_point::max();
    unsigned m_joinFailures = 0;

    // The view
    std::uint64_t m_viewCallId = 0;
    utils::time_point m_nextListing = utils::time_point::max();
    unsigned m_viewFailures = 0;
    external::revision m_revision = 0;
    std::map<std::string, member> m_members;
    std::map<std::string, utils::time_point> m_lastHeard;
    utils::time_point m_nextHeartbeat = utils::time_point::max();
    membership_report m_report;
};

} // namespace camphorsaddle::membership
