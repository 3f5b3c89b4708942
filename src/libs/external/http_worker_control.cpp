#include "external/http_worker_control.h"

#include <map>

#include "absl/strings/str_cat.h"
#include "external/json_http.h"
#include "external/limits.h"

namespace camphorsaddle::external {

namespace {

    using json = nlohmann::json;
    using json_callback = std::function<void(absl::StatusOr<json>)>;

    //! Parameters that every call to a worker needs.
    struct worker_call {
        transport::http_client& client;
        utils::milliseconds timeout;
        const model::host& worker;
        std::string step;

        std::string peer() const
        {
            return absl::StrCat("worker ", worker.id);
        }
    };

    absl::StatusCode statusCodeOf(int status)
    {
        switch (status) {
        case 404:
            return absl::StatusCode::kNotFound;
        case 409:
            return absl::StatusCode::kFailedPrecondition;
        default:
            return absl::StatusCode::kUnknown;
        }
    }

    std::string errorReason(const transport::http_response& response)
    {
        const auto reason = input::readInput(absl::StatusCode::kInternal, "read reason", "", [&] { return input::textField(input::parseObject(response.body, limits::reply), "reason", limits::name); });
        return reason.ok() ? *reason : absl::StrCat("status ", response.status);
    }

    void send(const worker_call& call, std::string method, const std::string& path, const json& content, json_callback callback)
    {
        transport::http_call request;
        request.method = std::move(method);
        request.url = call.worker.url + path;
        request.timeout = call.timeout;
        request.connectTimeout = call.timeout;
        if (!content.is_null())
            request.body = content.dump();
        call.client.start(std::move(request), [step = call.step, peer = call.peer(), callback = std::move(callback)](const transport::http_result& result) {
            if (!result.status.ok())
                callback(utils::makeError(result.status.code(), step, peer, result.status.message()));
            else if (result.response.status != 200)
                callback(utils::makeError(statusCodeOf(result.response.status), step, peer, errorReason(result.response)));
            else
                callback(parseBody(result, step, peer));
        });
    }

    //! Returns a handler that converts the body of an answer with \a read and passes the result to \a callback.
    template <typename Value, typename Read>
    json_callback answerParser(const worker_call& call, worker_callback<Value> callback, Read read)
    {
        return [step = call.step, peer = call.peer(), callback = std::move(callback), read](const absl::StatusOr<json>& body) {
            if (!body.ok())
                callback(body.status());
            else
                callback(readFields(step, peer, [&] { return read(*body); }));
        };
    }

    json_callback statusOnly(std::function<void(absl::Status)> callback)
    {
        return [callback = std::move(callback)](const absl::StatusOr<json>& body) {
            callback(body.status());
        };
    }

    json toJson(const model::resources& amounts)
    {
        return { { "processors", amounts.processors }, { "memory", amounts.memory }, { "accelerators", amounts.accelerators } };
    }

    model::resources readResources(const json& value)
    {
        return { input::wholeField(value, "processors", limits::processors, 0), input::wholeField(value, "memory", limits::memory, 0), input::wholeField(value, "accelerators", limits::accelerators, 0) };
    }

    attempt_state readState(const json& value)
    {
        static const std::map<std::string, attempt_state> names { { "running", attempt_state::Running }, { "finished", attempt_state::Finished }, { "failed", attempt_state::Failed } };
        const auto found = names.find(input::readText(value, "state", limits::name));
        if (found == names.end())
            throw input::input_error("unknown attempt state");
        return found->second;
    }

    attempt_report readAttempt(const json& value)
    {
        attempt_report report;
        report.key = { input::textField(value, "task", limits::name), static_cast<std::uint32_t>(input::wholeField(value, "attempt", limits::attempt)), input::readUnsigned(input::requireField(value, "epoch"), "epoch") };
        report.state = readState(input::requireField(value, "state"));
        report.checkpoint = input::textField(value, "checkpoint", limits::payload, {});
        if (const auto* usage = input::findField(value, "usage"))
            report.usage = readResources(*usage);
        report.cause = input::textField(value, "cause", limits::payload, {});
        return report;
    }

    std::vector<attempt_report> readAttempts(const json& values)
    {
        std::vector<attempt_report> reports;
        for (const auto& value : input::readList(values, "tasks", limits::rowsPerList))
            reports.push_back(readAttempt(value));
        return reports;
    }

