#include <cmath>
#include <random>

#include "absl/strings/str_cat.h"
#include "standins/standin.h"
#include "utils/hashing.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;
    using transport::http_request;
    using transport::http_responder;
    using transport::http_response;

    constexpr double lognormalSigma = 0.5;
    //! Doubles the connection limit: silenced connections stay open in addition to the new ones.
    constexpr unsigned connectionLimitFactor = 2;
    constexpr const char* requestHeader = "camphorsaddle-request";
    constexpr const char* attemptHeader = "camphorsaddle-attempt";

    //! Copies the request and attempt headers of the request to the response.
    http_response withRequestIds(const http_request& request, http_response response)
    {
        response.headers[requestHeader] = request.header(requestHeader);
        response.headers[attemptHeader] = request.header(attemptHeader);
        return response;
    }

    class minion final : public standin {
    public:
        minion(const standin_context& context, const host_description& description)
            : m_context(context)
            , m_description(description)
            , m_random(description.seed)
            , m_server(listenOnLoopback(context.loop, description.port, connectionLimitFactor * static_cast<unsigned>(description.host.connections),
                  [this](const auto& request, const auto& responder) { handle(request, responder); }))
        {
        }

        void setFaults(const json& faults) override
        {
            m_faults.update(faults);
            if (faults.value("silent", false))
                m_silencedPeers.merge(m_peers);
        }

    private:
        bool isSilencedFor(const http_request& request) const
        {
            return m_faults.value("down", false) || m_silencedPeers.contains(request.peer);
        }

        void handle(const http_request& request, const http_responder& responder)
        {
            m_peers.insert(request.peer);
            if (isSilencedFor(request))
                return m_unansweredCalls.add(responder);
            if (request.path == "/health")
                return responder.respond(makeJsonResponse(200));
            if (m_faults.value("leaving", false))
                return responder.respond(withRequestIds(request, { 503, { { "camphorsaddle-not-run", "leaving" } }, "" }));
            if (m_runningRequests >= m_description.host.slots) {
                m_context.runLedger.addViolation("over slots", m_description.host.id, m_context.delays.now());
                return responder.respond(withRequestIds(request, { 503, { { "camphorsaddle-not-run", "full" } }, "" }));
            }
            ++m_runningRequests;
            const auto runIndex = m_context.runLedger.startRequest(
                { request.header(requestHeader), request.header(attemptHeader), m_description.host.id, request.path }, m_context.delays.now());
            m_context.delays.callAfter(drawServiceTime(), [this, runIndex, request, responder] { completeRequest(runIndex, request, responder); });
        }

        void completeRequest(std::size_t runIndex, const http_request& request, const http_responder& responder)
        {
            --m_runningRequests;
            m_context.runLedger.finishRequest(runIndex, m_context.delays.now());
            if (isSilencedFor(request))
                return m_unansweredCalls.add(responder);
            const json body { { "request", request.header(requestHeader) }, { "path", request.path }, { "minion", m_description.host.id },
                { "body_hash", absl::StrCat(absl::Hex(utils::stableHash(request.body))) } };
            responder.respond(withRequestIds(request, makeJsonResponse(200, body)));
        }

        utils::milliseconds drawServiceTime()
        {
            const auto mean = static_cast<double>(m_description.meanServiceTime.count());
            const double logMean = std::log(mean) - lognormalSigma * lognormalSigma / 2;
            const double drawn = m_description.isLognormal ? std::lognormal_distribution<>(logMean, lognormalSigma)(m_random)
                                                           : std::exponential_distribution<>(1 / mean)(m_random);
            return utils::milliseconds(std::lround(drawn * m_faults.value("delay_factor", 1.0)));
        }

        standin_context m_context;
        host_description m_description;
        std::mt19937_64 m_random;
        int m_runningRequests = 0;
        json m_faults = json::object();
        std::set<std::string> m_peers;
        std::set<std::string> m_silencedPeers;
        unanswered_calls m_unansweredCalls;
        std::unique_ptr<transport::http_server> m_server;
    };

} // namespace

std::unique_ptr<standin> makeMinion(const standin_context& context, const host_description& description)
{
    return std::make_unique<minion>(context, description);
}

} // namespace camphorsaddle::standins
