#include <list>
#include <random>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "standins/services.h"
#include "standins/store.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;
    using transport::http_request;
    using transport::http_responder;
    using transport::http_response;

    constexpr utils::milliseconds tickInterval { 20 };
    constexpr std::size_t valueLimit = 1 << 20;
    constexpr unsigned connectionLimit = 4096;
    constexpr absl::string_view keyPath = "/v1/kv/";
    constexpr absl::string_view leasePath = "/v1/leases/";

    std::uint64_t number(const http_request& request, absl::string_view name)
    {
        std::uint64_t value = 0;
        return absl::SimpleAtoi(request.parameter(name), &value) ? value : 0;
    }

    http_response versionAnswer(const store_result& result)
    {
        //! In the order of store_outcome.
        static constexpr int statuses[] = { 200, 404, 412, 410 };
        return jsonAnswer(statuses[static_cast<int>(result.outcome)], { { "version", result.version } });
    }

    class store_service final : public service {
    public:
        store_service(const environment& shared, std::uint16_t port)
            : m_delays(shared.delays)
            , m_server(serve(shared.loop, port, connectionLimit, [this](const auto& request, const auto& responder) { handle(request, responder); }))
        {
            tick();
        }

        void setFaults(const json& faults) override
        {
            m_faults.update(faults);
            if (faults.contains("seed"))
                m_random.seed(faults.at("seed").get<std::uint64_t>());
            if (!isOut())
                return;
            for (const auto& watch : m_watches)
                watch.responder.respond(refusal(503, "outage"));
            m_watches.clear();
        }

    private:
        struct pending_watch {
            std::string prefix;
            external::revision after = 0;
            utils::time_point deadline;
            http_responder responder;
        };

        bool isOut() const
        {
            return m_faults.value("outage", false);
        }

        void tick()
        {
            m_store.expireLeases(m_delays.now());
            answerWatches();
            m_delays.after(tickInterval, [this] { tick(); });
        }

        void handle(const http_request& request, const http_responder& responder)
        {
            if (request.path == "/counts")
                return responder.respond(jsonAnswer(200, m_counts));
            if (request.path == "/faults") {
                setFaults(json::parse(request.body));
                return responder.respond(jsonAnswer(200));
            }
            if (isOut()) {
                ++m_counts["refused"];
                return send(responder, refusal(503, "outage"));
            }
            if (request.path == "/v1/watch")
                return watch(request, responder);
            send(responder, answer(request));
            answerWatches();
        }

        http_response answer(const http_request& request)
        {
            if (request.path == "/v1/kv" && request.method == "GET")
                return list(request);
            if (absl::StartsWith(request.path, keyPath))
                return answerKey(request, transport::percentDecode(request.path.substr(keyPath.size())));
            if (request.path == "/v1/leases" && request.method == "POST") {
                ++m_counts["grant"];
                const utils::milliseconds term(number(request, "ttl_ms"));
                return jsonAnswer(200, { { "lease", m_store.grantLease(term, m_delays.now()) } });
            }
            return absl::StartsWith(request.path, leasePath) ? changeLease(request) : refusal(404, "no such call");
        }

        http_response answerKey(const http_request& request, const std::string& key)
        {
            if (request.method == "PUT") {
                ++m_counts["write"];
                if (request.body.size() > valueLimit)
                    return refusal(413, "value too large");
                return versionAnswer(m_store.write({ key, request.body, number(request, "version"), number(request, "lease") }));
            }
            if (request.method == "DELETE") {
                ++m_counts["erase"];
                return versionAnswer(m_store.erase(key, number(request, "version")));
            }
            ++m_counts["read"];
            const auto found = m_store.entries().find(key);
            if (found == m_store.entries().end())
                return refusal(404, "absent");
            return { 200, { { "version", absl::StrCat(found->second.version) } }, found->second.value };
        }

        http_response list(const http_request& request)
        {
            ++m_counts["list"];
            const auto limit = number(request, "limit");
            auto found = m_store.list(request.parameter("prefix"), request.parameter("start"), limit == 0 ? 0 : limit + 1);
            const bool hasMore = limit != 0 && found.size() > limit;
            if (hasMore)
                found.pop_back();
            json entries = json::array();
            for (const auto& entry : found)
                entries.push_back({ { "key", entry.key }, { "version", entry.version }, { "value", absl::Base64Escape(entry.value) } });
            return jsonAnswer(200, { { "revision", m_store.revision() }, { "entries", entries }, { "more", hasMore } });
        }

        http_response changeLease(const http_request& request)
        {
            absl::string_view rest(request.path);
            rest.remove_prefix(leasePath.size());
            const bool isRenewal = absl::ConsumeSuffix(&rest, "/renew");
            external::lease_id lease = 0;
            if (!absl::SimpleAtoi(rest, &lease))
                return refusal(400, "malformed lease");
            ++m_counts[isRenewal ? "renew" : "end"];
            const bool isDone = isRenewal ? m_store.renewLease(lease, m_delays.now()) : m_store.revokeLease(lease);
            return isRenewal && !isDone ? refusal(410, "lease ended") : jsonAnswer(200);
        }

        void watch(const http_request& request, const http_responder& responder)
        {
            ++m_counts["watch"];
            const auto deadline = m_delays.now() + utils::milliseconds(number(request, "wait_ms"));
            m_watches.push_back({ request.parameter("prefix"), number(request, "after"), deadline, responder });
            answerWatches();
        }

        void answerWatches()
        {
            m_watches.remove_if([this](const auto& watch) { return answerWatch(watch); });
        }

        bool answerWatch(const pending_watch& watch)
        {
            if (watch.responder.isAbandoned())
                return true;
            const auto changes = m_store.changesAfter(watch.prefix, watch.after);
            if (changes && changes->empty() && m_delays.now() < watch.deadline)
                return false;
            json events = json::array();
            for (const auto& change : changes.value_or(std::vector<external::key_change> {}))
                events.push_back({ { "key", change.key }, { "version", change.version }, { "value", absl::Base64Escape(change.value) }, { "deleted", change.deleted } });
            send(watch.responder, changes ? jsonAnswer(200, { { "revision", m_store.revision() }, { "events", events } }) : refusal(410, "history forgotten"));
            return true;
        }

        void send(const http_responder& responder, http_response response)
        {
            const double lostShare = m_faults.value("lose_answers", 0.0);
            if (lostShare > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < lostShare) {
                ++m_counts["lost_answers"];
                return m_lost.hold(responder);
            }
            const utils::milliseconds delay(m_faults.value("delay_ms", 0));
            if (delay.count() == 0)
                return responder.respond(std::move(response));
            m_delays.after(delay, [responder, response = std::move(response)] { responder.respond(response); });
        }

        delay_queue& m_delays;
        store m_store;
        std::list<pending_watch> m_watches;
        std::map<std::string, std::uint64_t> m_counts;
        json m_faults = json::object();
        std::mt19937_64 m_random { 1 };
        unanswered_calls m_lost;
        std::unique_ptr<transport::http_server> m_server;
    };

} // namespace

std::unique_ptr<service> makeStore(const environment& shared, std::uint16_t port)
{
    return std::make_unique<store_service>(shared, port);
}

} // namespace camphorsaddle::standins