    worker_report readReport(const json& body)
    {
        worker_report report;
        report.tasks = readAttempts(input::requireField(body, "tasks"));
        if (const auto* services = input::findField(body, "services")) {
            for (const auto& value : input::readList(*services, "services", limits::rowsPerList))
                report.services.push_back({ input::textField(value, "service", limits::name), input::textField(value, "replica", limits::name, {}), input::realField(value, "latency_ms", limits::latency, 0), input::realField(value, "load", limits::load, 0) });
        }
        report.usageAge = utils::milliseconds(input::wholeField(body, "measured_ms_ago", limits::duration, 0));
        return report;
    }

    json attemptFields(const attempt_key& key)
    {
        return { { "attempt", key.attempt }, { "epoch", key.epoch } };
    }

    std::string taskPath(const attempt_key& key, absl::string_view action)
    {
        return absl::StrCat("/v1/tasks/", transport::percentEncode(key.task), "/", action);
    }

} // namespace

http_worker_control::http_worker_control(transport::http_client& client, utils::milliseconds timeout)
    : m_client(client)
    , m_timeout(timeout)
{
}

void http_worker_control::inventory(const model::host& worker, worker_callback<worker_inventory> callback)
{
    const worker_call call { m_client, m_timeout, worker, "read the inventory" };
    send(call, "GET", "/v1/inventory", nullptr, answerParser<worker_inventory>(call, std::move(callback), [](const json& body) {
        return worker_inventory { readResources(input::requireField(body, "capacity")), readAttempts(input::requireField(body, "tasks")) };
    }));
}

void http_worker_control::start(const model::host& worker, const start_command& command, std::function<void(absl::Status)> callback)
{
    const worker_call call { m_client, m_timeout, worker, absl::StrCat("start ", command.key.task) };
    json content = attemptFields(command.key);
    content["task"] = command.key.task;
    content["shard"] = command.shard;
    content["kind"] = command.kind;
    content["size"] = toJson(command.size);
    content["run_ms"] = command.runTime.count();
    content["lease_ms"] = command.lease.count();
    content["checkpoint"] = command.checkpoint;
    send(call, "POST", "/v1/tasks", content, statusOnly(std::move(callback)));
}

void http_worker_control::renew(const model::host& worker, const renew_command& command, worker_callback<worker_report> callback)
{
    const worker_call call { m_client, m_timeout, worker, absl::StrCat("renew the leases of shard ", command.shard) };
    json content { { "shard", command.shard }, { "epoch", command.epoch }, { "lease_ms", command.lease.count() }, { "acknowledge", json::array() } };
    for (const auto& key : command.acknowledged)
        content["acknowledge"].push_back({ { "task", key.task }, { "attempt", key.attempt } });
    send(call, "POST", "/v1/renew", content, answerParser<worker_report>(call, std::move(callback), &readReport));
}

void http_worker_control::checkpoint(const model::host& worker, const attempt_key& key, worker_callback<std::string> callback)
{
    const worker_call call { m_client, m_timeout, worker, absl::StrCat("checkpoint ", key.task) };
    send(call, "POST", taskPath(key, "checkpoint"), attemptFields(key), answerParser<std::string>(call, std::move(callback), [](const json& body) {
        return input::textField(body, "checkpoint", limits::payload);
    }));
}

void http_worker_control::throttle(const model::host& worker, const attempt_key& key, std::int64_t processors, std::function<void(absl::Status)> callback)
{
    const worker_call call { m_client, m_timeout, worker, absl::StrCat("throttle ", key.task) };
    json content = attemptFields(key);
    content["processors"] = processors;
    send(call, "POST", taskPath(key, "throttle"), content, statusOnly(std::move(callback)));
}

void http_worker_control::stop(const model::host& worker, const attempt_key& key, worker_callback<stop_result> callback)
{
    const worker_call call { m_client, m_timeout, worker, absl::StrCat("stop ", key.task) };
    send(call, "POST", taskPath(key, "stop"), attemptFields(key), answerParser<stop_result>(call, std::move(callback), [](const json& body) {
        return input::textField(body, "state", limits::name) == "absent" ? stop_result::Absent : stop_result::Stopped;
    }));
}

} // namespace camphorsaddle::external
