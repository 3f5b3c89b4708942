#include "app/administration_client.h"

#include <cstdlib>
#include <iostream>
#include <optional>

#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::app {

namespace {

    constexpr utils::milliseconds responseTimeout { 15000 };
    constexpr utils::milliseconds connectTimeout { 2000 };

} // namespace

absl::StatusOr<transport::http_response> callAdministration(const std::string& url, transport::http_call call)
{
    transport::event_loop loop;
    const auto client = transport::http_client::create(loop);
    if (const char* token = std::getenv("CAMPHORSADDLE_TOKEN"); token != nullptr && *token != '\0')
        call.headers["Authorization"] = absl::StrCat("Bearer ", token);
    call.url = absl::StrCat(url, call.url);
    call.timeout = responseTimeout;
    call.connectTimeout = connectTimeout;
    std::optional<transport::http_result> result;
    client->start(std::move(call), [&](transport::http_result received) {
        result = std::move(received);
        loop.stop();
    });
    loop.run();
    if (!result->status.ok())
        return result->status;
    return std::move(result->response);
}

nlohmann::json parseBody(const transport::http_response& response)
{
    auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_discarded() ? nlohmann::json() : body;
}

void printErrorResponse(const transport::http_response& response)
{
    const auto body = parseBody(response);
    if (!body.is_object() || !body.contains("error")) {
        std::cerr << "status " << response.status << ": " << response.body << "\n";
        return;
    }
    const auto& error = body["error"];
    for (const auto* part : { "step", "peer", "message" })
        std::cerr << error.value(part, "") << (std::string(part) == "message" ? "\n" : ": ");
    for (const auto& entry : body.value("errors", nlohmann::json::array()))
        std::cerr << "  " << entry.value("file", "") << ": " << entry.value("key", "") << " = " << entry.value("value", "") << ": " << entry.value("message", "") << "\n";
}

} // namespace camphorsaddle::app
