#include "tasks/coordinator/coordinator_task.h"

#include "absl/strings/str_cat.h"
#include "tasks/coordinator/call_codec.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/overloaded.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds tickInterval { 50 };
    // A leader answers within a few milliseconds and a round trip of up to 25; its store within a second even when slow.
    constexpr utils::milliseconds leaderPatience { 700 };
    constexpr utils::milliseconds helloInterval { 500 };

} // namespace

struct coordinator_task::remote_call {
    job_call call;
    utils::time_point sentAt;
};

coordinator_task::coordinator_task(job_daemon_context& context, job_daemon_settings settings, const deployment& format)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_format(format)
    , m_tick(loop(), [this] { onTick(); })
{
}

coordinator_task::~coordinator_task() = default;

absl::Status coordinator_task::open()
{
    m_client = transport::http_client::create(loop());
    if (m_client == nullptr)
        return utils::makeError(absl::StatusCode::kInternal, "open coordinator", "", "libcurl does not start");
    m_store = m_format.makeStore(*m_client, m_context.metrics);
    m_control = m_format.makeRunControl(*m_client);
    const auto send = [this](const auto& endpoint, const auto& envelope) {
        this->send(endpoint, envelope);
    };
    m_carriedRuns = std::make_unique<carried_runs>(loop(), *m_control, m_settings.peerEndpoint, send);
    m_carrier = std::make_unique<order_carrier>(loop(), *m_control, m_settings.peerEndpoint, send);
    const auto incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<utils::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    try {
        m_peers = std::make_unique<transport::message_receiver>(loop(), m_settings.peerEndpoint, [this](zmq::message_t raw) { onPeer(std::move(raw)); });
    } catch (const zmq::error_t& failure) {
        return utils::makeError(absl::StatusCode::kUnavailable, "listen", m_settings.peerEndpoint, failure.what());
    }
    m_lead = std::make_unique<leadership>(loop(), *m_store, m_settings.lead, jobs::leader_record { m_settings.daemonId, incarnation, m_settings.peerEndpoint, 0 }, [this] { onLeadChanged(); });
    m_rules = std::make_unique<rules_follower>(
        loop(), *m_store, m_format, [this](const auto& rules) { onRules(rules); }, send);
    m_storeCalls = std::make_unique<store_calls>(loop(), *m_store);
    m_context.coordinator.open(loop(), [this](const coordinator_message& message) { onMessage(message); });
    m_rules->start();
    m_lead->start();
    m_tick.startRepeating(tickInterval);
    return absl::OkStatus();
}

void coordinator_task::close()
{
    m_tick.stop();
    if (const auto ending = std::exchange(m_term, nullptr))
        ending->end();
    m_storeCalls.reset();
    m_rules.reset();
    m_lead.reset();
    m_carrier.reset();
    m_carriedRuns.reset();
    m_senders.clear();
    m_peers.reset();
    m_control.reset();
    m_store.reset();
    m_client.reset();
}

void coordinator_task::onMessage(const coordinator_message& message)
{
    std::visit(utils::overloaded {
                   [&](const job_call& call) { settle(call); },
                   [&](const stop_serving&) {
                       m_isStopping = true;
                       if (m_term != nullptr)
                           m_term->handOver([this] { m_lead->resign(); });
                       else
                           m_lead->resign();
                       m_context.daemon.post(serving_stopped { "coordinator" });
                   },
                   [&](const end_loop&) { loop().stop(); },
               },
        message);
}

void coordinator_task::onRules(const std::shared_ptr<const jobs::deployment_rules>& rules)
{
    if (m_term != nullptr)
        m_term->setRules(rules);
    m_context.front.post(rules_changed { rules });
}

void coordinator_task::onLeadChanged()
{
    if (const auto ending = std::exchange(m_term, nullptr))
        ending->end();
    m_carriedRuns->clear();
    m_rules->setLeads(m_lead->isLeader());
    m_saidHelloAt = {};
    if (!m_lead->isLeader())
        return;
    m_term = std::make_shared<leader_term>(loop(), m_settings, m_format, *m_store, *m_carriedRuns, *m_lead, [this](const std::string& why) {
        // The term must outlive the call in which it learns of its end.
        const auto ending = m_term;
        m_lead->deposed(why);
    });
    if (m_rules->rules() != nullptr)
        m_term->setRules(m_rules->rules());
    m_term->begin();
}

void coordinator_task::settle(const job_call& call)
{
    if (m_term != nullptr) {
        m_term->answer(call, [this, call](const job_reply& reply) {
            if (reply.outcome == call_outcome::NotLeader || reply.outcome == call_outcome::Unsettled || (reply.outcome == call_outcome::Absent && call.kind != call_kind::Pending))
                askStore(call, reply.outcome == call_outcome::Unsettled);
            else
                finish(reply);
        });
        return;
    }
    if (m_lead->leader())
        forward(call);
    else
        askStore(call, false);
}

void coordinator_task::forward(const job_call& call)
{
    auto sent = call;
    sent.ticket = m_nextTicket++;
    sent.patience = std::min(call.patience, leaderPatience);
    m_remote[sent.ticket] = { call, utils::nowIncludingSuspend() };
    send(m_lead->leader()->endpoint, encodeCall(sent, m_settings.peerEndpoint));
}

