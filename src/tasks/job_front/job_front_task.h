#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/route_admission.h"
#include "jobs/rules_index.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "tasks/coordinator/job_daemon_settings.h"
#include "tasks/loop_task.h"
#include "transport/http_server.h"

namespace camphorsaddle::tasks {

//! \brief HTTP front end for callers: passes requests about jobs to the coordinator and sends its replies.
//!
//! Also serves the readiness check and the metrics page.
class job_front_task : public loop_task {
public:
    job_front_task(job_daemon_context& context, job_daemon_settings settings, const deployment_adapter& deployment);
    ~job_front_task() override;

    absl::Status open() override;
    //! \brief Port of the HTTP interface for callers, after open().
    std::uint16_t port() const;

protected:
    void close() override;

private:
    struct open_request;
    //! A request that waits until the rules are confirmed.
    struct waiting_request {
        transport::http_request request;
        transport::http_responder responder;
        utils::time_point arrivedAt;
    };

    void onMessage(const job_front_message& message);
    void setRules(const rules_state& state);
    void onRequest(const transport::http_request& request, const transport::http_responder& responder);
    //! \brief Serves or refuses a request that arrived at \a arrivedAt if the rules are recent enough; otherwise returns false.
    bool decideRequest(const transport::http_request& request, const transport::http_responder& responder, utils::time_point arrivedAt);
    void decideWaitingRequests();
    void serveRequest(const transport::http_request& request, const transport::http_responder& responder, const jobs::queue_rules& queue, utils::milliseconds waited);
    void respond(const open_request& request, const job_reply& reply);
    void rejectRequest(const transport::http_request& request, const transport::http_responder& responder, int status, const std::string& reason);
    void send(const transport::http_responder& responder, int status, std::string body, utils::milliseconds retryAfter);
    void beginShutdown();
    void checkShutdown();
    absl::StatusOr<std::unique_ptr<transport::http_server>> listen(const listen_address& address, transport::http_server::handler handle);

    job_daemon_context& m_context;
    job_daemon_settings m_settings;
    const deployment_adapter& m_deployment;
    std::shared_ptr<transport::request_memory_tracker> m_callerTracker;
    std::unique_ptr<transport::http_server> m_frontServer;
    std::unique_ptr<transport::http_server> m_readinessServer;
    std::unique_ptr<transport::http_server> m_metricsServer;
    std::optional<jobs::rules_index> m_rules;
    rules_state m_rulesState;
    std::vector<waiting_request> m_waitingRequests;
    transport::timer m_confirmationTimer;
    std::map<std::uint64_t, open_request> m_openRequests;
    std::uint64_t m_nextTicket = 1;
    bool m_canServe = false;
    std::optional<utils::time_point> m_shutdownStartedAt;
    utils::time_point m_lastRequestAt;
    transport::timer m_shutdownCheckTimer;
    utils::reason_counters<call_outcome, callOutcomeCount> m_outcomeCounts;
    utils::reason_counters<jobs::route_admission, jobs::routeAdmissionCount> m_admissionCounts;
    utils::distribution& m_replyTimes;
};

} // namespace camphorsaddle::tasks
