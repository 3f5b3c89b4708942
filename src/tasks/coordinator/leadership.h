#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "external/transactional_store.h"
#include "jobs/job_record.h"
#include "tasks/coordinator/prefix_watch.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

struct leadership_settings {
    //! Lease of the leader key: the time without a leader after a crash, and the time that a busy leader may need
    //! between two renewals.
    utils::milliseconds term { 2000 };
    utils::milliseconds renewal { 500 };
    //! How long a leader goes on with what needs no entry when it can't renew; a new leader allows for it.
    utils::milliseconds reach { 5000 };
    utils::milliseconds watchWait { 8000 };
    //! Pause before a candidacy, which leaves the lead to daemons with a shorter one.
    utils::milliseconds candidacyDelay { 0 };
};

//! \brief Keys of the scheduler in the store.
namespace store_keys {
    inline const std::string leaderPrefix = "camphorsaddle/lead/";
    inline const std::string leader = "camphorsaddle/lead/leader";
    inline const std::string term = "camphorsaddle/lead/term";
    inline const std::string roster = "camphorsaddle/roster";
    inline const std::string learned = "camphorsaddle/learned";
    inline const std::string jobs = "camphorsaddle/job/";
    //! Marks of jobs and cancellations that were stored without the leader.
    inline const std::string inbox = "camphorsaddle/inbox/";

    std::string job(const std::string& id);
    std::string progress(const std::string& id);
    std::string cancellation(const std::string& id);
    std::string jobPrefix(const std::string& id);
} // namespace store_keys

//! \brief Takes part in the choice of one leader by a leased key, and keeps the lease.
class leadership {
public:
    //! Called when this daemon becomes leader, and when it no longer is.
    using change_function = std::function<void()>;

    leadership(transport::event_loop& loop, external::transactional_store& store, leadership_settings settings, jobs::leader_record self, change_function changed);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void start();
    //! \brief Gives the lead up, or no longer seeks it.
    void resign();
    //! \brief Another leader was met, so that the lead is lost.
    void deposed(const std::string& why);
    //! \brief A call to the leader failed; looks whether there is another one.
    void suspectLeader();

    bool isLeader() const;
    //! \brief Whether orders may be given: the lease holds, or ended no longer ago than the reach.
    bool mayOrder(utils::time_point now) const;
    //! \brief Whether the store has renewed the lease lately.
    bool isLeaseFresh(utils::time_point now) const;
    std::uint64_t term() const;
    //! \brief Version of the leader key of this term; every write of a leader expects it.
    external::revision version() const;
    //! \brief The leader as far as known; none while there is no key.
    const std::optional<jobs::leader_record>& leader() const;
    bool isStoreReached() const;

private:
    void onChange(const std::string& key, const external::key_value* value);
    void onSynced();
    void seek();
    void stand(external::lease_id lease, utils::time_point grantedAt);
    void renew();
    void step(bool leads, const std::string& why);
    void revokeLease(external::lease_id lease);

    external::transactional_store& m_store;
    leadership_settings m_settings;
    jobs::leader_record m_self;
    change_function m_changed;
    prefix_watch m_watch;
    transport::timer m_renewal;
    transport::timer m_candidacy;
    std::optional<jobs::leader_record> m_leader;
    external::revision m_leaderVersion = 0;
    external::revision m_termVersion = 0;
    std::uint64_t m_lastTerm = 0;
    bool m_isLeader = false;
    bool m_hasResigned = false;
    bool m_isStanding = false;
    bool m_isRenewing = false;
    external::revision m_version = 0;
    external::lease_id m_lease = 0;
    utils::time_point m_validUntil;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
