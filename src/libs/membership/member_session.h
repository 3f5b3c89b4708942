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
    //! Heartbeats that may be missed before a peer counts as silent.
    int missedHeartbeats = 4;
    //! Renewals that fit into one lease term.
    int renewalsPerTerm = 3;
    utils::milliseconds firstRetry { 100 };
    utils::milliseconds longestRetry { 2000 };
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

//! Calls to the store; an answer carries the number of its call.
struct grant_member_lease {
    std::uint64_t call = 0;
};

struct renew_member_lease {
    std::uint64_t call = 0;
    external::lease_id lease = 0;
};

struct end_member_lease {
    std::uint64_t call = 0;
    external::lease_id lease = 0;
};

struct read_member_key {
    std::uint64_t call = 0;
};

struct write_member_key {
    std::uint64_t call = 0;
    external::write_request request;
};

struct list_members {
    std::uint64_t call = 0;
};

struct watch_members {
    std::uint64_t call = 0;
    external::revision after = 0;
};

//! \brief The heartbeat is due.
struct send_heartbeat { };

//! \brief A planned leave is complete.
struct report_left { };

using session_action = std::variant<grant_member_lease, renew_member_lease, end_member_lease, read_member_key, write_member_key, list_members, watch_members,
    membership_report, send_heartbeat, report_left>;
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
    //! \brief Does what is due; call it at nextWake().
    session_actions wake(utils::time_point now, std::uint64_t random);
    utils::time_point nextWake() const;

    session_actions leaseGranted(std::uint64_t call, const absl::StatusOr<external::lease_id>& answer, utils::time_point now, std::uint64_t random);
    session_actions leaseRenewed(std::uint64_t call, const absl::Status& answer, utils::time_point now, std::uint64_t random);
    session_actions leaseEnded(std::uint64_t call);
    session_actions keyRead(std::uint64_t call, const absl::StatusOr<external::key_value>& answer, utils::time_point now, std::uint64_t random);
    session_actions keyWritten(std::uint64_t call, const absl::StatusOr<external::revision>& answer, utils::time_point now, std::uint64_t random);
    session_actions membersListed(std::uint64_t call, const absl::StatusOr<external::key_listing>& answer, utils::time_point now, std::uint64_t random);
    session_actions membersChanged(std::uint64_t call, const absl::StatusOr<external::watch_result>& answer, utils::time_point now, std::uint64_t random);

    //! \brief A message of the peer arrived.
    void heard(const std::string& peer, utils::time_point now);
    //! \brief Tells the others the data centres whose workers this daemon does not reach.
    session_actions setUnreachable(std::vector<std::string> dataCentres, utils::time_point now);
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
    void retryView(utils::time_point now, std::uint64_t random);
    void renew(utils::time_point now, session_actions& actions);
    void checkOwnKey(session_actions& actions);
    void checkPeers(utils::time_point now, session_actions& actions);
    void publish(session_actions& actions);
    utils::milliseconds retryDelay(unsigned failures, std::uint64_t random) const;

    member m_self;
    session_settings m_settings;
    //! The key's way into the store; a changed key goes that way again while this daemon stays a member.
    phase m_phase = phase::Absent;
    bool m_isMember = false;
    std::uint64_t m_lastCall = 0;

    // The own lease and key
    std::uint64_t m_joinCall = 0;
    std::uint64_t m_renewCall = 0;
    external::lease_id m_lease = 0;
    utils::time_point m_asked;
    utils::time_point m_leaseEnd;
    utils::time_point m_joinAt = utils::time_point::max();
    utils::time_point m_renewAt = utils::time_point::max();
    unsigned m_joinFailures = 0;

    // The view
    std::uint64_t m_viewCall = 0;
    utils::time_point m_listAt = utils::time_point::max();
    unsigned m_viewFailures = 0;
    external::revision m_revision = 0;
    std::map<std::string, member> m_members;
    std::map<std::string, utils::time_point> m_lastHeard;
    utils::time_point m_heartbeatAt = utils::time_point::max();
    membership_report m_report;
};

} // namespace camphorsaddle::membership
