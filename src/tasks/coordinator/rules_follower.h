#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "jobs/admission_forecast.h"
#include "jobs/deployment_format.h"
#include "jobs/rules_history.h"
#include "protocol/jobs.pb.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "tasks/coordinator/prefix_watch.h"
#include "tasks/coordinator/rules_codec.h"

namespace camphorsaddle::tasks {

//! \brief Keeps a daemon's copy of the operators' rules up to date.
//!
//! The leader watches the store and sends the changes to the other daemons. Another daemon reads the store itself only
//! while it gets no confirmation from a leader with up-to-date rules: if every daemon read a large configuration in full
//! after each change, this would fill the links between the regions.
class rules_follower {
public:
    using change_callback = std::function<void(const std::shared_ptr<const jobs::deployment_rules>&)>;
    using send_function = std::function<void(const std::string& endpoint, const protocol::CoordinatorEnvelope&)>;

    //! \a random is used for the delays of repeated calls, see prefix_watch.
    rules_follower(transport::event_loop& loop, external::key_value_store& store, const jobs::deployment_format& format, change_callback onChanged, send_function send, const std::mt19937_64& random = std::mt19937_64());

    void start();
    //! \brief Switches between watching the store as leader and following the leader's updates.
    void setLeading(bool isLeader);
    //! \brief Requests changes from the store when a refresh is due; must be called regularly.
    void tick(utils::time_point now);

    //! \brief Requests changes from the store now, unless a request is pending.
    void requestConfirmation(utils::time_point now);

    //! \brief Rules in force; null before the first were read.
    const std::shared_ptr<const jobs::deployment_rules>& rules() const;
    //! \brief The rules with the time and the source of their last confirmation.
    rules_state state() const;

    //! \brief As leader: sends the changes that the daemon lacks, and what it needs for the admission of jobs.
    void replyToHello(const protocol::CarrierHello& hello, utils::time_point now, const admission_update& admission = {});
    //! \brief As follower: adds the revision of the rules and the sending time to a hello.
    void fillHello(protocol::CarrierHello& hello, utils::time_point now) const;
    //! \brief As follower: applies the changes that the leader sent.
    void applyUpdate(const protocol::RulesUpdate& update);

private:
    struct known_follower {
        //! Last revision that the daemon reported or was sent.
        external::revision revision = 0;
        utils::time_point lastHeardAt;
        //! Until when the last change that it was sent may still be on its way.
        utils::time_point changeArrivesUntil;
    };

    //! Time at which the rules were last known to be the newest.
    utils::time_point confirmedAt() const;
    void reportAge(utils::time_point now);

    void onRulesKey(const std::string& key, const external::key_value* value);
    void publishRules();
    void sendUpdate(const std::string& endpoint, known_follower& follower, std::int64_t helloMicroseconds, utils::time_point now, const admission_update& admission = {});

    const jobs::deployment_format& m_format;
    change_callback m_onChanged;
    send_function m_send;
    jobs::rules_history m_history;
    prefix_watch m_watch;
    bool m_isLeader = false;
    //! Time at which the rules were the newest according to the leader.
    utils::time_point m_leaderConfirmedAt;
    utils::time_point m_lastRefreshAt;
    std::map<std::string, known_follower> m_followers;
    bool m_isReportedAsUnconfirmed = false;
};

} // namespace camphorsaddle::tasks
