#include "tasks/coordinator/coordinator_task.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "jobs/job_memory.h"
#include "tasks/coordinator/call_codec.h"
#include "tasks/coordinator/guarded_run_control.h"
#include "tasks/coordinator/rules_codec.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/hashing.h"
#include "utils/overloaded.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds tickInterval { 50 };
    constexpr utils::milliseconds helloInterval { 500 };
    constexpr utils::milliseconds leaderNoticeInterval { 200 };
    constexpr utils::milliseconds cutOffRetryAfter { 1500 };
    // Submissions are answered in a fraction of this time.
    constexpr utils::milliseconds openSubmissionsRetryAfter { 1000 };
    // A submission is answered before its caller's timeout, but for the delay of timers.
    constexpr utils::milliseconds answerMargin { 10'000 };

} // namespace

coordinator_task::coordinator_task(job_daemon_context& context, job_daemon_settings settings, const deployment_adapter& deployment)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_deployment(deployment)
    , m_orderCounters(context.metrics)
    , m_latenessReport(context.metrics, m_orderCounters, tickInterval)
    , m_peerTraffic(context.metrics)
    , m_evacuationReport(context.metrics)
    , m_backfillMetrics(context.metrics)
    , m_jobMemoryGauge(context.metrics.addGauge("camphorsaddle_job_memory_bytes"))
    , m_leadTransfer(m_settings.leadTransfer, m_settings.processors)
    , m_tickTimer(loop(), [this] { onTick(); })
    , m_openSubmissions(m_settings.jobMemory.openSubmissions)
{
}

coordinator_task::~coordinator_task() = default;

absl::Status coordinator_task::open()
{
    m_httpClient = transport::http_client::create(loop());
    if (m_httpClient == nullptr)
        return utils::makeError(absl::StatusCode::kInternal, "open coordinator", "", "libcurl could not be initialized");
    m_store = m_deployment.makeStore(*m_httpClient, m_context.metrics);
    m_runControl = std::make_unique<guarded_run_control>(loop(), m_deployment.makeRunControl(*m_httpClient));
    const auto send = [this](const auto& endpoint, const auto& envelope) {
        this->send(endpoint, envelope);
    };
    const auto incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<utils::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    m_forwardedCalls.setFirstTicket(incarnation);
    const std::mt19937_64 random(utils::stableHash(m_settings.daemonId) ^ incarnation);
    m_relayedControl = std::make_unique<relayed_run_control>(loop(), *m_runControl, m_settings.peerEndpoint, send, m_orderCounters, incarnation);
    m_orderRelay = std::make_unique<order_relay>(loop(), *m_runControl, m_settings.peerEndpoint, send);
    try {
        m_peerReceiver = std::make_unique<transport::message_receiver>(loop(), m_settings.peerEndpoint, [this](zmq::message_t raw) { onPeerMessage(std::move(raw)); });
    } catch (const zmq::error_t& failure) {
        return utils::makeError(absl::StatusCode::kUnavailable, "listen", m_settings.peerEndpoint, failure.what());
    }
    m_election = std::make_unique<leader_election>(
        loop(), *m_store, m_settings.leaderElection, jobs::leader_record { m_settings.daemonId, incarnation, m_settings.peerEndpoint, 0 }, [this] { onLeadershipChanged(); }, random);
    m_rulesFollower = std::make_unique<rules_follower>(
        loop(), *m_store, m_deployment, [this](const auto& rules) { onRulesChanged(rules); }, send, random);
    m_leaderlessCalls = std::make_unique<leaderless_call_handler>(loop(), *m_store, m_settings.earlyCancellations, m_settings.jobMemory.jobsWithoutLeader);
    m_admissionGate = std::make_unique<admission_gate>(*m_store);
    m_context.coordinator.open(loop(), [this](const coordinator_message& message) { onMessage(message); });
    m_rulesFollower->start();
    m_election->start();
    m_tickTimer.startRepeating(tickInterval);
    return absl::OkStatus();
}

