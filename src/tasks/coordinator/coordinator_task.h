#pragma once

#include <map>
#include <memory>
#include <string>

#include "protocol/jobs.pb.h"
#include "tasks/coordinator/admission_gate.h"
#include "tasks/coordinator/backfill_metrics.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "tasks/coordinator/daemon_reach.h"
#include "tasks/coordinator/evacuation_report.h"
#include "tasks/coordinator/forwarded_calls.h"
#include "tasks/coordinator/job_daemon_settings.h"
#include "tasks/coordinator/lateness_report.h"
#include "tasks/coordinator/lead_transfer.h"
#include "tasks/coordinator/leader_term.h"
#include "tasks/coordinator/leaderless_call_handler.h"
#include "tasks/coordinator/open_submissions.h"
#include "tasks/coordinator/peer_traffic_report.h"
#include "tasks/coordinator/relayed_run_control.h"
#include "tasks/coordinator/rules_follower.h"
#include "tasks/loop_task.h"
#include "transport/mailbox.h"

namespace camphorsaddle::tasks {

//! \brief Takes part in the leader election and replies to callers' calls.
//!
//! Calls go to the own leader term if this daemon leads, else to the leader, or to the store when no leader replies.
class coordinator_task : public loop_task {
public:
    coordinator_task(job_daemon_context& context, job_daemon_settings settings, const deployment_adapter& deployment);
    ~coordinator_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    void onMessage(const coordinator_message& message);
    void onPeerMessage(zmq::message_t raw);
    void onLeadershipChanged();
    //! \brief Sends the state of the rules to the front end if it has changed.
    void postRulesState();
    void onRulesChanged(const std::shared_ptr<const jobs::deployment_rules>& rules);
    void handleCall(const job_call& call);
    void passOn(const job_call& call);
    bool isCutOff(utils::time_point now) const;
    //! \brief Refuses a call that this daemon can do nothing for; returns false if it may have had an effect before.
    bool refuseWhileCutOff(const job_call& call, utils::time_point now);
    //! \brief Refuses a submission if there is no memory to handle it; returns false if there is.
    bool refuseForMemory(const job_call& call, utils::time_point now);
    void forwardToLeader(const job_call& call);
    //! \brief Handles the call with the store alone; \a mayBeStored: the leader may have stored it or may still do so.
    void handleWithoutLeader(job_call call, bool mayBeStored);
    void postReply(const job_reply& reply);
    void onPeerCall(const protocol::CoordinatorCall& message);
    void onPeerReply(const protocol::CoordinatorReply& message);
    void onTick();
    void onHello(const protocol::CarrierHello& hello, utils::time_point now);
    //! \brief Hands the lead over if a daemon follows that can carry it better.
    void reviewLead(utils::time_point now);
    void sendHello(utils::time_point now);
    void onLeaderNotice(const protocol::LeaderNotice& notice);
    //! \brief Asks the former leaders whether they have ended.
    void sendLeaderNotices(utils::time_point now);
    void send(const std::string& endpoint, const protocol::CoordinatorEnvelope& envelope);

    job_daemon_context& m_context;
    job_daemon_settings m_settings;
    const deployment_adapter& m_deployment;
    std::unique_ptr<transport::http_client> m_httpClient;
    std::unique_ptr<external::transactional_store> m_store;
    std::unique_ptr<external::run_control> m_runControl;
    relayed_order_counters m_orderCounters;
    lateness_report m_latenessReport;
    peer_traffic_report m_peerTraffic;
    evacuation_report m_evacuationReport;
    backfill_metrics m_backfillMetrics;
    //! Memory of all jobs, on the leader.
    utils::gauge& m_jobMemoryGauge;
    std::unique_ptr<relayed_run_control> m_relayedControl;
    std::unique_ptr<order_relay> m_orderRelay;
    std::unique_ptr<leader_election> m_election;
    std::unique_ptr<rules_follower> m_rulesFollower;
    std::unique_ptr<leaderless_call_handler> m_leaderlessCalls;
    std::unique_ptr<admission_gate> m_admissionGate;
    std::unique_ptr<transport::message_receiver> m_peerReceiver;
    std::map<std::string, std::unique_ptr<transport::message_sender>> m_peerSenders;
    std::shared_ptr<leader_term> m_term;
    lead_transfer m_leadTransfer;
    bool m_isHandingOver = false;
    transport::timer m_tickTimer;
    forwarded_calls m_forwardedCalls;
    open_submissions m_openSubmissions;
    utils::time_point m_lastHelloSentAt;
    //! Term of the leader that the last hello was sent to.
    std::uint64_t m_lastHelloTerm = 0;
    utils::time_point m_lastNoticeSentAt;
    //! When a message arrived last that only a leader sends.
    utils::time_point m_leaderHeardAt;
    rules_state m_postedRulesState;
    bool m_canServe = false;
    bool m_isShuttingDown = false;
};

} // namespace camphorsaddle::tasks
