#include "tasks/membership/membership_task.h"

#include "absl/strings/str_cat.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    //! Above the 2 s that a slow store takes, below the lease term.
    constexpr utils::milliseconds storeTimeout { 2500 };

    membership::session_settings sessionSettings(const settings::cluster_settings& cluster)
    {
        membership::session_settings result;
        result.leaseDuration = cluster.leaseDuration;
        result.heartbeatInterval = cluster.heartbeatInterval;
        return result;
    }

    std::string urlOf(const settings::endpoint& endpoint)
    {
        return absl::StrCat("http://", endpoint.address, ":", endpoint.port);
    }

    membership::member selfOf(const daemon_context& context)
    {
        const auto& settings = context.settings;
        membership::member self;
        self.id = settings.daemonId;
        self.dataCentre = settings.dataCentre;
        self.region = settings.region;
        self.peerEndpoint = absl::StrCat("tcp://", settings.peer.address, ":", settings.peer.port);
        self.administrationUrl = urlOf(settings.administration);
        self.gatewayUrl = urlOf(settings.gateway);
        self.incarnation = context.incarnation;
        return self;
    }

} // namespace

membership_task::membership_task(daemon_context& context)
    : task(context)
    , m_self(selfOf(context))
    , m_client(transport::http_client::create(loop()))
    , m_httpStore(*m_client, context.settings.storeUrl, storeTimeout, context.metrics)
    , m_executor(loop())
    , m_store(m_httpStore, m_executor, context.metrics, { .callTimeout = storeTimeout, .seed = context.incarnation + 1 })
    , m_session(m_store, m_executor, m_self, sessionSettings(context.settings.cluster), context.incarnation,
          { .report = [this](const membership::membership_report& report) { publish(report); },
              .sendHeartbeat = [this] { sendHeartbeat(); },
              .left = [this] {
                  this->context().mailboxes.application.post(task_drained { "membership" });
              } })
{
}

membership_task::~membership_task() = default;

absl::Status membership_task::open()
{
    try {
        m_receiver = std::make_unique<transport::message_receiver>(loop(), m_self.peerEndpoint, [this](const zmq::message_t& raw) { receive(raw); });
    } catch (const zmq::error_t& failure) {
        return utils::makeError(absl::StatusCode::kUnavailable, "listen for peers", m_self.peerEndpoint, failure.what());
    }
    context().mailboxes.membership.open(loop(), [this](membership_message message) { handle(std::move(message)); });
    m_session.start();
    return absl::OkStatus();
}

void membership_task::handle(membership_message message)
{
    std::visit(overloaded {
                   [this](send_peer_message& request) { send(request.receiver, std::move(request.envelope)); },
                   [this](const configuration_applied& change) { m_configurationRevision = change.revision; },
                   [this](const drain&) {
                       m_isLeaving = true;
                       m_session.leave();
                   },
                   [this](workers_unreachable& change) { m_session.setUnreachable(std::move(change.dataCentres)); },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void membership_task::receive(const zmq::message_t& raw)
{
    protocol::PeerEnvelope envelope;
    if (!envelope.ParseFromArray(raw.data(), static_cast<int>(raw.size())))
        return;
    m_session.heard(envelope.sender());
    dispatch(std::move(envelope));
}

void membership_task::dispatch(protocol::PeerEnvelope envelope)
{
    auto& mailboxes = context().mailboxes;
    switch (envelope.payload_case()) {
    case protocol::PeerEnvelope::kCall:
    case protocol::PeerEnvelope::kReply:
        mailboxes.administration.post(peer_message_received { std::move(envelope) });
        return;
    case protocol::PeerEnvelope::kHeartbeat:
    case protocol::PeerEnvelope::kConfiguration:
        mailboxes.configurator.post(peer_message_received { std::move(envelope) });
        return;
    case protocol::PeerEnvelope::kSlotDemands:
    case protocol::PeerEnvelope::kSlotGrants:
        mailboxes.gateway.post(peer_message_received { std::move(envelope) });
        return;
    case protocol::PeerEnvelope::kKeyClaim:
    case protocol::PeerEnvelope::kKeyClaimReply:
    case protocol::PeerEnvelope::kKeySettlement:
        mailboxes.keys.post(peer_message_received { std::move(envelope) });
        return;
    case protocol::PeerEnvelope::PAYLOAD_NOT_SET:
        return;
    }
}

void membership_task::send(const std::string& receiver, protocol::PeerEnvelope envelope)
{
    envelope.set_sender(m_self.id);
    envelope.set_incarnation(m_self.incarnation);
    const std::string content = envelope.SerializeAsString();
    for (auto& [id, peer] : m_peers) {
        if (receiver.empty() || receiver == id)
            peer.sender->send(zmq::message_t(content));
    }
}

void membership_task::sendHeartbeat()
{
    protocol::PeerEnvelope envelope;
    envelope.mutable_heartbeat()->set_configuration_revision(m_configurationRevision);
    envelope.mutable_heartbeat()->set_leaving(m_isLeaving);
    send({}, std::move(envelope));
}

void membership_task::publish(const membership::membership_report& report)
{
    updatePeers(report.view);
    const membership_changed change { report.view, report.silent, report.isMember };
    context().mailboxes.gateway.post(change);
    context().mailboxes.scheduler.post(change);
    context().mailboxes.configurator.post(change);
    context().mailboxes.administration.post(change);
    context().mailboxes.keys.post(change);
}

void membership_task::updatePeers(const membership::member_view& view)
{
    std::map<std::string, membership::member> wanted;
    for (const auto& member : view.members) {
        if (member.id != m_self.id)
            wanted[member.id] = member;
    }
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const auto found = wanted.find(it->first);
        if (found != wanted.end() && found->second == it->second.member) {
            wanted.erase(found);
            ++it;
            continue;
        }
        utils::logEvent(utils::events::memberLeft, { { "daemon", it->first } });
        it = m_peers.erase(it);
    }
    for (auto& [id, member] : wanted) {
        utils::logEvent(utils::events::memberJoined, { { "daemon", id }, { "endpoint", member.peerEndpoint } });
        auto sender = std::make_unique<transport::message_sender>(member.peerEndpoint);
        m_peers[id] = { std::move(member), std::move(sender) };
    }
}

} // namespace camphorsaddle::tasks
