#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "external/transactional_store.h"
#include "jobs/job_record.h"
#include "tasks/coordinator/prefix_watch.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief Timing of the leader election.
struct leader_election_settings {
    //! Lease of the leader key. Bounds the time without a leader after a crash, and the longest delay of a busy leader
    //! between two renewals.
    utils::milliseconds leaseDuration { 2000 };
    utils::milliseconds renewalInterval { 500 };
    //! How long a leader that can't renew its lease still sends orders, which need no write to the store. A new leader
    //! waits for this time to pass.
    utils::milliseconds leaseGracePeriod { 5000 };
    //! How long the store may hold a long poll for changes of the leader keys.
    utils::milliseconds watchTimeout { 8000 };
    //! Delay before this daemon becomes a candidate; daemons with a shorter delay are elected first.
    utils::milliseconds candidacyDelay { 0 };
    //! The same after it has given the lead to another daemon, which may not have been elected.
    utils::milliseconds candidacyDelayAfterTransfer { 1000 };
};

//! \brief Keys of the scheduler's data in the store.
namespace store_keys {
    inline const std::string leaderPrefix = "camphorsaddle/lead/";
    inline const std::string leader = "camphorsaddle/lead/leader";
    inline const std::string term = "camphorsaddle/lead/term";
    //! The leaders that may still send orders, or whose orders the present leader doesn't know yet; see former_leaders.
    inline const std::string leaderHistory = "camphorsaddle/lead/history";
    inline const std::string roster = "camphorsaddle/roster";
    inline const std::string learned = "camphorsaddle/learned";
    inline const std::string jobsPrefix = "camphorsaddle/job/";
    //! One entry for each cancellation of a job that the store didn't have. A job with such an entry must not be stored.
    inline const std::string earlyCancellationPrefix = "camphorsaddle/early-cancellation/";
    //! One entry for each job or cancellation that was stored without the leader and that it has to adopt.
    inline const std::string inboxPrefix = "camphorsaddle/inbox/";
    //! Value of the inbox entry of a cancellation.
    inline const std::string cancelledMark = "cancelled";

    std::string job(const std::string& id);
    std::string progress(const std::string& id);
    std::string cancellation(const std::string& id);
    std::string earlyCancellation(const std::string& id);
    std::string jobPrefix(const std::string& id);
} // namespace store_keys

//! \brief Elects one leader by a key with a lease, and renews the lease while this daemon leads.
class leader_election {
public:
    //! Called when this daemon becomes leader, and when it stops being leader.
    using change_callback = std::function<void()>;

    //! \a random is used for the delays of repeated calls, see prefix_watch.
    leader_election(transport::event_loop& loop, external::transactional_store& store, leader_election_settings settings, jobs::leader_record ownRecord, change_callback onChanged, const std::mt19937_64& random = std::mt19937_64());
    ~leader_election();
    leader_election(const leader_election&) = delete;
    leader_election& operator=(const leader_election&) = delete;

    void start();
    //! \brief Gives up the leadership and takes part in no further election.
    void resign();
    //! \brief Gives up the leadership in favour of another daemon, for the reason \a why.
    void giveUpLead(const std::string& why);
    //! \brief Ends this daemon's leadership because there is another leader or stored state can't be read; logs \a why.
    void stepDown(const std::string& why);
    //! \brief Records that another daemon leads \a term; ends any earlier term of this daemon.
    void noteLaterTerm(std::uint64_t term);
    //! \brief Reads the leader key again after a call to the leader failed.
    void checkLeader();

    bool isLeader() const;
    //! \brief Whether the leader may send orders to workers: its lease is valid, or expired within the grace period.
    bool maySendOrders(utils::time_point now) const;
    //! \brief Earliest time at which the store may end the lease, as of the last renewal.
    utils::time_point leaseExpiresAt() const;
    //! \brief Whether the store renewed the lease within the last two renewal intervals.
    bool isLeaseRecentlyRenewed(utils::time_point now) const;
    //! \brief Number of this daemon's last term as leader, which is the fencing token of its orders.
    std::uint64_t term() const;
    //! \brief Highest term of any leader that this daemon has learned of from the store.
    std::uint64_t highestTerm() const;
    //! \brief Latest time at which any former leader can have renewed its leadership.
    utils::time_point lastFormerRenewal() const;
    //! \brief The leaders before this term, as read from the store; the last one led the term before.
    const std::vector<jobs::leader_record>& formerLeaders() const;
    //! \brief Record of this daemon's last term as leader.
    const jobs::leader_record& ownRecord() const;
    //! \brief Version of the leader key that this term wrote; every write of the leader requires it.
    external::revision leaderKeyVersion() const;
    //! \brief The leader as last seen in the store; empty while the leader key does not exist or is unreadable.
    const std::optional<jobs::leader_record>& leader() const;
    //! \brief Whether the last listing of the leader keys succeeded.
    bool isStoreReachable() const;

private:
    void onKeyChanged(const std::string& key, const external::key_value* value);
    void readHistory(const external::key_value* value);
    void onSynced();
    void requestLease();
    void writeLeaderKey(external::lease_id lease, utils::time_point grantedAt);
    void renewOwnLease();
    void setLeading(bool becomesLeader, const std::string& why);
    void revokeLease(external::lease_id lease);

    external::transactional_store& m_store;
    leader_election_settings m_settings;
    jobs::leader_record m_ownRecord;
    change_callback m_onChanged;
    prefix_watch m_watch;
    transport::timer m_renewalTimer;
    transport::timer m_candidacyTimer;
    std::optional<jobs::leader_record> m_leader;
    //! Version of the leader key as last seen; 0 if it does not exist.
    external::revision m_leaderKeyVersion = 0;
    external::revision m_termKeyVersion = 0;
    external::revision m_historyVersion = 0;
    //! The leaders in the history as last seen, and those before the own term.
    std::vector<jobs::leader_record> m_history;
    std::vector<jobs::leader_record> m_formerLeaders;
    std::uint64_t m_lastTerm = 0;
    std::uint64_t m_highestTerm = 0;
    bool m_isLeader = false;
    bool m_hasResigned = false;
    //! Another daemon is to be elected next.
    bool m_hasGivenUpLead = false;
    bool m_isCandidate = false;
    bool m_isRenewing = false;
    //! Version of the leader key that this daemon wrote for its term.
    external::revision m_ownKeyVersion = 0;
    external::lease_id m_lease = 0;
    utils::time_point m_leaseExpiresAt;
    utils::time_point m_lastFormerRenewal;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
