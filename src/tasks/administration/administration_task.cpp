#include "tasks/administration/administration_task.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "access/token_hash.h"
#include "nlohmann/json.hpp"
#include "tasks/error_response.h"
#include "tasks/scheduler/evacuation_api.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    using json = nlohmann::json;

    constexpr utils::milliseconds callTimeout { 8000 };
    constexpr utils::milliseconds expiryInterval { 250 };
    //! Timeout of a call that waits for the first configuration or for the verification of its token.
    constexpr utils::milliseconds deferralTimeout { 3000 };
    constexpr std::size_t maximumDeferredCalls = 256;

    using access::administration_refusal;

    //! Error message of a refused call, with advice for the caller.
    absl::string_view refusalMessage(administration_refusal reason)
    {
        switch (reason) {
        case administration_refusal::NoToken:
            return "the call has no token; set CAMPHORSADDLE_TOKEN or send the header Authorization: Bearer TEAM:SECRET";
        case administration_refusal::UnknownToken:
            return "the token is not in the configuration; ask an operator for a valid token";
        case administration_refusal::MissingRight:
            return "the team lacks the right for this call; an operator can add it under teams.TEAM.rights";
        case administration_refusal::WrongTeam:
            return "the call specifies another team; specify your own with --team";
        case administration_refusal::TooManyTokens:
            return "too many unknown tokens are being verified; try again in a second";
        case administration_refusal::NotReady:
            return "this daemon has not received a configuration yet; check its connection to the store or try another daemon";
        case administration_refusal::UnknownPath:
            return "no such path; see docs/API.md";
        case administration_refusal::ResponseTimeout:
            break;
        }
        return "no response";
    }

    std::string addressOf(const transport::http_request& request)
    {
        return request.peer.substr(0, request.peer.find(':'));
    }

    bool isJobPath(absl::string_view path)
    {
        return path == "/v1/jobs" || absl::StartsWith(path, "/v1/jobs/");
    }

    //! Whether the scheduler task serves the path; the configurator task serves all others.
    bool isSchedulerPath(absl::string_view path)
    {
        return isJobPath(path) || isEvacuationPath(path);
    }

    protocol::PeerEnvelope forwardedCall(std::uint64_t ticket, const transport::http_request& request)
    {
        protocol::PeerEnvelope envelope;
        auto& call = *envelope.mutable_call();
        call.set_ticket(ticket);
        call.set_method(request.method);
        call.set_path(request.path);
        call.mutable_query()->insert(request.query.begin(), request.query.end());
        call.mutable_headers()->insert(request.headers.begin(), request.headers.end());
        call.set_body(request.body);
        return envelope;
    }

    transport::http_request requestOf(const protocol::ForwardedCall& call, const std::string& sender)
    {
        transport::http_request request;
        request.method = call.method();
        request.path = call.path();
        request.query.insert(call.query().begin(), call.query().end());
        request.headers.insert(call.headers().begin(), call.headers().end());
        request.body = call.body();
        request.peer = sender;
        return request;
    }

    protocol::PeerEnvelope forwardedReply(std::uint64_t ticket, const transport::http_response& response)
    {
        protocol::PeerEnvelope envelope;
        auto& reply = *envelope.mutable_reply();
        reply.set_ticket(ticket);
        reply.set_status(response.status);
        reply.mutable_headers()->insert(response.headers.begin(), response.headers.end());
        reply.set_body(response.body);
        return envelope;
    }

    transport::http_response responseOf(const protocol::ForwardedReply& reply)
    {
        transport::http_response response { reply.status(), {}, reply.body() };
        response.headers.insert(reply.headers().begin(), reply.headers().end());
        return response;
    }

} // namespace

administration_task::administration_task(daemon_context& context)
    : task(context)
    , m_refusals(context.metrics, "camphorsaddle_administration_refused_total")
    , m_authenticator({}, access::randomDigestKey())
    , m_expiryTimer(loop(), [this] { expireCalls(); })
{
}

administration_task::~administration_task() = default;

absl::Status administration_task::open()
{
    const auto& settings = context().settings;
    transport::http_server_options options;
    options.address = settings.administration.address;
    options.port = static_cast<std::uint16_t>(settings.administration.port);
    options.bodyLimit = static_cast<std::size_t>(settings.limits.maximumBodyBytes);
    options.tracker = context().callerTracker;
    auto server = transport::http_server::listen(loop(), options, [this](transport::http_request request, const transport::http_responder& responder) {
        handleRequest(std::move(request), responder);
    });
    if (!server.ok())
        return server.status();
    m_server = *std::move(server);
    utils::logEvent(utils::events::listening, { { "task", "administration" }, { "port", absl::StrCat(m_server->port()) } });
    context().mailboxes.administration.open(loop(), [this](administration_message message) { handleMessage(std::move(message)); });
    m_verifier = std::make_unique<token_verifier>([&mailbox = context().mailboxes.administration](const access::token_verification& verification, bool isKnown) {
        mailbox.post(token_verified { verification.digest, verification.generation, isKnown });
    });
    m_expiryTimer.startRepeating(expiryInterval);
    return absl::OkStatus();
}

