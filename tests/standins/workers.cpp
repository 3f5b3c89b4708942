#include <deque>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "standins/standin.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;
    using transport::http_request;
    using transport::http_responder;
    using transport::http_response;
    using utils::milliseconds;

    constexpr milliseconds updateInterval { 50 };
    constexpr milliseconds failureDelay { 20 };
    constexpr unsigned connectionLimit = 256;
    constexpr double idleLatencyMilliseconds = 10;
    constexpr absl::string_view progressPrefix = "progress:";

    //! Task name and attempt number.
    using attempt_id = std::pair<std::string, std::uint32_t>;

    //! An attempt that runs on the worker, or has ended and has not been acknowledged by the daemon.
    struct attempt {
        std::uint64_t epoch = 0;
        std::string shard;
        model::resources taskResources;
        //! Work done by earlier attempts, taken from the checkpoint.
        milliseconds workBeforeStart { 0 };
        utils::time_point started;
        utils::time_point leaseEnd;
        std::string checkpoint;
        std::string state = "running";
        //! Why a failed attempt ended.
        std::string cause;

        bool isRunning() const
        {
            return state == "running";
        }
    };

    //! Returns the work that a checkpoint stands for, 0 for any other text.
    milliseconds parseProgress(absl::string_view checkpoint)
    {
        std::int64_t value = 0;
        const bool isProgress = absl::ConsumePrefix(&checkpoint, progressPrefix) && absl::SimpleAtoi(checkpoint, &value);
        return milliseconds(isProgress ? value : 0);
    }

    milliseconds durationField(const json& command, const char* key)
    {
        return milliseconds(command.at(key).get<std::int64_t>());
    }

    json toJson(const attempt_id& id, const attempt& run)
    {
        return { { "task", id.first }, { "attempt", id.second }, { "epoch", run.epoch }, { "state", run.state }, { "checkpoint", run.checkpoint },
            { "usage", { { "processors", run.taskResources.processors }, { "memory", run.taskResources.memory } } }, { "cause", run.cause } };
    }

    class worker final : public standin {
    public:
        worker(const standin_context& context, const host_description& description)
            : m_delays(context.delays)
            , m_runLedger(context.runLedger)
            , m_description(description)
            , m_server(listenOnLoopback(context.loop, description.port, connectionLimit, [this](const auto& request, const auto& responder) { handle(request, responder); }))
        {
            updatePeriodically();
        }

        void setFaults(const json& faults) override
        {
            m_faults.update(faults);
            if (!faults.value("crash", false))
                return;
            for (const auto& [id, run] : m_attempts) {
                if (run.isRunning())
                    m_runLedger.endTask(workerId(), id.first, id.second, run_outcome::Crashed, m_delays.now());
            }
            m_attempts.clear();
        }

    private:
        bool hasFault(const char* fault) const
        {
            return m_faults.value(fault, false);
        }

        const std::string& workerId() const
        {
            return m_description.host.id;
        }

        void handle(const http_request& request, const http_responder& responder)
        {
            if (hasFault("down"))
                return m_unansweredCalls.add(responder);
            auto response = answer(request);
            if (hasFault("lose_answers"))
                return m_unansweredCalls.add(responder);
            responder.respond(std::move(response));
        }

        http_response answer(const http_request& request)
        {
            if (request.path == "/v1/inventory")
                return makeJsonResponse(200, inventory());
            const auto body = json::parse(request.body);
            if (request.path == "/v1/tasks" && request.method == "POST")
                return start(body);
            if (request.path == "/v1/renew")
                return renew(body);
            const std::vector<std::string> parts = absl::StrSplit(request.path, '/');
            if (parts.size() != 5 || !absl::StartsWith(request.path, "/v1/tasks/"))
                return makeErrorResponse(404, "no such call");
            return handleTaskAction({ transport::percentDecode(parts[3]), body.at("attempt") }, parts.back(), body);
        }

        //! Stores the epoch of a shard's owner; returns false if the command has an older epoch than one seen before.
        bool acceptEpoch(const json& command)
        {
            auto& latestEpoch = m_latestEpochs[command.at("shard")];
            const std::uint64_t epoch = command.at("epoch");
            latestEpoch = std::max(latestEpoch, epoch);
            return epoch == latestEpoch;
        }

        http_response start(const json& command)
        {
            const attempt_id id { command.at("task"), command.at("attempt") };
            if (!acceptEpoch(command))
                return makeErrorResponse(409, "older_epoch");
            if (m_attempts.contains(id))
                return makeJsonResponse(200);
            if (id.second < m_minimumAttempts[id.first])
                return makeErrorResponse(409, "older_attempt");
            if (hasFault("reject"))
                return makeErrorResponse(409, "capacity");

            const auto& size = command.at("size");
            attempt run { command.at("epoch"), command.at("shard"),
                { size.value("processors", std::int64_t { 0 }), size.value("memory", std::int64_t { 0 }), size.value("accelerators", std::int64_t { 0 }) } };
            run.checkpoint = command.value("checkpoint", "");
            run.workBeforeStart = parseProgress(run.checkpoint);
            run.started = m_delays.now();
            run.leaseEnd = run.started + durationField(command, "lease_ms");
            if (!checkCapacity(run.taskResources))
                return makeErrorResponse(409, "capacity");
            m_runLedger.startTask({ workerId(), id.first, id.second, run.epoch, run.checkpoint }, run.started);
            m_lastStartedAttempts[id.first] = id.second;
            m_minimumAttempts[id.first] = id.second + 1;
            const auto outcome = hasFault("fail_all") ? run_outcome::Failed : run_outcome::Finished;
            const auto remainingTime = outcome == run_outcome::Failed ? failureDelay : std::max(durationField(command, "run_ms") - run.workBeforeStart, milliseconds(0));
            m_delays.callAfter(remainingTime, [this, id, outcome] { endAttempt(id, outcome); });
            m_attempts[id] = std::move(run);
            return makeJsonResponse(200);
        }

        void endAttempt(const attempt_id& id, run_outcome outcome)
        {
            const auto found = m_attempts.find(id);
            if (found == m_attempts.end() || !found->second.isRunning())
                return;
            m_runLedger.endTask(workerId(), id.first, id.second, outcome, m_delays.now());
            if (outcome == run_outcome::Stopped) {
                m_attempts.erase(found);
                return;
            }
            found->second.state = outcome == run_outcome::Finished ? "finished" : "failed";
            if (outcome != run_outcome::Finished)
                found->second.cause = outcome == run_outcome::LeaseExpired ? "lease_expired" : "exit status 1";
        }

        //! Expires leases and records a load sample, then schedules the next update.
        void updatePeriodically()
        {
            const auto now = m_delays.now();
            std::vector<attempt_id> expired;
            for (const auto& [id, run] : m_attempts) {
                if (run.isRunning() && run.leaseEnd <= now)
                    expired.push_back(id);
            }
            for (const auto& id : expired)
                endAttempt(id, run_outcome::LeaseExpired);
            m_loadSamples.emplace_back(now, static_cast<double>(committedResources().processors) / static_cast<double>(m_description.host.capacity.processors));
            while (m_loadSamples.size() > 1 && m_loadSamples[1].first <= now - reportDelay())
                m_loadSamples.pop_front();
            m_delays.callAfter(updateInterval, [this] { updatePeriodically(); });
        }

        milliseconds reportDelay() const
        {
            return milliseconds(m_faults.value("report_lag_ms", 2000));
        }

        http_response renew(const json& command)
        {
            if (!acceptEpoch(command))
                return makeErrorResponse(409, "older_epoch");
            for (const auto& entry : command.value("acknowledge", json::array())) {
                const auto found = m_attempts.find({ entry.at("task"), entry.at("attempt") });
                if (found != m_attempts.end() && !found->second.isRunning())
                    m_attempts.erase(found);
            }
            json tasks = json::array();
            for (auto& [id, run] : m_attempts) {
                if (run.shard != command.at("shard"))
                    continue;
                if (run.isRunning())
                    run.leaseEnd = m_delays.now() + durationField(command, "lease_ms");
                tasks.push_back(toJson(id, run));
            }
            json services = json::array();
            const double load = m_loadSamples.front().second;
            if (!m_description.reportedService.empty())
                services.push_back({ { "service", m_description.reportedService }, { "replica", absl::StrCat(m_description.reportedService, "@", workerId()) },
                    { "latency_ms", idleLatencyMilliseconds * (1 + load) }, { "load", load } });
            return makeJsonResponse(200, { { "tasks", tasks }, { "services", services }, { "measured_ms_ago", reportDelay().count() } });
        }

        http_response handleTaskAction(const attempt_id& id, const std::string& action, const json& body)
        {
            const std::uint64_t epoch = body.at("epoch");
            const auto found = m_attempts.find(id);
            if (found != m_attempts.end() && epoch < found->second.epoch)
                return makeErrorResponse(409, "older_epoch");
            if (action == "stop")
                return stop(id);
            if (found == m_attempts.end() || !found->second.isRunning())
                return makeErrorResponse(404, "not running");
            auto& run = found->second;
            if (action == "throttle") {
                run.taskResources.processors = body.at("processors");
                checkCapacity({});
                return makeJsonResponse(200);
            }
            if (action != "checkpoint")
                return makeErrorResponse(404, "no such call");
            if (hasFault("fail_all"))
                return makeErrorResponse(500, "checkpoint failed");
            const auto workSinceStart = std::chrono::duration_cast<milliseconds>(m_delays.now() - run.started);
            run.checkpoint = absl::StrCat(progressPrefix, (run.workBeforeStart + workSinceStart).count());
            return makeJsonResponse(200, { { "checkpoint", run.checkpoint } });
        }

        //! Stops an attempt and rejects later starts of it and of earlier ones.
        http_response stop(const attempt_id& id)
        {
            m_minimumAttempts[id.first] = std::max(m_minimumAttempts[id.first], id.second + 1);
            const auto lastStarted = m_lastStartedAttempts.find(id.first);
            if (lastStarted == m_lastStartedAttempts.end() || lastStarted->second < id.second)
                return makeJsonResponse(200, { { "state", "absent" } });
            endAttempt(id, run_outcome::Stopped);
            return makeJsonResponse(200, { { "state", "stopped" } });
        }

        json inventory() const
        {
            json tasks = json::array();
            for (const auto& [id, run] : m_attempts)
                tasks.push_back(toJson(id, run));
            const auto& capacity = m_description.host.capacity;
            const json capacityJson { { "processors", capacity.processors }, { "memory", capacity.memory }, { "accelerators", capacity.accelerators } };
            return { { "worker", workerId() }, { "capacity", capacityJson }, { "tasks", tasks } };
        }

        model::resources committedResources() const
        {
            model::resources sum;
            for (const auto& [id, run] : m_attempts)
                sum = run.isRunning() ? sum + run.taskResources : sum;
            return sum;
        }

        //! Records a violation in the ledger if the capacity is exceeded; returns whether the resources fit.
        bool checkCapacity(const model::resources& additional)
        {
            const auto& capacity = m_description.host.capacity;
            m_runLedger.checkCapacity(workerId(), committedResources() + additional, capacity, m_delays.now());
            return (committedResources() + additional).fitsIn(capacity);
        }

        delay_queue& m_delays;
        ledger& m_runLedger;
        host_description m_description;
        std::map<attempt_id, attempt> m_attempts;
        //! Latest attempt that was started on this worker, by task.
        std::map<std::string, std::uint32_t> m_lastStartedAttempts;
        //! Smallest attempt number that may still start, by task.
        std::map<std::string, std::uint32_t> m_minimumAttempts;
        //! Latest epoch of the owner, by shard.
        std::map<std::string, std::uint64_t> m_latestEpochs;
        json m_faults = json::object();
        //! Load samples over time. Reports use the load as it was report_lag_ms ago.
        std::deque<std::pair<utils::time_point, double>> m_loadSamples;
        unanswered_calls m_unansweredCalls;
        std::unique_ptr<transport::http_server> m_server;
    };

} // namespace

std::unique_ptr<standin> makeWorker(const standin_context& context, const host_description& description)
{
    return std::make_unique<worker>(context, description);
}

} // namespace camphorsaddle::standins
