#pragma once

#include <map>
#include <memory>
#include <string>

#include "protocol/jobs.pb.h"
#include "tasks/coordinator/carried_runs.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "tasks/coordinator/job_daemon_settings.h"
#include "tasks/coordinator/leader_term.h"
#include "tasks/coordinator/rules_follower.h"
#include "tasks/coordinator/store_calls.h"
#include "tasks/loop_task.h"
#include "transport/mailbox.h"

namespace camphorsaddle::tasks {

//! \brief Takes part in the choice of the leader, leads, and settles the calls of callers: by its own term, by the
//! leader, or by the store where no leader answers.
class coordinator_task : public loop_task {
public:
    coordinator_task(job_daemon_context& context, job_daemon_settings settings, const deployment& format);
    ~coordinator_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    struct remote_call;

    void onMessage(const coordinator_message& message);
    void onPeer(zmq::message_t raw);
    void onLeadChanged();
    void onRules(const std::shared_ptr<const jobs::deployment_rules>& rules);
    void settle(const job_call& call);
    void forward(const job_call& call);
    //! \a mayBeStored tells that the leader may have stored or may still store it.
    void askStore(job_call call, bool mayBeStored);
    void finish(const job_reply& reply);
    void onCall(const protocol::CoordinatorCall& message);
    void onReply(const protocol::CoordinatorReply& message);
    void onTick();
    void sayHello(utils::time_point now);
    void send(const std::string& endpoint, const protocol::CoordinatorEnvelope& envelope);

    job_daemon_context& m_context;
    job_daemon_settings m_settings;
    const deployment& m_format;
    std::unique_ptr<transport::http_client> m_client;
    std::unique_ptr<external::transactional_store> m_store;
    std::unique_ptr<external::run_control> m_control;
    std::unique_ptr<carried_runs> m_carriedRuns;
    std::unique_ptr<order_carrier> m_carrier;
    std::unique_ptr<leadership> m_lead;
    std::unique_ptr<rules_follower> m_rules;
    std::unique_ptr<store_calls> m_storeCalls;
    std::unique_ptr<transport::message_receiver> m_peers;
    std::map<std::string, std::unique_ptr<transport::message_sender>> m_senders;
    std::shared_ptr<leader_term> m_term;
    transport::timer m_tick;
    std::map<std::uint64_t, remote_call> m_remote;
    std::uint64_t m_nextTicket = 1;
    utils::time_point m_saidHelloAt;
    bool m_canServe = false;
    bool m_isStopping = false;
};

} // namespace camphorsaddle::tasks