void coordinator_task::close()
{
    m_tickTimer.stop();
    if (const auto ending = std::exchange(m_term, nullptr))
        ending->end();
    m_admissionGate.reset();
    m_leaderlessCalls.reset();
    m_rulesFollower.reset();
    m_election.reset();
    m_orderRelay.reset();
    m_relayedControl.reset();
    m_peerSenders.clear();
    m_peerReceiver.reset();
    m_runControl.reset();
    m_store.reset();
    m_httpClient.reset();
}

void coordinator_task::onMessage(const coordinator_message& message)
{
    std::visit(utils::overloaded {
                   [&](const job_call& call) { handleCall(call); },
                   [&](const confirm_rules&) { m_rulesFollower->requestConfirmation(utils::nowIncludingSuspend()); },
                   [&](const stop_serving&) {
                       m_isShuttingDown = true;
                       if (m_term != nullptr)
                           m_term->handOver([this] { m_election->resign(); });
                       else
                           m_election->resign();
                       m_context.daemon.post(serving_stopped { "coordinator" });
                   },
                   [&](const stop_loop&) { loop().stop(); },
               },
        message);
}

void coordinator_task::onRulesChanged(const std::shared_ptr<const jobs::deployment_rules>& rules)
{
    if (m_term != nullptr)
        m_term->setRules(rules);
    postRulesState();
}

void coordinator_task::postRulesState()
{
    auto state = m_rulesFollower->state();
    if (state == m_postedRulesState)
        return;
    m_postedRulesState = state;
    m_context.front.post(std::move(state));
}

void coordinator_task::onLeadershipChanged()
{
    if (const auto ending = std::exchange(m_term, nullptr))
        ending->end();
    m_relayedControl->reset();
    m_leadTransfer.forgetFollowers();
    m_isHandingOver = false;
    m_rulesFollower->setLeading(m_election->isLeader());
    m_lastHelloSentAt = {};
    if (!m_election->isLeader())
        return;
    m_relayedControl->setTerm(m_election->term());
    m_term = std::make_shared<leader_term>(loop(), m_settings, m_deployment, *m_store, *m_relayedControl, *m_election, [this](const std::string& why) {
        // Keeps the term alive until its call that reported the other leader returns.
        const auto ending = m_term;
        m_election->stepDown(why);
    });
    m_term->setMetrics(m_context.metrics);
    if (m_rulesFollower->rules() != nullptr)
        m_term->setRules(m_rulesFollower->rules());
    m_term->begin();
}

void coordinator_task::handleCall(const job_call& call)
{
    const auto now = utils::nowIncludingSuspend();
    if (refuseForMemory(call, now))
        return;
    if (m_term != nullptr) {
        if (call.kind == call_kind::Submit)
            m_admissionGate->noteAttempt(call.job.id, now);
        passOn(call);
        return;
    }
    if (refuseWhileCutOff(call, now))
        return;
    m_admissionGate->decide(
        call, m_rulesFollower->rules().get(), m_election->leader().has_value(), now, [this, call] { passOn(call); }, [this](const job_reply& reply) { postReply(reply); });
}

bool coordinator_task::isCutOff(utils::time_point now) const
{
    const auto rules = m_rulesFollower->state();
    return m_term == nullptr && isDisconnected({ m_leaderHeardAt, rules.confirmedAt, !m_election->isStoreReachable(), rules.isStoreFailing }, now);
}

// Otherwise the call would wait for the leader's reply and then for the store's. A cancellation, and a job that was passed on before, may
// have taken effect, which a refusal would deny.
bool coordinator_task::refuseWhileCutOff(const job_call& call, utils::time_point now)
{
    const bool mayHaveTakenEffect = call.kind == call_kind::Cancel || (call.kind == call_kind::Submit && m_admissionGate->hasBeenTried(call.job.id, now));
    if (mayHaveTakenEffect || !isCutOff(now))
        return false;
    postReply({ call.ticket, call_outcome::Refused, jobs::job_phase::Queued, 0, cutOffRetryAfter, "disconnected" });
    return true;
}

