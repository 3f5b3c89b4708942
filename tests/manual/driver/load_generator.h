#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "standins/delay_queue.h"
#include "transport/http_client.h"

namespace camphorsaddle::standins {

struct load_options {
    //! Base URLs of the gateways, or of minions if callsMinionsDirectly is set.
    std::vector<std::string> targetUrls;
    std::string service;
    //! Prefix of the request tokens; distinguishes the requests of this run from those of other runs on the same fleet.
    std::string tokenPrefix = "r";
    int requestCount = 300;
    //! 0 sends as fast as maximumConcurrency allows.
    double requestsPerSecond = 0;
    //! Maximum number of requests in flight.
    int maximumConcurrency = 16;
    bool isRepeatable = true;
    bool callsMinionsDirectly = false;
    //! Deadline of each attempt, relative to its start.
    utils::milliseconds deadline { 2000 };
    //! Time after which the caller no longer retries a request that is repeatable or certainly did not run.
    utils::milliseconds retryTimeout { 20000 };
};

//! \brief The outcome of one request as its caller observed it.
struct request_outcome {
    //! Identifies the request in its URL path and in the ledger.
    std::string token;
    bool isRepeatable = true;
    //! Complete responses that belong to this request.
    int responses = 0;
    //! Responses that are incomplete or belong to another request.
    int mismatchedResponses = 0;
    //! Whether the request ended without a response, so that the caller does not know whether it ran.
    bool isUnknown = false;
    int attempts = 0;
    double latencyMilliseconds = 0;
};

//! \brief Sends requests to the gateways in round-robin order, as the platform's load balancer does, and checks each response.
class load_generator {
public:
    load_generator(transport::event_loop& loop, load_options options);

    //! \brief Sends all requests and runs the event loop until each of them has ended.
    const std::vector<request_outcome>& run();

    //! \brief Time from the first request to the end of the last one so far.
    utils::milliseconds duration() const;

private:
    void startNextRequest();
    void startDueRequests();
    void send(std::size_t index);
    void handleResult(std::size_t index, const std::string& body, const transport::http_result& result);
    bool canRetry(const request_outcome& outcome, const transport::http_result& result) const;
    void completeRequest(std::size_t index);
    transport::http_call makeCall(std::size_t index, const std::string& body);

    transport::event_loop& m_loop;
    load_options m_options;
    delay_queue m_delays;
    std::unique_ptr<transport::http_client> m_client;
    std::vector<request_outcome> m_outcomes;
    std::vector<utils::time_point> m_startTimes;
    std::size_t m_nextRequest = 0;
    std::size_t m_completedCount = 0;
    std::size_t m_nextTarget = 0;
    int m_inFlightCount = 0;
    utils::time_point m_startTime;
    utils::time_point m_endTime;
};

} // namespace camphorsaddle::standins