void coordinator_task::askStore(job_call call, bool mayBeStored)
{
    call.mayBeStored = mayBeStored;
    m_storeCalls->settle(call, [this](const job_reply& reply) { finish(reply); });
}

void coordinator_task::finish(const job_reply& reply)
{
    m_context.front.post(reply);
}

void coordinator_task::send(const std::string& endpoint, const protocol::CoordinatorEnvelope& envelope)
{
    auto& sender = m_senders[endpoint];
    if (!sender)
        sender = std::make_unique<transport::message_sender>(endpoint);
    const std::string bytes = envelope.SerializeAsString();
    if (!sender->send(zmq::message_t(bytes.data(), bytes.size())))
        utils::logEvent(utils::events::peerMessageDropped, { { "peer", endpoint } });
}

void coordinator_task::onPeer(zmq::message_t raw)
{
    protocol::CoordinatorEnvelope envelope;
    if (!envelope.ParseFromArray(raw.data(), static_cast<int>(raw.size()))) {
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "unreadable" }, { "bytes", std::to_string(raw.size()) } });
        return;
    }
    const auto now = utils::nowIncludingSuspend();
    switch (envelope.content_case()) {
    case protocol::CoordinatorEnvelope::kCall:
        onCall(envelope.call());
        return;
    case protocol::CoordinatorEnvelope::kReply:
        onReply(envelope.reply());
        return;
    case protocol::CoordinatorEnvelope::kHello:
        if (m_term != nullptr) {
            m_carriedRuns->heard({ envelope.hello().endpoint(), envelope.hello().data_centre(), envelope.hello().weight() }, now);
            m_rules->answerHello(envelope.hello(), now);
        }
        return;
    case protocol::CoordinatorEnvelope::kOrders:
        m_carrier->execute(envelope.orders());
        return;
    case protocol::CoordinatorEnvelope::kRunReplies:
        m_carriedRuns->take(envelope.run_replies(), now);
        return;
    case protocol::CoordinatorEnvelope::kRules:
        if (m_term == nullptr)
            m_rules->takeUpdate(envelope.rules());
        return;
    case protocol::CoordinatorEnvelope::CONTENT_NOT_SET:
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "unknown content" } });
        return;
    }
}

void coordinator_task::onCall(const protocol::CoordinatorCall& message)
{
    const auto call = readCall(message);
    const auto& endpoint = message.reply_endpoint();
    if (m_term == nullptr) {
        send(endpoint, encodeReply({ call.ticket, call_outcome::NotLeader, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} }));
        return;
    }
    m_term->answer(call, [this, endpoint](const job_reply& reply) { send(endpoint, encodeReply(reply)); });
}

void coordinator_task::onReply(const protocol::CoordinatorReply& message)
{
    auto reply = readReply(message);
    const auto found = m_remote.find(reply.ticket);
    if (found == m_remote.end())
        return;
    const auto call = found->second.call;
    m_remote.erase(found);
    const bool isOpen = reply.outcome == call_outcome::NotLeader || reply.outcome == call_outcome::Unsettled;
    if (reply.outcome == call_outcome::NotLeader)
        m_lead->suspectLeader();
    // The leader may not have heard yet of a job that was stored without it.
    if (isOpen || (reply.outcome == call_outcome::Absent && call.kind != call_kind::Pending)) {
        askStore(call, reply.outcome == call_outcome::Unsettled);
        return;
    }
    reply.ticket = call.ticket;
    finish(reply);
}

// Tells the leader regularly that this daemon carries orders.
void coordinator_task::sayHello(utils::time_point now)
{
    if (m_term != nullptr || m_isStopping || !m_lead->leader() || now < m_saidHelloAt + helloInterval)
        return;
    m_saidHelloAt = now;
    protocol::CoordinatorEnvelope envelope;
    envelope.mutable_hello()->set_endpoint(m_settings.peerEndpoint);
    envelope.mutable_hello()->set_data_centre(m_settings.dataCentre);
    envelope.mutable_hello()->set_weight(m_settings.processors);
    m_rules->fillHello(*envelope.mutable_hello(), now);
    send(m_lead->leader()->endpoint, envelope);
}

void coordinator_task::onTick()
{
    const auto now = utils::nowIncludingSuspend();
    sayHello(now);
    m_rules->tick(now);
    m_carriedRuns->expire(now);
    std::vector<job_call> unanswered;
    for (const auto& [ticket, remote] : m_remote) {
        if (now > remote.sentAt + std::min(leaderPatience, remote.call.patience / 2))
            unanswered.push_back(remote.call);
    }
    std::erase_if(m_remote, [&](const auto& entry) { return now > entry.second.sentAt + std::min(leaderPatience, entry.second.call.patience / 2); });
    for (auto& call : unanswered) {
        utils::logEvent(utils::events::leaderSilent, { { "job", call.subject }, { "leader", m_lead->leader() ? m_lead->leader()->daemon : "" } });
        call.patience -= std::min(leaderPatience, call.patience / 2);
        askStore(call, true);
    }
    const bool canServe = m_rules->rules() != nullptr && !m_isStopping && (m_lead->isStoreReached() || m_lead->leader() || m_term != nullptr);
    if (canServe != m_canServe) {
        m_canServe = canServe;
        m_context.front.post(service_state { canServe });
    }
}

} // namespace camphorsaddle::tasks
