#include "tasks/gateway/gateway_task.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tasks/error_response.h"
#include "tasks/gateway/request_headers.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/hashing.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr absl::string_view servicePrefix = "/v1/services/";
    constexpr utils::milliseconds hostListInterval { 2000 };
    constexpr utils::milliseconds hostListTimeout { 1000 };
    constexpr utils::milliseconds deadlineCheckInterval { 10 };
    constexpr utils::milliseconds exchangeInterval { 100 };
    //! Delay of the slot exchange that is sent early because a request has to wait.
    constexpr utils::milliseconds earlyExchangeDelay { 10 };
    constexpr utils::milliseconds drainCheckInterval { 50 };
    constexpr utils::milliseconds minionConnectTimeout { 500 };
    constexpr utils::seconds connectionIdleTimeout { 10 };
    constexpr utils::seconds maximumConnectionAge { 300 };
    constexpr int statusNotRun = 503;
    constexpr int statusUnknown = 504;
    constexpr double startRateSmoothingFactor = 0.3;
    constexpr double minimumLatencySeconds = 1e-4;
    constexpr double maximumLatencySeconds = 100;
    constexpr unsigned latencyBinCount = 120;

    routing::gateway_location locationOf(const settings::process_settings& settings)
    {
        routing::gateway_location location { settings.dataCentre, {} };
        for (const auto& dataCentre : settings.cluster.dataCentres)
            location.regions[dataCentre.name] = dataCentre.region;
        return location;
    }

    // Minions may echo the request and attempt headers. If they do, the values must match; a missing header is accepted.
    bool matchesAttempt(const request_state& state, const transport::http_response& response)
    {
        const auto isSame = [&response](absl::string_view name, const std::string& value) {
            const auto found = response.headers.find(name);
            return found == response.headers.end() || found->second.empty() || found->second == value;
        };
        return isSame("camphorsaddle-request", state.id) && isSame("camphorsaddle-attempt", absl::StrCat(state.attempt));
    }

    bool shouldSetRetryAfter(routing::refusal_reason reason)
    {
        return reason == routing::refusal_reason::NoSlot || reason == routing::refusal_reason::QueueFull || reason == routing::refusal_reason::CallerLimit
            || reason == routing::refusal_reason::Draining || reason == routing::refusal_reason::NotConfigured;
    }

} // namespace

gateway_metrics::gateway_metrics(utils::metric_registry& registry)
    : refused(registry, "camphorsaddle_gateway_refused_total")
    , retried(registry, "camphorsaddle_gateway_retried_total")
    , discarded(registry, "camphorsaddle_gateway_discarded_total")
    , requests(registry.addCounter("camphorsaddle_gateway_requests_total"))
    , sends(registry.addCounter("camphorsaddle_gateway_sends_total"))
    , waited(registry.addCounter("camphorsaddle_gateway_waited_total"))
    , retryBudgetExhausted(registry.addCounter("camphorsaddle_gateway_retry_budget_spent_total"))
    , latency(registry.addDistribution("camphorsaddle_gateway_latency_seconds", minimumLatencySeconds, maximumLatencySeconds, latencyBinCount))
{
}

gateway_task::gateway_task(daemon_context& context)
    : task(context)
    , m_client(transport::http_client::create(loop()))
    , m_directory(*m_client, context.settings.hostListUrl, hostListTimeout)
    , m_hostListTimer(loop(), [this] { readHostList(); })
    , m_deadlineTimer(loop(), [this] { handleExpiredDeadlines(); })
    , m_retryTimer(loop(), [this] { sendRetries(); })
    , m_exchangeTimer(loop(), [this] { exchangeSlots(); })
    , m_drainTimer(loop(), [this] { reportIfDrained(); })
    , m_metrics(context.metrics)
    , m_claims(context.mailboxes)
    , m_random(utils::stableHash(context.settings.daemonId, context.incarnation))
    , m_minions(locationOf(context.settings), static_cast<double>(context.settings.cluster.interRegionBytesPerSecond), loop().now(), context.metrics)
    , m_slots(context.settings.daemonId, locationOf(context.settings).regions, m_minions, [this](const std::string& member, protocol::PeerEnvelope envelope) {
        this->context().mailboxes.membership.post(send_peer_message { member, std::move(envelope) });
    })
{
}

gateway_task::~gateway_task() = default;