bool coordinator_task::refuseForMemory(const job_call& call, utils::time_point now)
{
    if (call.kind != call_kind::Submit || m_openSubmissions.open(call.ticket, jobs::specificationMemory(call.job), now, now + call.timeout + answerMargin))
        return false;
    m_admissionGate->refuseIfAbsent(call, "too_many_open_submissions", openSubmissionsRetryAfter, now, [this](const job_reply& reply) { postReply(reply); });
    return true;
}

void coordinator_task::passOn(const job_call& call)
{
    if (m_term != nullptr) {
        m_term->handleCall(call, [this, call](const job_reply& reply) {
            if (reply.outcome == call_outcome::NotLeader || reply.outcome == call_outcome::Indeterminate || (reply.outcome == call_outcome::NotFound && call.kind != call_kind::Pending))
                handleWithoutLeader(call, reply.outcome == call_outcome::Indeterminate);
            else
                postReply(reply);
        });
        return;
    }
    if (m_election->leader())
        forwardToLeader(call);
    else
        handleWithoutLeader(call, false);
}

void coordinator_task::forwardToLeader(const job_call& call)
{
    send(m_election->leader()->endpoint, encodeCall(m_forwardedCalls.add(call, utils::nowIncludingSuspend()), m_settings.peerEndpoint));
}

void coordinator_task::handleWithoutLeader(job_call call, bool mayBeStored)
{
    call.mayBeStored = mayBeStored;
    m_leaderlessCalls->handle(call, [this](const job_reply& reply) { postReply(reply); });
}

void coordinator_task::postReply(const job_reply& reply)
{
    m_openSubmissions.close(reply.ticket);
    m_context.front.post(reply);
}

void coordinator_task::send(const std::string& endpoint, const protocol::CoordinatorEnvelope& envelope)
{
    auto& sender = m_peerSenders[endpoint];
    try {
        if (!sender)
            sender = std::make_unique<transport::message_sender>(endpoint);
    } catch (const zmq::error_t& failure) {
        m_peerSenders.erase(endpoint);
        utils::logEvent(utils::events::peerMessageDropped, { { "peer", endpoint }, { "error", failure.what() } });
        return;
    }
    const std::string bytes = envelope.SerializeAsString();
    const bool isSent = sender->send(zmq::message_t(bytes.data(), bytes.size()));
    if (const auto kind = kindOf(envelope))
        m_peerTraffic.recordMessage(*kind, bytes.size(), isSent);
    if (!isSent)
        utils::logEvent(utils::events::peerMessageDropped, { { "peer", endpoint } });
}

void coordinator_task::onPeerMessage(zmq::message_t raw)
{
    // A message of a relay holds thousands of parts.
    google::protobuf::Arena arena;
    auto& envelope = *google::protobuf::Arena::CreateMessage<protocol::CoordinatorEnvelope>(&arena);
    if (!envelope.ParseFromArray(raw.data(), static_cast<int>(raw.size()))) {
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "unreadable" }, { "bytes", std::to_string(raw.size()) } });
        return;
    }
    const auto now = utils::nowIncludingSuspend();
    switch (envelope.content_case()) {
    case protocol::CoordinatorEnvelope::kCall:
        onPeerCall(envelope.call());
        return;
    case protocol::CoordinatorEnvelope::kReply:
        onPeerReply(envelope.reply());
        return;
    case protocol::CoordinatorEnvelope::kHello:
        onHello(envelope.hello(), now);
        return;
    case protocol::CoordinatorEnvelope::kOrders:
        m_leaderHeardAt = now;
        m_orderRelay->noteTerm(m_election->highestTerm());
        m_orderRelay->execute(envelope.orders(), now);
        return;
    case protocol::CoordinatorEnvelope::kRunReplies:
        m_relayedControl->handleReplies(envelope.run_replies(), now);
        return;
    case protocol::CoordinatorEnvelope::kLeaderNotice:
        onLeaderNotice(envelope.leader_notice());
        return;
    case protocol::CoordinatorEnvelope::kFollowerNotice:
        if (m_term != nullptr)
            m_term->noteFollower(envelope.follower_notice().endpoint(), envelope.follower_notice().term());
        return;
    case protocol::CoordinatorEnvelope::kRules:
        m_leaderHeardAt = now;
        if (m_term == nullptr) {
            m_rulesFollower->applyUpdate(envelope.rules());
            if (envelope.rules().hello_us() != 0)
                m_admissionGate->setForecast(readForecast(envelope.rules()));
            if (envelope.rules().has_job_memory_without_leader())
                m_leaderlessCalls->setJobMemory(envelope.rules().job_memory_without_leader());
        }
        return;
    case protocol::CoordinatorEnvelope::CONTENT_NOT_SET:
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "unknown content" } });
        return;
    }
}

