#include "standins/standin.h"

#include <cstdlib>
#include <iostream>

#include "utils/errors.h"

namespace camphorsaddle::standins {

std::unique_ptr<transport::http_server> listenOnLoopback(
    transport::event_loop& loop, std::uint16_t port, unsigned connectionLimit, transport::http_server::handler handle)
{
    transport::http_server_options options;
    options.port = port;
    options.bodyLimit = 8 << 20;
    options.connectionLimit = connectionLimit;
    auto guarded = [handle = std::move(handle)](transport::http_request request, const transport::http_responder& responder) {
        try {
            handle(std::move(request), responder);
        } catch (const std::exception& error) {
            responder.respond(makeErrorResponse(400, error.what()));
        }
    };
    auto server = transport::http_server::listen(loop, options, guarded);
    if (!server.ok()) {
        std::cerr << "standins: " << utils::describe(server.status()) << "\n";
        std::exit(1);
    }
    return std::move(*server);
}

transport::http_response makeJsonResponse(int status, const nlohmann::json& body)
{
    return transport::jsonResponse(status, body.dump());
}

transport::http_response makeErrorResponse(int status, const char* reason)
{
    return makeJsonResponse(status, { { "reason", reason } });
}

void unanswered_calls::add(transport::http_responder responder)
{
    std::erase_if(m_calls, [](const auto& call) { return call.hasCallerDisconnected(); });
    m_calls.push_back(std::move(responder));
}

} // namespace camphorsaddle::standins
