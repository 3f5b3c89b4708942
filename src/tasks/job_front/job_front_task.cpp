#include "tasks/job_front/job_front_task.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/overloaded.h"

namespace camphorsaddle::tasks {

namespace {

    // Time that a caller waits who does not say so.
    constexpr utils::milliseconds defaultPatience { 3000 };
    constexpr utils::milliseconds longestPatience { 60'000 };
    // Idle callers keep their connection longer than the operators' idle timeout asks for.
    constexpr unsigned idleTimeout = 60;
    // A daemon that stops waits this long for requests on open connections after the last one.
    constexpr utils::milliseconds quietTime { 1500 };
    // The balancer needs two missed checks, a second apart, to send new connections elsewhere.
    constexpr utils::milliseconds balancerTime { 2500 };
    constexpr utils::milliseconds stopCheckInterval { 50 };
    // The process has to be gone before it is killed.
    constexpr utils::milliseconds stopMargin { 800 };

} // namespace

struct job_front_task::open_request {
    transport::http_responder responder;
    call_kind kind = call_kind::Status;
    std::string subject;
    utils::time_point arrived;
};

job_front_task::job_front_task(job_daemon_context& context, job_daemon_settings settings, const deployment& format)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_format(format)
    , m_stopCheck(loop(), [this] { checkStop(); })
    , m_outcomes(context.metrics, "camphorsaddle_job_calls_total")
    , m_answerTimes(context.metrics.addDistribution("camphorsaddle_job_call_seconds", 0.0005, 10, 40))
{
}

job_front_task::~job_front_task() = default;

absl::StatusOr<std::unique_ptr<transport::http_server>> job_front_task::listen(const listen_address& address, transport::http_server::handler handle)
{
    transport::http_server_options options;
    options.address = address.address;
    options.port = address.port;
    options.idleTimeout = idleTimeout;
    return transport::http_server::listen(loop(), options, std::move(handle));
}

absl::Status job_front_task::open()
{
    auto front = listen(m_settings.front, [this](const transport::http_request& request, const transport::http_responder& responder) { onRequest(request, responder); });
    if (!front.ok())
        return front.status();
    m_front = *std::move(front);
    auto readiness = listen(m_settings.readiness, [this](const transport::http_request&, const transport::http_responder& responder) {
        const bool isReady = m_canServe && m_rules && !m_stoppingSince;
        responder.respond({ isReady ? 200 : 503, {}, {} });
    });
    if (!readiness.ok())
        return readiness.status();
    m_readiness = *std::move(readiness);
    if (m_settings.metrics.port != 0) {
        auto page = listen(m_settings.metrics, [this](const transport::http_request&, const transport::http_responder& responder) {
            responder.respond({ 200, { { "content-type", "text/plain; version=0.0.4" } }, m_context.metrics.render() });
        });
        if (!page.ok())
            return page.status();
        m_metricsPage = *std::move(page);
    }
    m_context.front.open(loop(), [this](const job_front_message& message) { onMessage(message); });
    return absl::OkStatus();
}

void job_front_task::close()
{
    m_open.clear();
    m_front.reset();
    m_readiness.reset();
    m_metricsPage.reset();
}

void job_front_task::onMessage(const job_front_message& message)
{
    std::visit(utils::overloaded {
                   [&](const job_reply& reply) {
                       const auto found = m_open.find(reply.ticket);
                       if (found == m_open.end())
                           return;
                       respond(found->second, reply);
                       m_open.erase(found);
                   },
                   [&](const rules_changed& change) { m_rules.emplace(change.rules); },
                   [&](const service_state& state) { m_canServe = state.canServe; },
                   [&](const stop_serving&) { beginStop(); },
                   [&](const end_loop&) { loop().stop(); },
               },
        message);
}

void job_front_task::send(const transport::http_responder& responder, int status, std::string body, utils::milliseconds retryAfter)
{
    transport::http_response response = transport::jsonResponse(status, std::move(body));
    if (retryAfter.count() > 0)
        response.headers["retry-after"] = std::to_string((retryAfter.count() + 999) / 1000);
    if (m_stoppingSince)
        response.headers["connection"] = "close";
    responder.respond(std::move(response));
}

void job_front_task::refuse(const transport::http_request& request, const transport::http_responder& responder, int status, const std::string& reason)
{
    utils::logEvent(utils::events::requestRefused, { { "method", request.method }, { "path", request.path }, { "status", std::to_string(status) }, { "reason", reason }, { "rules", std::to_string(m_rules ? m_rules->rules().version : 0) } });
    send(responder, status, nlohmann::json { { "error", reason } }.dump(), status == 503 ? utils::milliseconds(1000) : utils::milliseconds(0));
}

void job_front_task::onRequest(const transport::http_request& request, const transport::http_responder& responder)
{
    m_lastRequest = loop().now();
    if (!m_rules) {
        refuse(request, responder, 503, "no configuration yet");
        return;
    }
    const auto* queue = m_rules->match(request.header("host"), request.path);
    if (queue == nullptr) {
        refuse(request, responder, 404, "no such queue");
        return;
    }
    job_call call;
    call.ticket = m_nextTicket++;
    call.subject = request.path.substr(queue->prefix.size());
    call.patience = defaultPatience;
    std::int64_t patience = 0;
    if (absl::SimpleAtoi(request.header(m_format.callerTimeoutHeader()), &patience) && patience > 0)
        call.patience = std::min(utils::milliseconds(patience), longestPatience);
    if (request.method == "GET") {
        call.kind = call.subject.empty() ? call_kind::Pending : call_kind::Status;
        if (call.subject.empty())
            call.subject = queue->name;
    } else if (request.method == "DELETE") {
        call.kind = call_kind::Cancel;
    } else if (request.method == "POST") {
        call.kind = call_kind::Submit;
        auto job = m_format.parseJob(request.body);
        if (!job.ok()) {
            refuse(request, responder, job.status().code() == absl::StatusCode::kUnimplemented ? 503 : 400, utils::describe(job.status()));
            return;
        }
        call.job = *std::move(job);
        call.job.id = call.subject;
        call.job.queue = queue->name;
        call.job.service = queue->service;
        call.job.acceptedAt = std::chrono::duration_cast<utils::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        if (const auto status = jobs::validate(call.job); !status.ok()) {
            refuse(request, responder, 400, utils::describe(status));
            return;
        }
        if (queue->needsExternalPlacement) {
            refuse(request, responder, 503, "queues with advice are not supported");
            return;
        }
    } else {
        refuse(request, responder, 405, "method not allowed");
        return;
    }
    m_open.emplace(call.ticket, open_request { responder, call.kind, call.subject, loop().now() });
    m_context.coordinator.post(std::move(call));
}

void job_front_task::respond(const open_request& request, const job_reply& reply)
{
    m_outcomes.count(reply.outcome);
    m_answerTimes.record(std::chrono::duration<double>(loop().now() - request.arrived).count());
    int status = 200;
    std::string body = "{}";
    switch (reply.outcome) {
    case call_outcome::Done:
        if (request.kind == call_kind::Status)
            body = m_format.renderPhase(reply.phase);
        else if (request.kind == call_kind::Pending)
            body = m_format.renderPendingJobCount(reply.pending);
        break;
    case call_outcome::Absent:
        status = 410;
        break;
    case call_outcome::Refused:
        status = reply.reason == "overload" ? 429 : 503;
        break;
    case call_outcome::Unsettled:
    case call_outcome::NotLeader:
        status = 504;
        break;
    }
    if (reply.outcome != call_outcome::Done || request.kind == call_kind::Submit || request.kind == call_kind::Cancel)
        utils::logEvent(utils::events::callAnswered, { { "kind", std::to_string(static_cast<int>(request.kind)) }, { "job", request.subject }, { "status", std::to_string(status) }, { "outcome", std::string(toString(reply.outcome)) }, { "reason", reply.reason }, { "retry_after_ms", std::to_string(reply.retryAfter.count()) }, { "took_ms", std::to_string(std::chrono::duration_cast<utils::milliseconds>(loop().now() - request.arrived).count()) } });
    send(request.responder, status, std::move(body), reply.retryAfter);
}

void job_front_task::beginStop()
{
    m_stoppingSince = loop().now();
    m_lastRequest = loop().now();
    m_stopCheck.startRepeating(stopCheckInterval);
}

void job_front_task::checkStop()
{
    const auto now = loop().now();
    const auto limit = *m_stoppingSince + m_settings.stopGrace - stopMargin;
    const bool isQuiet = m_open.empty() && now > *m_stoppingSince + balancerTime && now > m_lastRequest + quietTime;
    if (!isQuiet && now < limit)
        return;
    m_stopCheck.stop();
    m_context.daemon.post(serving_stopped { "front" });
}

} // namespace camphorsaddle::tasks