void coordinator_task::onHello(const protocol::CarrierHello& hello, utils::time_point now)
{
    if (m_term == nullptr)
        return;
    m_leadTransfer.noteFollower({ hello.endpoint(), hello.weight(), hello.reaches_store(), utils::milliseconds(hello.timer_delay_ms()) }, now);
    m_relayedControl->updateRelay({ hello.endpoint(), hello.data_centre(), hello.weight(), hello.adds_fence_raise() }, now, hello.sent_us());
    m_term->noteJobMemoryLimit(hello.endpoint(), hello.job_memory(), now);
    m_rulesFollower->replyToHello(hello, now, m_term->publishedAdmission(now));
}

void coordinator_task::onPeerCall(const protocol::CoordinatorCall& message)
{
    const auto decoded = decodeCall(message);
    if (!decoded.ok()) {
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "call out of bounds" }, { "error", utils::describe(decoded.status()) } });
        return;
    }
    const auto& call = *decoded;
    const auto& endpoint = message.reply_endpoint();
    if (m_term == nullptr) {
        send(endpoint, encodeReply({ call.ticket, call_outcome::NotLeader, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} }));
        return;
    }
    m_term->handleCall(call, [this, endpoint](const job_reply& reply) { send(endpoint, encodeReply(reply)); });
}

void coordinator_task::onPeerReply(const protocol::CoordinatorReply& message)
{
    auto reply = decodeReply(message);
    const auto call = m_forwardedCalls.take(reply.ticket);
    if (!call)
        return;
    const bool isUndecided = reply.outcome == call_outcome::NotLeader || reply.outcome == call_outcome::Indeterminate;
    if (reply.outcome == call_outcome::NotLeader)
        m_election->checkLeader();
    // The leader may not have adopted a job yet that was stored without it.
    if (isUndecided || (reply.outcome == call_outcome::NotFound && call->kind != call_kind::Pending)) {
        handleWithoutLeader(*call, reply.outcome == call_outcome::Indeterminate);
        return;
    }
    reply.ticket = call->ticket;
    postReply(reply);
}

// The store has elected a later leader, also if this daemon can't read that there.
void coordinator_task::onLeaderNotice(const protocol::LeaderNotice& notice)
{
    if (notice.term() <= m_election->term() && m_election->isLeader())
        return;
    m_election->noteLaterTerm(notice.term());
    protocol::CoordinatorEnvelope envelope;
    envelope.mutable_follower_notice()->set_endpoint(m_settings.peerEndpoint);
    envelope.mutable_follower_notice()->set_term(notice.term());
    send(notice.endpoint(), envelope);
}

void coordinator_task::sendLeaderNotices(utils::time_point now)
{
    if (m_term == nullptr || now < m_lastNoticeSentAt + leaderNoticeInterval)
        return;
    m_lastNoticeSentAt = now;
    protocol::CoordinatorEnvelope envelope;
    envelope.mutable_leader_notice()->set_endpoint(m_settings.peerEndpoint);
    envelope.mutable_leader_notice()->set_term(m_election->term());
    for (const auto& leader : m_term->unprovenLeaders())
        send(leader.endpoint, envelope);
}