absl::Status gateway_task::open()
{
    const auto& settings = context().settings;
    transport::http_server_options options;
    options.address = settings.gateway.address;
    options.port = static_cast<std::uint16_t>(settings.gateway.port);
    options.bodyLimit = static_cast<std::size_t>(settings.limits.maximumBodyBytes);
    options.tracker = context().callerTracker;
    auto server = transport::http_server::listen(loop(), options, [this](transport::http_request request, const transport::http_responder& responder) {
        handleHttpRequest(std::move(request), responder);
    });
    if (!server.ok())
        return server.status();
    m_server = *std::move(server);
    utils::logEvent(utils::events::listening, { { "task", "gateway" }, { "port", absl::StrCat(m_server->port()) } });
    context().mailboxes.gateway.open(loop(), [this](gateway_message message) { handle(std::move(message)); });
    m_hostListTimer.startOnce(utils::milliseconds(0));
    m_deadlineTimer.startRepeating(deadlineCheckInterval);
    m_exchangeTimer.startOnce(exchangeInterval);
    m_client->setMaximumIdleTime(connectionIdleTimeout);
    m_client->setMaximumConnectionAge(maximumConnectionAge);
    return absl::OkStatus();
}

void gateway_task::handle(gateway_message message)
{
    std::visit(overloaded {
                   [this](const membership_changed& change) { m_slots.setMembers(change, loop().now()); },
                   [this](configuration_applied& change) { m_configuration = std::move(change.value); },
                   [this](const peer_message_received& received) {
                       if (m_slots.receive(received.envelope, loop().now()))
                           sendWaiting();
                   },
                   [this](const key_claim_reply& reply) { onClaimReply(reply); },
                   [this](const drain&) {
                       m_isDraining = true;
                       m_drainTimer.startOnce(context().settings.drainDelay);
                   },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void gateway_task::close()
{
    m_requests.clear();
    m_server.reset();
}

void gateway_task::reportIfDrained()
{
    if (!m_requests.empty()) {
        m_drainTimer.startOnce(drainCheckInterval);
        return;
    }
    if (!m_isDrained)
        context().mailboxes.application.post(task_drained { "gateway" });
    m_isDrained = true;
}

void gateway_task::handleHttpRequest(transport::http_request request, const transport::http_responder& responder)
{
    if (absl::StartsWith(request.path, servicePrefix))
        handleServiceRequest(std::move(request), responder);
    else if (request.path == "/v1/health")
        responder.respond({ 200, {}, "ok\n" });
    else if (request.path == "/v1/ready")
        reportReadiness(responder);
    else
        responder.respond(errorResponse(404, "unknown_path", utils::makeError(absl::StatusCode::kNotFound, "gateway", request.path, "no such path")));
}

void gateway_task::reportReadiness(const transport::http_responder& responder)
{
    std::string cause;
    if (m_isDraining)
        cause = "draining";
    else if (m_configuration == nullptr)
        cause = "no configuration";
    else if (!m_minions.isReady(loop().now()))
        cause = "no slots yet";
    responder.respond({ cause.empty() ? 200 : 503, {}, cause.empty() ? "ready\n" : cause + "\n" });
}

void gateway_task::handleServiceRequest(transport::http_request request, const transport::http_responder& responder)
{
    m_metrics.requests.add();
    const std::string remainingPath = request.path.substr(servicePrefix.size());
    const auto slash = remainingPath.find('/');
    const std::string name = remainingPath.substr(0, slash);
    const bool isConfigured = m_configuration != nullptr;
    const bool isKnown = isConfigured && m_configuration->services.count(name) > 0;
    const auto service = isKnown ? m_configuration->services.at(name) : model::service_configuration();
    const auto now = loop().now();
    request_state state { m_nextRequestNumber++, request.header("camphorsaddle-request"), name, slash == std::string::npos ? "/" : remainingPath.substr(slash), {}, responder, now,
        { isRepeatable(request, service), now + requestTimeout(request, service) }, request.header("camphorsaddle-caller") };
    state.request = std::move(request);
    if (state.id.empty())
        state.id = absl::StrCat(context().settings.daemonId, "-", context().incarnation, "-", state.number);
    const auto number = state.number;
    auto& stored = m_requests.emplace(number, std::move(state)).first->second;
    if (m_isDrained) {
        refuse(stored, routing::refusal_reason::Draining);
        return;
    }
    if (!isKnown) {
        refuse(stored, isConfigured ? routing::refusal_reason::UnknownService : routing::refusal_reason::NotConfigured);
        return;
    }
    if (!m_minions.hasMinions(name)) {
        refuse(stored, routing::refusal_reason::NoMinion);
        return;
    }
    const int callerLimit = stored.caller.empty() ? 0 : service.callerConcurrency;
    if (const auto refusal = m_limits.acquire(name, stored.caller, callerLimit, 0)) {
        refuse(stored, *refusal);
        return;
    }
    stored.isCounted = true;
    stored.attempts.admit();
    m_deadlines.emplace(stored.attempts.deadline(), number);
    m_retryBudgets.try_emplace(name, service.retryBudget).first->second.countRequest();
    if (!m_claims.requestClaim(number, stored.request, name, stored.attempts.isRepeatable()))
        sendOrQueue(stored);
}

void gateway_task::onClaimReply(const key_claim_reply& reply)
{
    const bool wasWaitingForDuplicate = m_claims.isWaitingForDuplicate(reply.ticket);
    const auto found = m_requests.find(reply.ticket);
    if (!m_claims.onReply(reply) || found == m_requests.end())
        return;
    auto& state = found->second;
    const auto& [verdict, answer] = reply.result;
    if (verdict == request_keys::claim_verdict::Granted)
        sendOrQueue(state);
    else if (verdict == request_keys::claim_verdict::Answered)
        sendResponse(state, { answer.status, { answer.headers.begin(), answer.headers.end() }, answer.body });
    else if (verdict == request_keys::claim_verdict::Mismatch)
        refuse(state, routing::refusal_reason::DuplicateKey);
    else if (verdict == request_keys::claim_verdict::Unknown || wasWaitingForDuplicate)
        endWithoutResponse(state, routing::request_action::ReportUnknown, routing::refusal_reason::DuplicateKey);
    else
        refuse(state, routing::refusal_reason::StoreUnavailable);
}

void gateway_task::sendOrQueue(request_state& state)
{
    const auto now = loop().now();
    if (m_queue.waitingCount(state.service) == 0) {
        if (const auto* minion = m_minions.choose(state.service, state.triedMinions, now, m_random)) {
            send(state, *minion);
            return;
        }
    }
    // A daemon that has left the membership gets no more slots after its grants have expired.
    if (m_isDraining && !m_minions.isReady(now)) {
        refuse(state, routing::refusal_reason::Draining);
        return;
    }
    const auto found = m_configuration->services.find(state.service);
    const auto service = found == m_configuration->services.end() ? model::service_configuration() : found->second;
    absl::optional<std::uint64_t> shedNumber;
    const auto refusal = m_queue.push({ state.number, state.service, state.caller, service.priority, service.patient, state.attempts.deadline() },
        service.queueLimit, m_startsPerSecond, now, shedNumber);
    if (shedNumber)
        refuse(m_requests.at(*shedNumber), routing::refusal_reason::QueueFull);
    if (refusal) {
        refuse(state, *refusal);
        return;
    }
    m_metrics.waited.add();
    if (!m_isEarlyExchangeScheduled && now - m_exchangedAt < exchangeInterval) {
        m_isEarlyExchangeScheduled = true;
        m_exchangeTimer.startOnce(earlyExchangeDelay);
    }
}

void gateway_task::sendWaiting()
{
    const routing::minion_candidate* chosen = nullptr;
    const auto canStart = [&](const std::string& service) {
        chosen = m_minions.choose(service, {}, loop().now(), m_random);
        return chosen != nullptr;
    };
    while (m_queue.size() > 0) {
        const auto next = m_queue.pop(canStart);
        if (!next)
            return;
        send(m_requests.at(next->number), *chosen);
    }
}

void gateway_task::send(request_state& state, const routing::minion_candidate& minion)
{
    state.attempt = state.attempts.beginAttempt();
    state.minion = minion.host;
    state.sentAt = loop().now();
    state.triedMinions.push_back(state.minion.id);
    m_minions.onSent(state.service, state.minion.id);
    m_minions.chargeLink(state.minion, state.request.body.size());
    ++m_startCount;

    transport::http_call call;
    call.method = state.request.method;
    call.url = absl::StrCat(state.minion.url, state.target, encodedQuery(state.request));
    call.headers = withoutHopByHopHeaders(state.request.headers);
    call.headers["camphorsaddle-request"] = state.id;
    call.headers["camphorsaddle-attempt"] = absl::StrCat(state.attempt);
    call.body = state.request.body;
    call.timeout = std::chrono::ceil<utils::milliseconds>(state.attempts.deadline() - state.sentAt);
    call.connectTimeout = std::min(call.timeout, minionConnectTimeout);
    // The HTTP library may send a request twice on a reused connection.
    call.requiresNewConnection = !state.attempts.isRepeatable();
    m_metrics.sends.add();
    state.call = m_client->start(std::move(call), [this, number = state.number, attempt = state.attempt](const transport::http_result& result) { onAttemptResult(number, attempt, result); });
}

void gateway_task::onAttemptResult(std::uint64_t number, int attempt, const transport::http_result& result)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end() || found->second.attempt != attempt) {
        m_metrics.discarded.count(discard_reason::Late);
        return;
    }
    auto& state = found->second;
    const auto now = loop().now();
    state.call = 0;
    const auto notRun = result.response.headers.find("camphorsaddle-not-run");
    if (!result.status.ok()) {
        m_minions.onFailure(state.service, state.minion.id, now);
        onFailure(state, result.mayHaveBeenSent ? routing::attempt_failure::Lost : routing::attempt_failure::NeverSent);
    } else if (!matchesAttempt(state, result.response)) {
        m_metrics.discarded.count(discard_reason::Mismatched);
        m_minions.onFailure(state.service, state.minion.id, now);
        onFailure(state, routing::attempt_failure::Lost);
    } else if (notRun != result.response.headers.end()) {
        if (notRun->second == "leaving")
            m_minions.onLeaving(state.service, state.minion.id, now);
        else
            m_minions.onAttemptEnded(state.service, state.minion.id);
        onFailure(state, routing::attempt_failure::Refused);
    } else {
        m_minions.onResponse(state.service, state.minion.id, std::chrono::duration_cast<utils::milliseconds>(now - state.sentAt), now);
        m_minions.chargeLink(state.minion, result.response.body.size());
        onResponse(state, result.response);
    }
    sendWaiting();
}

void gateway_task::onResponse(request_state& state, const transport::http_response& response)
{
    static_cast<void>(state.attempts.onResponse(state.attempt));
    m_retryBudgets.at(state.service).countAttempt(false);
    m_metrics.latency.record(std::chrono::duration<double>(loop().now() - state.arrivedAt).count());
    transport::http_response answer { response.status, withoutHopByHopHeaders(response.headers), response.body };
    m_claims.endClaim(state.number, request_keys::key_phase::Answered, { answer.status, { answer.headers.begin(), answer.headers.end() }, answer.body });
    sendResponse(state, std::move(answer));
}

void gateway_task::sendResponse(request_state& state, transport::http_response answer)
{
    answer.headers["camphorsaddle-outcome"] = std::string(toString(routing::outcome::Ran));
    answer.headers["camphorsaddle-request"] = state.id;
    state.responder.respond(std::move(answer));
    removeRequest(state);
}

void gateway_task::onFailure(request_state& state, routing::attempt_failure failure)
{
    const auto now = loop().now();
    m_retryBudgets.at(state.service).countAttempt(true);
    const auto reason = failure == routing::attempt_failure::Lost ? routing::retry_reason::AnswerLost
        : failure == routing::attempt_failure::NeverSent          ? routing::retry_reason::ConnectFailed
                                                                  : routing::retry_reason::MinionRefused;
    const auto delay = routing::retryDelay({}, state.attempts.attemptCount(), now, state.attempts.deadline(), m_random);
    const bool isRetrySafe = state.attempts.isRepeatable() || failure == routing::attempt_failure::NeverSent;
    const bool isWithinBudget = delay && isRetrySafe && m_retryBudgets.at(state.service).tryConsume();
    if (delay && isRetrySafe && !isWithinBudget)
        m_metrics.retryBudgetExhausted.add();
    const auto action = state.attempts.onFailure(state.attempt, failure, isWithinBudget, now);
    state.attempt = 0;
    if (action != routing::request_action::Retry) {
        endWithoutResponse(state, action, failure == routing::attempt_failure::Lost ? routing::refusal_reason::AnswerLost : failure == routing::attempt_failure::NeverSent ? routing::refusal_reason::ConnectFailed
                                                                                                                                                                           : routing::refusal_reason::MinionRefused);
        return;
    }
    m_metrics.retried.count(reason);
    m_retries.emplace(now + *delay, state.number);
    sendRetries();
}

void gateway_task::sendRetries()
{
    const auto now = loop().now();
    while (!m_retries.empty() && m_retries.begin()->first <= now) {
        const auto found = m_requests.find(m_retries.begin()->second);
        m_retries.erase(m_retries.begin());
        if (found != m_requests.end())
            sendOrQueue(found->second);
    }
    if (!m_retries.empty())
        m_retryTimer.startOnce(std::chrono::ceil<utils::milliseconds>(m_retries.begin()->first - now));
}

void gateway_task::handleExpiredDeadlines()
{
    const auto now = loop().now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto found = m_requests.find(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
        if (found == m_requests.end())
            continue;
        auto& state = found->second;
        m_queue.remove(state.number);
        if (state.call != 0) {
            m_client->cancel(state.call);
            m_minions.onFailure(state.service, state.minion.id, now);
        }
        // A request that waits for another one with the same key has that request's outcome, which is not known yet. A request
        // whose claim is still pending has not been sent.
        const bool isWaitingForDuplicate = m_claims.isWaitingForDuplicate(state.number);
        const bool isClaimPending = m_claims.isPending(state.number);
        if (isClaimPending)
            m_claims.endClaim(state.number, request_keys::key_phase::Withdrawn);
        const auto action = isWaitingForDuplicate ? routing::request_action::ReportUnknown : state.attempts.onDeadline();
        const auto reason = isWaitingForDuplicate ? routing::refusal_reason::DuplicateKey
            : isClaimPending                      ? routing::refusal_reason::StoreUnavailable
                                                  : routing::refusal_reason::Deadline;
        endWithoutResponse(state, action, reason);
    }
    sendWaiting();
}

void gateway_task::exchangeSlots()
{
    const auto now = loop().now();
    const double elapsed = std::chrono::duration<double>(now - m_exchangedAt).count();
    const bool isWaiting = m_queue.size() > 0;
    // The send rate equals the gateway's capacity only if requests were waiting during the whole interval.
    if (!isWaiting || !m_wasWaiting)
        m_startsPerSecond = 0;
    else
        m_startsPerSecond += (m_startsPerSecond > 0 ? startRateSmoothingFactor : 1) * (m_startCount / elapsed - m_startsPerSecond);
    m_wasWaiting = isWaiting;
    m_startCount = 0;
    m_exchangedAt = now;
    m_isEarlyExchangeScheduled = false;
    std::map<std::string, std::size_t> waiting;
    if (m_configuration != nullptr) {
        for (const auto& [name, service] : m_configuration->services)
            waiting[name] = m_queue.waitingCount(name);
    }
    m_slots.sendDemands(waiting, now);
    sendWaiting();
    m_exchangeTimer.startOnce(exchangeInterval);
}

void gateway_task::refuse(request_state& state, routing::refusal_reason reason)
{
    endWithoutResponse(state, state.attempts.onRefusal(), reason);
}

void gateway_task::endWithoutResponse(request_state& state, routing::request_action action, routing::refusal_reason reason)
{
    m_metrics.refused.count(reason);
    const bool isUnknown = action == routing::request_action::ReportUnknown;
    m_claims.endClaim(state.number, isUnknown ? request_keys::key_phase::Unknown : request_keys::key_phase::Withdrawn);
    const std::string name(toString(reason));
    utils::logEvent(isUnknown ? utils::events::requestUnknown : utils::events::requestRefused, { { "request", state.id }, { "service", state.service }, { "reason", name }, { "minion", state.minion.id } });
    const auto cause = utils::makeError(absl::StatusCode::kUnavailable, absl::StrCat("request ", state.id), state.minion.id, isUnknown ? "the request may have run" : "the request did not run");
    auto response = errorResponse(isUnknown ? statusUnknown : statusNotRun, name, cause);
    response.headers["camphorsaddle-outcome"] = std::string(toString(isUnknown ? routing::outcome::Unknown : routing::outcome::NotRun));
    response.headers["camphorsaddle-reason"] = name;
    response.headers["camphorsaddle-request"] = state.id;
    if (!isUnknown && shouldSetRetryAfter(reason))
        response.headers["retry-after"] = "1";
    state.responder.respond(std::move(response));
    removeRequest(state);
}

void gateway_task::removeRequest(request_state& state)
{
    if (state.isCounted)
        m_limits.release(state.service, state.caller);
    m_requests.erase(state.number);
}

void gateway_task::readHostList()
{
    m_directory.hosts([this](const absl::StatusOr<std::vector<model::host>>& hosts) {
        if (hosts.ok() && m_minions.setHosts(*hosts))
            utils::logEvent(utils::events::minionsChanged, { { "minions", absl::StrCat(m_minions.size()) } });
        m_hostListTimer.startOnce(hostListInterval);
    });
}

} // namespace camphorsaddle::tasks
