#include "external/http_host_directory.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "external/json_http.h"
#include "external/limits.h"
#include "utils/events.h"

namespace camphorsaddle::external {

namespace {

    constexpr absl::string_view step = "read the host list";
    constexpr absl::string_view scheme = "http://";
    constexpr std::uint32_t highestPort = 65'535;

    //! Whether the text \a name of \a value is \a second instead of \a first; no other text is allowed.
    bool isSecondOf(const nlohmann::json& value, const char* name, const std::string& first, const std::string& second, const std::string& missing)
    {
        const auto text = input::textField(value, name, limits::name, missing);
        if (text != first && text != second)
            throw input::input_error(absl::StrCat(name, " is \"", input::printableText(text), "\" instead of ", first, " or ", second));
        return text == second;
    }

    std::string readUrl(const nlohmann::json& value)
    {
        auto url = input::textField(value, "url", limits::url);
        const absl::string_view authority = absl::string_view(url).substr(0, url.find('/', scheme.size()));
        const auto colon = authority.rfind(':');
        std::uint32_t port = 0;
        const bool hasPort = absl::StartsWith(url, scheme) && colon > scheme.size() && absl::SimpleAtoi(authority.substr(colon + 1), &port) && port > 0 && port <= highestPort;
        if (!hasPort || !std::ranges::all_of(url, [](unsigned char character) { return absl::ascii_isgraph(character); }))
            throw input::input_error(absl::StrCat("url is \"", input::printableText(url), "\" instead of http://HOST:PORT with a port from 1 to ", highestPort));
        return url;
    }

    model::host readHost(const nlohmann::json& value)
    {
        model::host host;
        host.id = input::textField(value, "id", limits::name);
        input::requireField(value, "role");
        host.role = isSecondOf(value, "role", "worker", "minion", {}) ? model::host_role::Minion : model::host_role::Worker;
        host.state = isSecondOf(value, "state", "live", "leaving", "live") ? model::host_state::Leaving : model::host_state::Live;
        host.url = readUrl(value);
        host.dataCentre = input::textField(value, "data_centre", limits::name);
        host.rack = input::textField(value, "rack", limits::name, {});
        host.service = input::textField(value, "service", limits::name, {});
        host.slots = static_cast<int>(input::wholeField(value, "slots", limits::slots, 0));
        host.connections = static_cast<int>(input::wholeField(value, "connections", limits::slots, 0));
        host.capacity.processors = input::wholeField(value, "processors", limits::processors, 0);
        host.capacity.memory = input::wholeField(value, "memory", limits::memory, 0);
        host.capacity.accelerators = input::wholeField(value, "accelerators", limits::accelerators, 0);
        return host;
    }

    //! Hosts that can't be read are left out and logged; the others hold.
    std::vector<model::host> readHosts(const nlohmann::json& body, const std::string& peer)
    {
        std::vector<model::host> hosts;
        std::size_t unreadableCount = 0;
        absl::Status firstError;
        for (const auto& value : input::readList(input::requireField(body, "hosts"), "hosts", limits::rowsPerList)) {
            auto host = readFields(step, peer, [&] { return readHost(value); });
            if (host.ok())
                hosts.push_back(*std::move(host));
            else if (unreadableCount++ == 0)
                firstError = host.status();
        }
        if (unreadableCount > 0)
            utils::logEvent(utils::events::peerAnswerUnreadable, { { "step", std::string(step) }, { "peer", peer }, { "hosts", std::to_string(unreadableCount) }, { "error", utils::describe(firstError) } });
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
            callback(readFields(step, peer, [&] { return readHosts(*body, peer); }));
    });
}

} // namespace camphorsaddle::external
