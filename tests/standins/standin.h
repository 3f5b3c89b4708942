#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "model/host.h"
#include "standins/delay_queue.h"
#include "standins/ledger.h"
#include "transport/http_server.h"

namespace camphorsaddle::standins {

//! \brief One simulated host of the fleet.
struct host_description {
    model::host host;
    std::uint16_t port = 0;
    //! Service of whose replica a worker reports latency and load; empty for none.
    std::string reportedService;
    utils::milliseconds meanServiceTime { 10 };
    //! Distribution of the service times: lognormal if true, otherwise exponential.
    bool isLognormal = true;
    //! Seed of the service times.
    std::uint64_t seed = 1;
};

//! \brief Parses a fleet file and assigns each host a port on the loopback interface. Errors: InvalidArgument.
absl::StatusOr<std::vector<host_description>> parseFleet(absl::string_view text, std::uint16_t firstMinionPort, std::uint16_t firstWorkerPort);

//! \brief Objects that all stand-ins of a process share.
struct standin_context {
    transport::event_loop& loop;
    delay_queue& delays;
    ledger& runLedger;
};

//! \brief An HTTP server that simulates an external system, with configurable faults.
class standin {
public:
    virtual ~standin() = default;
    virtual void setFaults(const nlohmann::json& faults) = 0;
};

//! \brief Listens on the loopback interface. Exceptions of the handler, for instance for a malformed body, are answered
//! with status 400. Ends the program with exit code 1 if the server cannot listen, for instance because the port is in use.
std::unique_ptr<transport::http_server> listenOnLoopback(
    transport::event_loop& loop, std::uint16_t port, unsigned connectionLimit, transport::http_server::handler handle);

transport::http_response makeJsonResponse(int status, const nlohmann::json& body = nlohmann::json::object());

//! \brief Returns an error response; the body holds the reason.
transport::http_response makeErrorResponse(int status, const char* reason);

//! \brief Keeps calls open without ever answering them, until their callers disconnect.
class unanswered_calls {
public:
    void add(transport::http_responder responder);

private:
    std::vector<transport::http_responder> m_calls;
};

//! \brief The key-value service. Faults: outage, delay_ms, lose_answers (share of the responses, 0 to 1), seed.
std::unique_ptr<standin> makeStoreService(const standin_context& context, std::uint16_t port);

//! \brief A minion: a back end of one service with a limited number of slots. Faults: delay_factor, leaving, down,
//! silent (no responses on the connections that are open when it is set).
std::unique_ptr<standin> makeMinion(const standin_context& context, const host_description& description);

//! \brief The agent of one worker, which runs tasks under leases. Faults: down, crash, fail_all, lose_answers, reject,
//! report_lag_ms.
std::unique_ptr<standin> makeWorker(const standin_context& context, const host_description& description);

//! \brief The workers and minions of a fleet, the host list, which follows changes after a delay, and the ledger.
//! Faults: lag_ms (that delay); leave, remove and return, each with a list of hosts; or the faults of one "worker" or
//! "minion".
std::unique_ptr<standin> makeHostDirectory(const standin_context& context, const std::vector<host_description>& fleet, std::uint16_t port);

} // namespace camphorsaddle::standins
