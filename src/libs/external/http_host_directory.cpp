#include "external/http_host_directory.h"

#include "absl/strings/str_cat.h"
#include "external/json_http.h"

namespace camphorsaddle::external {

namespace {

    constexpr absl::string_view step = "read the host list";

    model::host readHost(const nlohmann::json& value)
    {
        model::host host;
        host.id = value.at("id").get<std::string>();
        host.role = value.at("role").get<std::string>() == "minion" ? model::host_role::Minion : model::host_role::Worker;
        host.state = value.value("state", "live") == "leaving" ? model::host_state::Leaving : model::host_state::Live;
        host.url = value.at("url").get<std::string>();
        host.dataCentre = value.at("data_centre").get<std::string>();
        host.rack = value.value("rack", "");
        host.service = value.value("service", "");
        host.slots = value.value("slots", 0);
        host.connections = value.value("connections", 0);
        host.capacity.processors = value.value("processors", std::int64_t { 0 });
        host.capacity.memory = value.value("memory", std::int64_t { 0 });
        host.capacity.accelerators = value.value("accelerators", std::int64_t { 0 });
        return host;
    }

    std::vector<model::host> readHosts(const nlohmann::json& body)
    {
        std::vector<model::host> hosts;
        for (const auto& value : body.at("hosts"))
            hosts.push_back(readHost(value));
        return hosts;
    }

} // namespace

http_host_directory::http_host_directory(transport::http_client& client, std::string url, utils::milliseconds timeout)
    : m_client(client)
    , m_url(std::move(url))
    , m_timeout(timeout)
{
}

void http_host_directory::hosts(std::function<void(absl::StatusOr<std::vector<model::host>>)> callback)
{
    transport::http_call call;
    call.url = absl::StrCat(m_url, "/v1/hosts");
    call.timeout = m_timeout;
    call.connectTimeout = m_timeout;
    m_client.start(std::move(call), [peer = absl::StrCat("host list ", m_url), callback = std::move(callback)](const transport::http_result& result) {
        if (!result.status.ok()) {
            callback(utils::makeError(result.status.code(), step, peer, result.status.message()));
            return;
        }
        if (result.response.status != 200) {
            callback(utils::makeError(absl::StatusCode::kUnknown, step, peer, absl::StrCat("status ", result.response.status)));
            return;
        }
        const auto body = parseBody(result, step, peer);
        if (!body.ok())
            callback(body.status());
        else
            callback(readFields(step, peer, [&] { return readHosts(*body); }));
    });
}

} // namespace camphorsaddle::external
