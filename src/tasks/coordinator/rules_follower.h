#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "jobs/deployment_format.h"
#include "jobs/rules_history.h"
#include "protocol/jobs.pb.h"
#include "tasks/coordinator/prefix_watch.h"

namespace camphorsaddle::tasks {

//! \brief Keeps a daemon's copy of the operators' rules fresh.
//!
//! The leader follows the store and tells the others what changed. Another daemon asks the store itself only while it
//! has not heard from a leader that has: a large configuration that each daemon reads in full with every change would
//! fill the links between the regions.
class rules_follower {
public:
    using change_function = std::function<void(const std::shared_ptr<const jobs::deployment_rules>&)>;
    using send_function = std::function<void(const std::string& endpoint, const protocol::CoordinatorEnvelope&)>;

    rules_follower(transport::event_loop& loop, external::key_value_store& store, const jobs::deployment_format& format, change_function changed, send_function send);

    void start();
    void setLeads(bool leads);
    //! \brief Asks the store when that is due.
    void tick(utils::time_point now);

    //! Null before the first rules.
    const std::shared_ptr<const jobs::deployment_rules>& rules() const;
    //! \brief The rules are the newest, or were at this time.
    utils::time_point confirmedAt() const;

    // As a leader.
    void answerHello(const protocol::CarrierHello& hello, utils::time_point now);
    // As another daemon.
    void fillHello(protocol::CarrierHello& hello, utils::time_point now) const;
    void takeUpdate(const protocol::RulesUpdate& update);

private:
    struct known_follower {
        //! What it has, as far as this leader knows.
        external::revision revision = 0;
        utils::time_point heardAt;
    };

    void onValue(const std::string& key, const external::key_value* value);
    void announce();
    void sendUpdate(const std::string& endpoint, known_follower& follower, std::int64_t helloMicros, utils::time_point now);

    const jobs::deployment_format& m_format;
    change_function m_changed;
    send_function m_send;
    jobs::rules_history m_history;
    prefix_watch m_watch;
    bool m_leads = false;
    //! What the leader confirmed.
    utils::time_point m_toldAt;
    utils::time_point m_askedAt;
    std::map<std::string, known_follower> m_followers;
};

} // namespace camphorsaddle::tasks
