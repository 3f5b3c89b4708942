#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "external/http_host_directory.h"
#include "routing/request_queue.h"
#include "routing/retry_policy.h"
#include "tasks/gateway/key_claims.h"
#include "tasks/gateway/minion_table.h"
#include "tasks/gateway/request_state.h"
#include "tasks/gateway/slot_exchange.h"
#include "tasks/task.h"

namespace camphorsaddle::tasks {

//! \brief Receives the requests of callers and forwards each to a minion of its service.
class gateway_task : public task {
public:
    explicit gateway_task(daemon_context& context);
    ~gateway_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    void handle(gateway_message message);
    void handleHttpRequest(transport::http_request request, const transport::http_responder& responder);
    void reportReadiness(const transport::http_responder& responder);
    void handleServiceRequest(transport::http_request request, const transport::http_responder& responder);
    void onClaimReply(const key_claim_reply& reply);
    //! Sends the request if a slot is free and no other request of the service waits; otherwise queues it.
    void sendOrQueue(request_state& state);
    //! Sends queued requests while slots are free.
    void sendWaiting();
    void send(request_state& state, const routing::minion_candidate& minion);
    void onAttemptResult(std::uint64_t number, int attempt, const transport::http_result& result);
    //! Sends a minion's response to the caller and ends the request.
    void sendResponse(request_state& state, transport::http_response answer);
    void onResponse(request_state& state, const transport::http_response& response);
    void onFailure(request_state& state, routing::attempt_failure failure);
    void handleExpiredDeadlines();
    void sendRetries();
    //! Sends the slot demands of this gateway to the slot allocators.
    void exchangeSlots();
    void refuse(request_state& state, routing::refusal_reason reason);
    //! Reports to the caller that the request did not run, or that it may have run, and ends the request.
    void endWithoutResponse(request_state& state, routing::request_action action, routing::refusal_reason reason);
    void removeRequest(request_state& state);
    //! Reports the end of the drain when no request is left; otherwise checks again later.
    void reportIfDrained();
    void readHostList();

    std::unique_ptr<transport::http_client> m_client;
    external::http_host_directory m_directory;
    std::unique_ptr<transport::http_server> m_server;
    transport::timer m_hostListTimer;
    transport::timer m_deadlineTimer;
    transport::timer m_retryTimer;
    transport::timer m_exchangeTimer;
    transport::timer m_drainTimer;
    gateway_metrics m_metrics;
    key_claims m_claims;
    routing::random_generator m_random;
    std::shared_ptr<const model::configuration> m_configuration;
    minion_table m_minions;
    slot_exchange m_slots;
    routing::request_queue m_queue;
    routing::concurrency_limits m_limits;
    std::map<std::string, routing::retry_budget> m_retryBudgets;
    std::map<std::uint64_t, request_state> m_requests;
    //! Request numbers by deadline.
    std::multimap<utils::time_point, std::uint64_t> m_deadlines;
    //! Request numbers by the time of their next attempt.
    std::multimap<utils::time_point, std::uint64_t> m_retries;
    std::uint64_t m_nextRequestNumber = 1;
    //! Attempts sent since the last slot exchange.
    int m_startCount = 0;
    //! Moving average of the rate of sent attempts while requests wait; 0 if unknown.
    double m_startsPerSecond = 0;
    //! Whether requests were waiting at the last slot exchange.
    bool m_wasWaiting = false;
    utils::time_point m_exchangedAt;
    bool m_isEarlyExchangeScheduled = false;
    bool m_isDraining = false;
    bool m_isDrained = false;
};

} // namespace camphorsaddle::tasks
