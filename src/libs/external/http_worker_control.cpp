#include "external/http_worker_control.h"

#include <map>

#include "absl/strings/str_cat.h"
#include "external/json_http.h"

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
        const auto body = json::parse(response.body, nullptr, false);
        const bool hasReason = body.is_object() && body.contains("reason") && body["reason"].is_string();
        return hasReason ? body["reason"].get<std::string>() : absl::StrCat("status ", response.status);
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
        return { value.value("processors", std::int64_t { 0 }), value.value("memory", std::int64_t { 0 }), value.value("accelerators", std::int64_t { 0 }) };
    }

    attempt_state readState(const json& value)
    {
        static const std::map<std::string, attempt_state> names { { "running", attempt_state::Running }, { "finished", attempt_state::Finished }, { "failed", attempt_state::Failed } };
        const auto found = names.find(value.get<std::string>());
        if (found == names.end())
            throw json::other_error::create(501, "unknown attempt state", &value);
        return found->second;
    }

    attempt_report readAttempt(const json& value)
    {
        attempt_report report;
        report.key = { value.at("task").get<std::string>(), value.at("attempt").get<std::uint32_t>(), value.at("epoch").get<std::uint64_t>() };
        report.state = readState(value.at("state"));
        report.checkpoint = value.value("checkpoint", "");
        report.usage = readResources(value.value("usage", json::object()));
        report.cause = value.value("cause", "");
        return report;
    }

    std::vector<attempt_report> readAttempts(const json& values)
    {
        std::vector<attempt_report> reports;
        for (const auto& value : values)
            reports.push_back(readAttempt(value));
        return reports;
    }

    worker_report readReport(const json& body)
    {
        worker_report report;
        report.tasks = readAttempts(body.at("tasks"));
        for (const auto& value : body.value("services", json::array()))
            report.services.push_back({ value.at("service").get<std::string>(), value.value("replica", ""), value.value("latency_ms", 0.0), value.value("load", 0.0) });
        report.usageAge = utils::milliseconds(body.value("measured_ms_ago", std::int64_t { 0 }));
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
        return worker_inventory { readResources(body.at("capacity")), readAttempts(body.at("tasks")) };
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
        return body.at("checkpoint").get<std::string>();
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
        return body.at("state").get<std::string>() == "absent" ? stop_result::Absent : stop_result::Stopped;
    }));
}

} // namespace camphorsaddle::external
