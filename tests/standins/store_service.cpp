#include <list>
#include <random>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "standins/standin.h"
#include "standins/store.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;
    using transport::http_request;
    using transport::http_responder;
    using transport::http_response;

    constexpr utils::milliseconds leaseCheckInterval { 20 };
    constexpr std::size_t maximumValueBytes = 1 << 20;
    constexpr unsigned connectionLimit = 4096;
    constexpr absl::string_view keyPath = "/v1/kv/";
    constexpr absl::string_view leasePath = "/v1/leases/";

    //! Returns an integer query parameter, 0 if it is missing or malformed.
    std::uint64_t integerParameter(const http_request& request, absl::string_view name)
    {
        std::uint64_t value = 0;
        return absl::SimpleAtoi(request.parameter(name), &value) ? value : 0;
    }

    http_response makeVersionResponse(const store_result& result)
    {
        //! HTTP status codes in the order of store_outcome.
        static constexpr int statuses[] = { 200, 404, 412, 410 };
        return makeJsonResponse(statuses[static_cast<int>(result.outcome)], { { "version", result.version } });
    }

    class store_service final : public standin {
    public:
        store_service(const standin_context& context, std::uint16_t port)
            : m_delays(context.delays)
            , m_server(listenOnLoopback(context.loop, port, connectionLimit, [this](const auto& request, const auto& responder) { handle(request, responder); }))
        {
            expireLeasesPeriodically();
        }

        void setFaults(const json& faults) override
        {
            m_faults.update(faults);
            if (faults.contains("seed"))
                m_random.seed(faults.at("seed").get<std::uint64_t>());
            if (!isUnavailable())
                return;
            for (const auto& watch : m_watches)
                watch.responder.respond(makeErrorResponse(503, "outage"));
            m_watches.clear();
        }

    private:
        struct pending_watch {
            std::string prefix;
            external::revision after = 0;
            utils::time_point deadline;
            http_responder responder;
        };

        bool isUnavailable() const
        {
            return m_faults.value("outage", false);
        }

        void expireLeasesPeriodically()
        {
            m_store.expireLeases(m_delays.now());
            completeWatches();
            m_delays.callAfter(leaseCheckInterval, [this] { expireLeasesPeriodically(); });
        }

        void handle(const http_request& request, const http_responder& responder)
        {
            if (request.path == "/counts")
                return responder.respond(makeJsonResponse(200, m_counts));
            if (request.path == "/faults") {
                setFaults(json::parse(request.body));
                return responder.respond(makeJsonResponse(200));
            }
            if (isUnavailable()) {
                ++m_counts["refused"];
                return send(responder, makeErrorResponse(503, "outage"));
            }
            if (request.path == "/v1/watch")
                return watch(request, responder);
            send(responder, handleStoreCall(request));
            completeWatches();
        }

        http_response handleStoreCall(const http_request& request)
        {
            if (request.path == "/v1/kv" && request.method == "GET")
                return list(request);
            if (absl::StartsWith(request.path, keyPath))
                return handleKey(request, transport::percentDecode(request.path.substr(keyPath.size())));
            if (request.path == "/v1/leases" && request.method == "POST") {
                ++m_counts["grant"];
                const utils::milliseconds duration(integerParameter(request, "ttl_ms"));
                return makeJsonResponse(200, { { "lease", m_store.grantLease(duration, m_delays.now()) } });
            }
            return absl::StartsWith(request.path, leasePath) ? renewOrRevokeLease(request) : makeErrorResponse(404, "no such call");
        }

        http_response handleKey(const http_request& request, const std::string& key)
        {
            if (request.method == "PUT") {
                ++m_counts["write"];
                if (request.body.size() > maximumValueBytes)
                    return makeErrorResponse(413, "value too large");
                return makeVersionResponse(m_store.write({ key, request.body, integerParameter(request, "version"), integerParameter(request, "lease") }));
            }
            if (request.method == "DELETE") {
                ++m_counts["erase"];
                return makeVersionResponse(m_store.erase(key, integerParameter(request, "version")));
            }
            ++m_counts["read"];
            const auto found = m_store.entries().find(key);
            if (found == m_store.entries().end())
                return makeErrorResponse(404, "absent");
            return { 200, { { "version", absl::StrCat(found->second.version) } }, found->second.value };
        }

        http_response list(const http_request& request)
        {
            ++m_counts["list"];
            const auto limit = integerParameter(request, "limit");
            auto found = m_store.list(request.parameter("prefix"), request.parameter("start"), limit == 0 ? 0 : limit + 1);
            const bool hasMore = limit != 0 && found.size() > limit;
            if (hasMore)
                found.pop_back();
            json entries = json::array();
            for (const auto& entry : found)
                entries.push_back({ { "key", entry.key }, { "version", entry.version }, { "value", absl::Base64Escape(entry.value) } });
            return makeJsonResponse(200, { { "revision", m_store.revision() }, { "entries", entries }, { "more", hasMore } });
        }

        http_response renewOrRevokeLease(const http_request& request)
        {
            absl::string_view rest(request.path);
            rest.remove_prefix(leasePath.size());
            const bool isRenewal = absl::ConsumeSuffix(&rest, "/renew");
            external::lease_id lease = 0;
            if (!absl::SimpleAtoi(rest, &lease))
                return makeErrorResponse(400, "malformed lease");
            ++m_counts[isRenewal ? "renew" : "end"];
            const bool succeeded = isRenewal ? m_store.renewLease(lease, m_delays.now()) : m_store.revokeLease(lease);
            return isRenewal && !succeeded ? makeErrorResponse(410, "lease ended") : makeJsonResponse(200);
        }

        void watch(const http_request& request, const http_responder& responder)
        {
            ++m_counts["watch"];
            const auto deadline = m_delays.now() + utils::milliseconds(integerParameter(request, "wait_ms"));
            m_watches.push_back({ request.parameter("prefix"), integerParameter(request, "after"), deadline, responder });
            completeWatches();
        }

        void completeWatches()
        {
            m_watches.remove_if([this](const auto& watch) { return completeWatchIfDue(watch); });
        }

        //! Answers a watch if there are changes, the history no longer reaches back or its deadline has passed. Returns whether
        //! the watch is over.
        bool completeWatchIfDue(const pending_watch& watch)
        {
            if (watch.responder.hasCallerDisconnected())
                return true;
            const auto changes = m_store.changesAfter(watch.prefix, watch.after);
            if (changes && changes->empty() && m_delays.now() < watch.deadline)
                return false;
            json events = json::array();
            for (const auto& change : changes.value_or(std::vector<external::key_change> {}))
                events.push_back({ { "key", change.key }, { "version", change.version }, { "value", absl::Base64Escape(change.value) }, { "deleted", change.deleted } });
            send(watch.responder, changes ? makeJsonResponse(200, { { "revision", m_store.revision() }, { "events", events } }) : makeErrorResponse(410, "history forgotten"));
            return true;
        }

        //! Sends a response, unless a fault loses or delays it.
        void send(const http_responder& responder, http_response response)
        {
            const double lostShare = m_faults.value("lose_answers", 0.0);
            if (lostShare > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < lostShare) {
                ++m_counts["lost_answers"];
                return m_unansweredCalls.add(responder);
            }
            const utils::milliseconds delay(m_faults.value("delay_ms", 0));
            if (delay.count() == 0)
                return responder.respond(std::move(response));
            m_delays.callAfter(delay, [responder, response = std::move(response)] { responder.respond(response); });
        }

        delay_queue& m_delays;
        store m_store;
        std::list<pending_watch> m_watches;
        std::map<std::string, std::uint64_t> m_counts;
        json m_faults = json::object();
        std::mt19937_64 m_random { 1 };
        unanswered_calls m_unansweredCalls;
        std::unique_ptr<transport::http_server> m_server;
    };

} // namespace

std::unique_ptr<standin> makeStoreService(const standin_context& context, std::uint16_t port)
{
    return std::make_unique<store_service>(context, port);
}

} // namespace camphorsaddle::standins
