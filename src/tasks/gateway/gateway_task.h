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

//! \brief Takes callers' requests and passes each to a minion of its service.
class gateway_task : public task {
public:
    explicit gateway_task(daemon_context& context);
    ~gateway_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    void handle(gateway_message message);
    void answer(transport::http_request request, const transport::http_responder& responder);
    void answerReady(const transport::http_responder& responder);
    void accept(transport::http_request request, const transport::http_responder& responder);
    void onClaim(const key_claim_reply& reply);
    //! Sends the request if a slot is free and none waits before it; else it waits.
    void offer(request_state& state);
    //! Sends waiting requests while slots are free.
    void pump();
    void send(request_state& state, const routing::minion_view& minion);
    void onResult(std::uint64_t number, int attempt, const transport::http_result& result);
    void respond(request_state& state, transport::http_response answer);
    void onAnswer(request_state& state, const transport::http_response& response);
    void onFailure(request_state& state, routing::attempt_failure failure);
    void onDeadline();
    void onRetry();
    void exchangeSlots();
    void refuse(request_state& state, routing::refusal_reason reason);
    void finish(request_state& state, routing::course_step step, routing::refusal_reason reason);
    void forget(request_state& state);
    void reportIfDrained();
    void readHosts();

    std::unique_ptr<transport::http_client> m_client;
    external::http_host_directory m_directory;
    std::unique_ptr<transport::http_server> m_server;
    transport::timer m_hostsTimer;
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
    std::map<std::string, routing::retry_budget> m_budgets;
    std::map<std::uint64_t, request_state> m_requests;
    std::multimap<utils::time_point, std::uint64_t> m_deadlines;
    std::multimap<utils::time_point, std::uint64_t> m_retries;
    std::uint64_t m_nextNumber = 1;
    //! Starts since the last exchange, and their rate while requests wait; 0 when unknown.
    int m_starts = 0;
    double m_startsPerSecond = 0;
    bool m_wasWaiting = false;
    utils::time_point m_exchangedAt;
    bool m_isExchangeHurried = false;
    bool m_isDraining = false;
    bool m_isDrained = false;
};

} // namespace camphorsaddle::tasks
