#include "tasks/job_front/job_front_task.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "input/printable_text.h"
#include "nlohmann/json.hpp"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/overloaded.h"

namespace camphorsaddle::tasks {

namespace {

    // Timeout of a caller that sends no timeout header.
    constexpr utils::milliseconds defaultCallTimeout { 3000 };
    constexpr utils::milliseconds maximumCallTimeout { 60'000 };
    // Longer than the operators' idle timeout requires.
    constexpr unsigned idleTimeoutSeconds = 60;
    // A daemon that shuts down waits until no request has arrived on open connections for this time.
    constexpr utils::milliseconds quietPeriod { 1500 };
    // The load balancer needs two failed checks, one second apart, before it sends new connections elsewhere.
    constexpr utils::milliseconds balancerReactionTime { 2500 };
    constexpr utils::milliseconds shutdownCheckInterval { 50 };
    constexpr utils::milliseconds confirmationCheckInterval { 50 };
    // The process has to exit before the platform kills it.
    constexpr utils::milliseconds shutdownMargin { 800 };

} // namespace

struct job_front_task::open_request {
    transport::http_responder responder;
    call_kind kind = call_kind::Status;
    std::string subject;
    utils::time_point arrivedAt;
};

job_front_task::job_front_task(job_daemon_context& context, job_daemon_settings settings, const deployment_adapter& deployment)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_deployment(deployment)
    , m_callerTracker(std::make_shared<transport::request_memory_tracker>(m_settings.callerLimits, context.metrics))
    , m_confirmationTimer(loop(), [this] { decideWaitingRequests(); })
    , m_shutdownCheckTimer(loop(), [this] { checkShutdown(); })
    , m_outcomeCounts(context.metrics, "camphorsaddle_job_calls_total")
    , m_admissionCounts(context.metrics, "camphorsaddle_job_admissions_total")
    , m_replyTimes(context.metrics.addDistribution("camphorsaddle_job_call_seconds", 0.0005, 10, 40))
{
}

job_front_task::~job_front_task() = default;

absl::StatusOr<std::unique_ptr<transport::http_server>> job_front_task::listen(const listen_address& address, transport::http_server::handler handle)
{
    transport::http_server_options options;
    options.address = address.address;
    options.port = address.port;
    options.idleTimeout = idleTimeoutSeconds;
    options.tracker = m_callerTracker;
    return transport::http_server::listen(loop(), options, std::move(handle));
}

absl::Status job_front_task::open()
{
    auto frontServer = listen(m_settings.front, [this](const transport::http_request& request, const transport::http_responder& responder) { onRequest(request, responder); });
    if (!frontServer.ok())
        return frontServer.status();
    m_frontServer = *std::move(frontServer);
    auto readiness = listen(m_settings.readiness, [this](const transport::http_request&, const transport::http_responder& responder) {
        const bool isReady = m_canServe && m_rules && !m_shutdownStartedAt;
        responder.respond({ isReady ? 200 : 503, {}, {} });
    });
    if (!readiness.ok())
        return readiness.status();
    m_readinessServer = *std::move(readiness);
    if (m_settings.metrics.port != 0) {
        auto page = listen(m_settings.metrics, [this](const transport::http_request&, const transport::http_responder& responder) {
            responder.respond({ 200, { { "content-type", "text/plain; version=0.0.4" } }, m_context.metrics.render() });
        });
        if (!page.ok())
            return page.status();
        m_metricsServer = *std::move(page);
    }
    m_context.front.open(loop(), [this](const job_front_message& message) { onMessage(message); });
    return absl::OkStatus();
}

void job_front_task::close()
{
    m_confirmationTimer.stop();
    m_waitingRequests.clear();
    m_openRequests.clear();
    m_frontServer.reset();
    m_readinessServer.reset();
    m_metricsServer.reset();
}

void job_front_task::onMessage(const job_front_message& message)
{
    std::visit(utils::overloaded {
                   [&](const job_reply& reply) {
                       const auto found = m_openRequests.find(reply.ticket);
                       if (found == m_openRequests.end())
                           return;
                       respond(found->second, reply);
                       m_openRequests.erase(found);
                   },
                   [&](const rules_state& state) { setRules(state); },
                   [&](const serving_state& state) { m_canServe = state.canServe; },
                   [&](const stop_serving&) { beginShutdown(); },
                   [&](const stop_loop&) { loop().stop(); },
               },
        message);
}

void job_front_task::setRules(const rules_state& state)
{
    if (state.rules != m_rulesState.rules) {
        m_rules.emplace(state.rules);
        if (m_frontServer && state.rules)
            m_frontServer->setBodyLimit(state.rules->bodyLimit);
    }
    m_rulesState = state;
    decideWaitingRequests();
}

std::uint16_t job_front_task::port() const
{
    return m_frontServer->port();
}

void job_front_task::send(const transport::http_responder& responder, int status, std::string body, utils::milliseconds retryAfter)
{
    transport::http_response response = transport::jsonResponse(status, std::move(body));
    if (retryAfter.count() > 0)
        response.headers["retry-after"] = std::to_string((retryAfter.count() + 999) / 1000);
    if (m_shutdownStartedAt)
        response.headers["connection"] = "close";
    responder.respond(std::move(response));
}

void job_front_task::rejectRequest(const transport::http_request& request, const transport::http_responder& responder, int status, const std::string& reason)
{
    const auto rulesAge = m_rulesState.confirmedBy == rules_source::None ? utils::milliseconds(-1) : std::chrono::duration_cast<utils::milliseconds>(utils::nowIncludingSuspend() - m_rulesState.confirmedAt);
    utils::logEvent(utils::events::requestRefused, { { "method", request.method }, { "path", input::printableText(request.path) }, { "status", std::to_string(status) }, { "reason", reason }, { "rules", std::to_string(m_rules ? m_rules->rules().version : 0) }, { "rules_age_ms", std::to_string(rulesAge.count()) }, { "confirmed_by", std::string(toString(m_rulesState.confirmedBy)) }, { "store_failing", m_rulesState.isStoreFailing ? "true" : "false" } });
    send(responder, status, nlohmann::json { { "error", reason } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), status == 503 ? utils::milliseconds(1000) : utils::milliseconds(0));
}

void job_front_task::onRequest(const transport::http_request& request, const transport::http_responder& responder)
{
    m_lastRequestAt = loop().now();
    if (!m_rules) {
        rejectRequest(request, responder, 503, "no configuration yet");
        return;
    }
    const auto now = utils::nowIncludingSuspend();
    if (decideRequest(request, responder, now))
        return;
    m_admissionCounts.count(jobs::route_admission::AwaitConfirmation);
    m_waitingRequests.push_back({ request, responder, now });
    m_context.coordinator.post(confirm_rules {});
    if (!m_confirmationTimer.isActive())
        m_confirmationTimer.startRepeating(confirmationCheckInterval);
}

void job_front_task::decideWaitingRequests()
{
    // A response may let the server accept another request, which is added to m_waitingRequests.
    for (auto& waiting : std::exchange(m_waitingRequests, {})) {
        if (!decideRequest(waiting.request, waiting.responder, waiting.arrivedAt))
            m_waitingRequests.push_back(std::move(waiting));
    }
    if (m_waitingRequests.empty())
        m_confirmationTimer.stop();
}

bool job_front_task::decideRequest(const transport::http_request& request, const transport::http_responder& responder, utils::time_point arrivedAt)
{
    const auto now = utils::nowIncludingSuspend();
    const auto* queue = m_rules->match(request.header("host"), request.path);
    const auto admission = jobs::admitRoute(m_settings.routeAdmission, { queue != nullptr, arrivedAt, m_rulesState.confirmedAt, m_rulesState.isStoreFailing }, now);
    if (admission == jobs::route_admission::AwaitConfirmation)
        return false;
    m_admissionCounts.count(admission);
    switch (admission) {
    case jobs::route_admission::Serve:
        serveRequest(request, responder, *queue, std::chrono::duration_cast<utils::milliseconds>(now - arrivedAt));
        break;
    case jobs::route_admission::UnknownQueue:
        rejectRequest(request, responder, 404, "no such queue");
        break;
    case jobs::route_admission::Unconfirmed:
        rejectRequest(request, responder, 503, "no such queue in rules that can't be confirmed");
        break;
    case jobs::route_admission::AwaitConfirmation:
        break;
    }
    return true;
}

void job_front_task::serveRequest(const transport::http_request& request, const transport::http_responder& responder, const jobs::queue_rules& queue, utils::milliseconds waited)
{
    job_call call;
    call.ticket = m_nextTicket++;
    call.subject = request.path.substr(queue.prefix.size());
    const bool namesJob = request.method != "GET" || !call.subject.empty();
    if (namesJob && !jobs::isJobId(call.subject)) {
        // No job can have the id, so a query or a cancellation of it is answered as one of an unknown job.
        rejectRequest(request, responder, request.method == "POST" ? 400 : 410, "the id of a job has 1 to 128 printable ASCII characters");
        return;
    }
    call.timeout = defaultCallTimeout;
    std::int64_t timeoutMilliseconds = 0;
    if (absl::SimpleAtoi(request.header(m_deployment.callerTimeoutHeader()), &timeoutMilliseconds) && timeoutMilliseconds > 0)
        call.timeout = std::min(utils::milliseconds(timeoutMilliseconds), maximumCallTimeout);
    call.timeout = std::max(utils::milliseconds(1), call.timeout - waited);
    if (request.method == "GET") {
        call.kind = call.subject.empty() ? call_kind::Pending : call_kind::Status;
        if (call.subject.empty())
            call.subject = queue.name;
    } else if (request.method == "DELETE") {
        call.kind = call_kind::Cancel;
    } else if (request.method == "POST") {
        call.kind = call_kind::Submit;
        auto job = m_deployment.parseJob(request.body);
        if (!job.ok()) {
            rejectRequest(request, responder, job.status().code() == absl::StatusCode::kUnimplemented ? 503 : 400, utils::describe(job.status()));
            return;
        }
        call.job = *std::move(job);
        call.job.id = call.subject;
        call.job.queue = queue.name;
        call.job.service = queue.service;
        call.job.maximumAttempts = queue.maxAttempts;
        call.job.acceptedAt = std::chrono::duration_cast<utils::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        if (const auto status = jobs::validate(call.job); !status.ok()) {
            rejectRequest(request, responder, 400, utils::describe(status));
            return;
        }
        if (queue.needsExternalPlacement) {
            rejectRequest(request, responder, 503, "queues with advice are not supported");
            return;
        }
    } else {
        rejectRequest(request, responder, 405, "method not allowed");
        return;
    }
    m_openRequests.emplace(call.ticket, open_request { responder, call.kind, call.subject, loop().now() });
    m_context.coordinator.post(std::move(call));
}

void job_front_task::respond(const open_request& request, const job_reply& reply)
{
    m_outcomeCounts.count(reply.outcome);
    m_replyTimes.record(std::chrono::duration<double>(loop().now() - request.arrivedAt).count());
    int status = 200;
    std::string body = "{}";
    switch (reply.outcome) {
    case call_outcome::Done:
        if (request.kind == call_kind::Status)
            body = m_deployment.renderPhase(reply.phase);
        else if (request.kind == call_kind::Pending)
            body = m_deployment.renderPendingJobCount(reply.pending);
        break;
    case call_outcome::NotFound:
        status = 410;
        break;
    case call_outcome::Refused:
        status = reply.reason == "overload" ? 429 : 503;
        break;
    case call_outcome::Indeterminate:
    case call_outcome::NotLeader:
        status = 504;
        break;
    }
    if (reply.outcome != call_outcome::Done || request.kind == call_kind::Submit || request.kind == call_kind::Cancel)
        utils::logEvent(utils::events::callAnswered, { { "kind", std::to_string(static_cast<int>(request.kind)) }, { "job", request.subject }, { "status", std::to_string(status) }, { "outcome", std::string(toString(reply.outcome)) }, { "reason", reply.reason }, { "retry_after_ms", std::to_string(reply.retryAfter.count()) }, { "took_ms", std::to_string(std::chrono::duration_cast<utils::milliseconds>(loop().now() - request.arrivedAt).count()) } });
    send(request.responder, status, std::move(body), reply.retryAfter);
}

void job_front_task::beginShutdown()
{
    m_shutdownStartedAt = loop().now();
    m_lastRequestAt = loop().now();
    m_shutdownCheckTimer.startRepeating(shutdownCheckInterval);
}

void job_front_task::checkShutdown()
{
    const auto now = loop().now();
    const auto deadline = *m_shutdownStartedAt + m_settings.shutdownGracePeriod - shutdownMargin;
    const bool isQuiet = m_openRequests.empty() && m_waitingRequests.empty() && now > *m_shutdownStartedAt + balancerReactionTime && now > m_lastRequestAt + quietPeriod;
    if (!isQuiet && now < deadline)
        return;
    m_shutdownCheckTimer.stop();
    m_context.daemon.post(serving_stopped { "front" });
}

} // namespace camphorsaddle::tasks