void administration_task::handleMessage(administration_message message)
{
    std::visit(overloaded {
                   [this](membership_changed& change) { m_membership = std::move(change); },
                   [this](const configuration_applied& change) { applyConfiguration(change); },
                   [this](const token_verified& result) {
                       m_authenticator.finishVerification(result.digest, result.generation, result.isKnown);
                       retryDeferredCalls();
                       submitNextVerification();
                   },
                   [this](const peer_message_received& received) { handlePeerMessage(received.envelope); },
                   [this](administration_reply& reply) { finishCall(reply.ticket, std::move(reply.response)); },
                   [this](const administration_redirect& redirect) { forwardCall(redirect.ticket, redirect.member); },
                   [this](status_report& report) { m_statusSections[report.section] = std::move(report.content); },
                   [this](const drain&) {
                       m_isDraining = true;
                       context().mailboxes.application.post(task_drained { "administration" });
                   },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void administration_task::handleRequest(transport::http_request request, const transport::http_responder& responder)
{
    const std::string path = request.path;
    if (path == "/v1/health")
        responder.respond({ 200, {}, "ok\n" });
    else if (path == "/v1/ready")
        responder.respond(readyResponse());
    else if (path == "/v1/metrics")
        responder.respond({ 200, { { "content-type", "text/plain; version=0.0.4" } }, context().metrics.render() });
    else
        authorizeCall({ std::move(request), responder, loop().now() + deferralTimeout });
}

void administration_task::authorizeCall(deferred_call call)
{
    if (!m_isConfigurationKnown) {
        deferCall(std::move(call));
        return;
    }
    if (m_authenticator.allowsAnonymousAccess()) {
        executeCall(std::move(call.request), call.responder, {});
        return;
    }
    const auto token = access::bearerToken(call.request);
    if (token.empty()) {
        refuseCall(call, administration_refusal::NoToken);
        return;
    }
    switch (m_authenticator.check(token, addressOf(call.request), loop().now())) {
    case access::token_verdict::Unknown:
        refuseCall(call, administration_refusal::UnknownToken);
        return;
    case access::token_verdict::Busy:
        refuseCall(call, administration_refusal::TooManyTokens);
        return;
    case access::token_verdict::Pending:
        deferCall(std::move(call));
        submitNextVerification();
        return;
    case access::token_verdict::Known:
        break;
    }
    const auto team = access::teamOfToken(token);
    if (const auto reason = access::findRefusal(call.request, team, m_configuration->teams.at(team).rights))
        refuseCall(call, *reason);
    else
        executeCall(std::move(call.request), call.responder, team);
}

void administration_task::deferCall(deferred_call call)
{
    if (m_deferredCalls.size() < maximumDeferredCalls)
        m_deferredCalls.push_back(std::move(call));
    else
        refuseCall(call, m_isConfigurationKnown ? administration_refusal::TooManyTokens : administration_refusal::NotReady);
}

void administration_task::retryDeferredCalls()
{
    for (auto& call : std::exchange(m_deferredCalls, {}))
        authorizeCall(std::move(call));
}

void administration_task::submitNextVerification()
{
    if (auto verification = m_authenticator.startNextVerification())
        m_verifier->submit(*std::move(verification));
}

void administration_task::refuseCall(const deferred_call& call, administration_refusal reason)
{
    m_refusals.count(reason);
    const auto cause = utils::makeError(absl::StatusCode::kPermissionDenied, absl::StrCat("administration ", call.request.method), call.request.path, refusalMessage(reason));
    utils::logEvent(utils::events::administrationRefused, { { "reason", std::string(toString(reason)) }, { "path", call.request.path }, { "peer", call.request.peer } });
    auto response = errorResponse(httpStatusOf(reason), toString(reason), cause);
    if (response.status == 401)
        response.headers["www-authenticate"] = "Bearer";
    if (response.status == 429)
        response.headers["retry-after"] = "1";
    call.responder.respond(std::move(response));
}

void administration_task::applyConfiguration(const configuration_applied& change)
{
    const bool allowedAnonymousAccess = m_isConfigurationKnown && m_authenticator.allowsAnonymousAccess();
    m_configurationRevision = change.revision;
    m_configuration = change.value;
    m_isConfigurationKnown = true;
    if (m_configuration)
        m_authenticator.setTeams(m_configuration->teams);
    if (m_authenticator.allowsAnonymousAccess() && !allowedAnonymousAccess)
        utils::logEvent(utils::events::accessOpen);
    retryDeferredCalls();
}

void administration_task::expireDeferredCalls()
{
    const auto now = loop().now();
    for (auto& call : std::exchange(m_deferredCalls, {})) {
        if (now >= call.deadline)
            refuseCall(call, m_isConfigurationKnown ? administration_refusal::TooManyTokens : administration_refusal::NotReady);
        else
            m_deferredCalls.push_back(std::move(call));
    }
}

//! \a team is empty when no token is configured.
void administration_task::executeCall(transport::http_request request, const transport::http_responder& responder, const std::string& team)
{
    const std::string path = request.path;
    // The token is not passed on; the configuration history records the authenticated team instead.
    request.headers.erase("authorization");
    if (!team.empty())
        request.headers["camphorsaddle-operator"] = absl::StrCat(team, "/", request.header("camphorsaddle-operator"));
    if (request.method != "GET")
        utils::logEvent(utils::events::administrationChange, { { "method", request.method }, { "path", path }, { "team", team }, { "peer", request.peer } });
    if (path == "/v1/status" && request.method == "GET")
        responder.respond(statusResponse());
    else if (isSchedulerPath(path) || absl::StartsWith(path, "/v1/config/"))
        dispatchCall({ std::move(request), responder, {}, 0, {} });
    else
        refuseCall({ std::move(request), responder, {} }, administration_refusal::UnknownPath);
}

void administration_task::dispatchCall(pending_call call)
{
    const auto ticket = m_nextTicket++;
    call.deadline = loop().now() + callTimeout;
    const administration_call message { ticket, call.request, !call.forwarder.empty() };
    const bool isForScheduler = isSchedulerPath(call.request.path);
    m_pendingCalls.emplace(ticket, std::move(call));
    if (isForScheduler)
        context().mailboxes.scheduler.post(message);
    else
        context().mailboxes.configurator.post(message);
}

void administration_task::handlePeerMessage(const protocol::PeerEnvelope& envelope)
{
    if (envelope.has_call())
        dispatchCall({ requestOf(envelope.call(), envelope.sender()), std::nullopt, envelope.sender(), envelope.call().ticket(), {} });
    else if (envelope.has_reply())
        finishCall(envelope.reply().ticket(), responseOf(envelope.reply()));
}

void administration_task::forwardCall(std::uint64_t ticket, const std::string& member)
{
    const auto found = m_pendingCalls.find(ticket);
    if (found == m_pendingCalls.end())
        return;
    context().mailboxes.membership.post(send_peer_message { member, forwardedCall(ticket, found->second.request) });
}

void administration_task::finishCall(std::uint64_t ticket, transport::http_response response)
{
    const auto found = m_pendingCalls.find(ticket);
    if (found == m_pendingCalls.end())
        return;
    const auto& call = found->second;
    if (call.responder)
        call.responder->respond(std::move(response));
    else
        context().mailboxes.membership.post(send_peer_message { call.forwarder, forwardedReply(call.forwarderTicket, response) });
    m_pendingCalls.erase(found);
}

void administration_task::expireCalls()
{
    expireDeferredCalls();
    const auto now = loop().now();
    std::vector<std::uint64_t> expired;
    for (const auto& [ticket, call] : m_pendingCalls) {
        if (call.deadline <= now)
            expired.push_back(ticket);
    }
    for (const auto ticket : expired) {
        const std::string path = m_pendingCalls.at(ticket).request.path;
        const auto cause = utils::makeError(absl::StatusCode::kDeadlineExceeded, "administration", path, absl::StrCat("no response within ", callTimeout.count(), " ms; the call may have taken effect, repeat it with the same id"));
        utils::logEvent(utils::events::administrationRefused, { { "path", path }, { "cause", utils::describe(cause) } });
        m_refusals.count(administration_refusal::ResponseTimeout);
        finishCall(ticket, errorResponse(504, "unknown", cause));
    }
}

transport::http_response administration_task::readyResponse() const
{
    const absl::string_view reason = m_isDraining ? "draining"
        : m_configurationRevision == 0            ? "no configuration"
        : !m_membership.isMember                  ? "not a member"
                                                  : "";
    if (reason.empty())
        return { 200, {}, "ready\n" };
    return { 503, {}, absl::StrCat("not ready: ", reason, "\n") };
}

transport::http_response administration_task::statusResponse() const
{
    json members = json::array();
    for (const auto& member : m_membership.view.members) {
        members.push_back({ { "id", member.id }, { "data_centre", member.dataCentre }, { "region", member.region },
            { "administration", member.administrationUrl }, { "gateway", member.gatewayUrl }, { "silent", m_membership.silent.count(member.id) > 0 } });
    }
    json body { { "daemon", context().settings.daemonId }, { "data_centre", context().settings.dataCentre },
        { "configuration_revision", m_configurationRevision }, { "is_member", m_membership.isMember }, { "members", members },
        { "access", !m_isConfigurationKnown ? "unknown" : m_authenticator.allowsAnonymousAccess() ? "open"
                                                                                                  : "tokens" } };
    for (const auto& [section, content] : m_statusSections)
        body[section] = json::parse(content, nullptr, false);
    return transport::jsonResponse(200, body.dump());
}

void administration_task::close()
{
    m_pendingCalls.clear();
    m_server.reset();
}

} // namespace camphorsaddle::tasks
