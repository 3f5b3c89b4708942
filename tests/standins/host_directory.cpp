#include "standins/standin.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;
    using transport::http_request;
    using transport::http_responder;

    constexpr unsigned connectionLimit = 256;

    //! A change of the host list that a test can request.
    struct host_list_change {
        //! Key of the change in a faults document.
        const char* name;
        //! State that the list shows afterwards.
        const char* state;
        //! Faults that are set in the host at once.
        json faults;
    };

    json toJson(const model::host& host)
    {
        return { { "id", host.id }, { "role", host.role == model::host_role::Worker ? "worker" : "minion" }, { "state", "live" },
            { "url", host.url }, { "data_centre", host.dataCentre }, { "rack", host.rack }, { "service", host.service }, { "slots", host.slots },
            { "connections", host.connections }, { "processors", host.capacity.processors }, { "memory", host.capacity.memory },
            { "accelerators", host.capacity.accelerators } };
    }

    class host_directory final : public standin {
    public:
        host_directory(const standin_context& context, const std::vector<host_description>& fleet, std::uint16_t port)
            : m_context(context)
            , m_server(listenOnLoopback(context.loop, port, connectionLimit, [this](const auto& request, const auto& responder) { handle(request, responder); }))
        {
            for (const auto& entry : fleet) {
                m_listedHosts[entry.host.id] = toJson(entry.host);
                m_standins[entry.host.id] = entry.host.role == model::host_role::Worker ? makeWorker(context, entry) : makeMinion(context, entry);
            }
        }

        void setFaults(const json& faults) override
        {
            static const host_list_change changes[] = { { "leave", "leaving", { { "leaving", true } } },
                { "remove", "removed", { { "down", true }, { "crash", true } } }, { "return", "live", { { "leaving", false }, { "down", false } } } };
            m_listDelay = utils::milliseconds(faults.value("lag_ms", m_listDelay.count()));
            for (const auto& change : changes) {
                for (const std::string id : faults.value(change.name, json::array())) {
                    m_standins.at(id)->setFaults(change.faults);
                    m_context.delays.callAfter(m_listDelay, [this, id, state = change.state] { m_listedHosts.at(id)["state"] = state; });
                }
            }
        }

    private:
        void handle(const http_request& request, const http_responder& responder)
        {
            if (request.path == "/v1/hosts")
                return responder.respond(makeJsonResponse(200, { { "hosts", hostList() } }));
            if (request.path == "/ledger")
                return responder.respond(makeJsonResponse(200, request.parameter("details") == "true" ? m_context.runLedger.details() : m_context.runLedger.summary()));
            if (request.path != "/faults")
                return responder.respond(makeErrorResponse(404, "no such call"));
            const auto faults = json::parse(request.body);
            const std::string name = faults.value("worker", faults.value("minion", ""));
            if (name.empty())
                setFaults(faults);
            else
                m_standins.at(name)->setFaults(faults);
            responder.respond(makeJsonResponse(200));
        }

        json hostList() const
        {
            json hosts = json::array();
            for (const auto& [id, host] : m_listedHosts) {
                if (host.at("state") != "removed")
                    hosts.push_back(host);
            }
            return hosts;
        }

        standin_context m_context;
        utils::milliseconds m_listDelay { 2000 };
        //! The entries of the host list by host id; they follow changes after m_listDelay.
        std::map<std::string, json> m_listedHosts;
        std::map<std::string, std::unique_ptr<standin>> m_standins;
        std::unique_ptr<transport::http_server> m_server;
    };

} // namespace

std::unique_ptr<standin> makeHostDirectory(const standin_context& context, const std::vector<host_description>& fleet, std::uint16_t port)
{
    return std::make_unique<host_directory>(context, fleet, port);
}

} // namespace camphorsaddle::standins