// Announces this daemon to the leader as a relay for orders at regular intervals.
void coordinator_task::sendHello(utils::time_point now)
{
    if (m_term != nullptr || m_isShuttingDown || !m_election->leader())
        return;
    // A new leader has no relays until it hears of them. The regular times stay, so that the daemons don't send all at the same time.
    const auto term = m_election->leader()->term;
    const bool isDue = now >= m_lastHelloSentAt + helloInterval;
    if (!isDue && std::exchange(m_lastHelloTerm, term) == term)
        return;
    m_lastHelloTerm = term;
    if (isDue)
        m_lastHelloSentAt = now;
    protocol::CoordinatorEnvelope envelope;
    envelope.mutable_hello()->set_endpoint(m_settings.peerEndpoint);
    envelope.mutable_hello()->set_data_centre(m_settings.dataCentre);
    envelope.mutable_hello()->set_weight(m_settings.processors);
    envelope.mutable_hello()->set_reaches_store(m_election->isStoreReachable());
    envelope.mutable_hello()->set_timer_delay_ms(m_leadTransfer.timerDelay().count());
    envelope.mutable_hello()->set_adds_fence_raise(true);
    envelope.mutable_hello()->set_job_memory(m_settings.jobMemory.jobs);
    m_rulesFollower->fillHello(*envelope.mutable_hello(), now);
    send(m_election->leader()->endpoint, envelope);
}

void coordinator_task::reviewLead(utils::time_point now)
{
    m_leadTransfer.noteTerm(m_election->highestTerm(), now);
    // Without the store the lead would end only when its lease expires.
    if (m_term == nullptr || m_isHandingOver || m_isShuttingDown || !m_election->isLeaseRecentlyRenewed(now))
        return;
    const auto successor = m_leadTransfer.successor(now);
    if (!successor)
        return;
    m_isHandingOver = true;
    utils::logEvent(utils::events::leadHandedOver, { { "term", std::to_string(m_election->term()) }, { "why", std::string(toString(successor->reason)) }, { "processors", std::to_string(m_settings.processors) }, { "timer_delay_ms", std::to_string(m_leadTransfer.timerDelay().count()) }, { "successor", successor->daemon.endpoint }, { "successor_processors", std::to_string(successor->daemon.processors) }, { "loaded", m_term->isLoaded() ? "true" : "false" } });
    m_term->transferLead([this, term = std::weak_ptr(m_term), reason = successor->reason] {
        // The term may have ended meanwhile for another reason.
        const auto ending = term.lock();
        if (ending != nullptr && ending == m_term)
            m_election->giveUpLead(std::string(toString(reason)));
    });
}

void coordinator_task::onTick()
{
    const auto now = utils::nowIncludingSuspend();
    m_latenessReport.recordTick(now);
    m_leadTransfer.noteTimerDelay(m_latenessReport.lastDelay(), now);
    m_peerTraffic.recordTick(now);
    m_evacuationReport.update(m_term == nullptr ? std::vector<jobs::evacuation_status>() : m_term->evacuationStatuses(now), now);
    m_backfillMetrics.update(m_term == nullptr ? jobs::backfill_summary {} : m_term->backfillSummary());
    m_jobMemoryGauge.set(m_term == nullptr ? 0 : static_cast<std::int64_t>(m_term->heldMemory()));
    reviewLead(now);
    sendHello(now);
    sendLeaderNotices(now);
    m_rulesFollower->tick(now);
    postRulesState();
    // Not the present time: messages that have arrived meanwhile may still wait to be read.
    const auto readUntil = m_peerReceiver->emptiedAt();
    m_relayedControl->expireOrders(readUntil);
    for (const auto& call : m_forwardedCalls.takeOverdue(readUntil)) {
        utils::logEvent(utils::events::leaderSilent, { { "job", call.subject }, { "leader", m_election->leader() ? m_election->leader()->daemon : "" } });
        handleWithoutLeader(call, true);
    }
    m_peerReceiver->receiveMessages();
    const bool canServe = m_rulesFollower->rules() != nullptr && !m_isShuttingDown && (m_election->isStoreReachable() || m_election->leader() || m_term != nullptr) && !isCutOff(now);
    if (canServe != m_canServe) {
        m_canServe = canServe;
        m_context.front.post(serving_state { canServe });
    }
}

} // namespace camphorsaddle::tasks
