#include "tasks/keys/keys_task.h"

#include <algorithm>
#include <chrono>

#include "absl/strings/str_cat.h"
#include "request_keys/key_codec.h"
#include "utils/events.h"
#include "utils/hashing.h"

namespace camphorsaddle::tasks {

using request_keys::claim_result;
using request_keys::claim_verdict;

namespace {

    constexpr utils::milliseconds storeTimeout { 2500 };
    constexpr utils::milliseconds releaseLimit { 1000 };
    constexpr double writeBurst = 10;

    request_keys::wall_milliseconds wallNow()
    {
        return std::chrono::duration_cast<utils::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::vector<membership::shard_location> placesOf(const settings::cluster_settings& cluster)
    {
        std::vector<membership::shard_location> places;
        for (int index = 0; index < cluster.requestKeyShardCount; ++index) {
            const auto& dataCentre = cluster.dataCentres[static_cast<std::size_t>(index) % cluster.dataCentres.size()];
            places.push_back({ absl::StrCat("keys-", index), dataCentre.name, dataCentre.region });
        }
        return places;
    }

} // namespace

keys_task::keys_task(daemon_context& context)
    : task(context)
    , m_client(transport::http_client::create(loop()))
    , m_httpStore(*m_client, context.settings.storeUrl, storeTimeout, context.metrics)
    , m_executor(loop())
    , m_store(m_httpStore, m_executor, context.metrics, { .callTimeout = storeTimeout, .seed = context.incarnation + 2 })
    , m_budget(context.settings.cluster.storeWritesPerSecond, writeBurst)
    , m_places(placesOf(context.settings.cluster))
{
}

keys_task::~keys_task() = default;

absl::Status keys_task::open()
{
    context().mailboxes.keys.open(loop(), [this](keys_message message) { handle(std::move(message)); });
    return absl::OkStatus();
}

void keys_task::close()
{
    m_owners.clear();
    context().mailboxes.keys.close();
}

void keys_task::handle(keys_message message)
{
    std::visit(overloaded {
                   [this](membership_changed& change) {
                       m_membership = std::move(change);
                       assign();
                   },
                   [this](const peer_message_received& received) { receive(received.envelope); },
                   [this](const key_claim& claimed) { claim(claimed); },
                   [this](const key_settlement& settled) { settle(settled); },
                   [this](const drain&) { leave(); },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void keys_task::assign()
{
    if (m_isDraining)
        return;
    const auto live = std::max<std::size_t>(1, m_membership.view.members.size());
    m_budget.setRate(static_cast<double>(context().settings.cluster.storeWritesPerSecond) / static_cast<double>(live));
    std::map<std::string, std::uint64_t> incarnations;
    for (const auto& member : m_membership.view.members)
        incarnations[member.id] = member.incarnation;
    for (const auto& place : m_places) {
        const auto* owner = membership::ownerOf(place, m_membership.view);
        const bool isOwn = m_membership.isMember && owner != nullptr && owner->id == context().settings.daemonId;
        auto known = m_owners.find(place.key);
        if (known != m_owners.end() && (!isOwn || known->second->isDeposed())) {
            utils::logEvent(utils::events::shardReleased, { { "shard", place.key } });
            m_owners.erase(known);
            known = m_owners.end();
        }
        if (!isOwn)
            continue;
        if (known != m_owners.end()) {
            known->second->setLive(incarnations);
            continue;
        }
        request_keys::owner_settings settings;
        settings.name = place.key;
        settings.writer = absl::StrCat(context().settings.daemonId, "-", context().incarnation, "-k", ++m_ownerCount);
        auto created = std::make_unique<request_keys::key_owner>(m_store, m_executor, m_budget, std::move(settings), wallNow);
        created->setLive(incarnations);
        created->open();
        m_owners[place.key] = std::move(created);
    }
}

void keys_task::leave()
{
    m_isDraining = true;
    const auto done = [this] {
        if (std::exchange(m_releasing, 0) > 0)
            context().mailboxes.application.post(task_drained { "keys" });
    };
    // One more than the shards, so that the last release reports.
    m_releasing = m_owners.size() + 1;
    for (const auto& [name, owner] : m_owners) {
        owner->release([this, done] {
            if (m_releasing > 1 && --m_releasing == 1)
                done();
        });
    }
    if (m_releasing == 1)
        done();
    else
        m_executor.callLater(releaseLimit, done);
}

void keys_task::receive(const protocol::PeerEnvelope& envelope)
{
    if (envelope.has_key_claim()) {
        const auto& asked = envelope.key_claim();
        const auto answer = [this, receiver = envelope.sender(), ticket = asked.ticket()](const claim_result& result) {
            protocol::PeerEnvelope message;
            message.mutable_key_claim_reply()->set_ticket(ticket);
            message.mutable_key_claim_reply()->set_verdict(static_cast<std::uint32_t>(result.verdict));
            *message.mutable_key_claim_reply()->mutable_answer() = request_keys::toMessage(result.answer);
            context().mailboxes.membership.post(send_peer_message { receiver, std::move(message) });
        };
        if (auto* owner = ownedShard(asked.key()))
            owner->claim(asked.key(), { envelope.sender(), envelope.incarnation(), asked.ticket() }, asked.fingerprint(), answer);
        else
            answer({ claim_verdict::Unavailable, {} });
    } else if (envelope.has_key_claim_reply()) {
        const auto& told = envelope.key_claim_reply();
        const auto verdict = std::min(told.verdict(), static_cast<std::uint32_t>(claim_verdict::Unavailable));
        reply(told.ticket(), { static_cast<claim_verdict>(verdict), request_keys::fromMessage(told.answer()) });
    } else if (envelope.has_key_settlement()) {
        const auto& told = envelope.key_settlement();
        auto* owner = ownedShard(told.key());
        if (owner != nullptr && told.end() <= static_cast<std::uint32_t>(request_keys::key_phase::Withdrawn))
            owner->settle(told.key(), { envelope.sender(), envelope.incarnation(), told.ticket() }, static_cast<request_keys::key_phase>(told.end()), request_keys::fromMessage(told.answer()));
    }
}

void keys_task::claim(const key_claim& message)
{
    if (auto* owner = ownedShard(message.key)) {
        owner->claim(message.key, { context().settings.daemonId, context().incarnation, message.ticket }, message.fingerprint,
            [this, ticket = message.ticket](const claim_result& result) { reply(ticket, result); });
        return;
    }
    const auto owner = ownerIdOf(message.key);
    if (owner.empty() || owner == context().settings.daemonId) {
        reply(message.ticket, { claim_verdict::Unavailable, {} });
        return;
    }
    protocol::PeerEnvelope envelope;
    envelope.mutable_key_claim()->set_ticket(message.ticket);
    envelope.mutable_key_claim()->set_key(message.key);
    envelope.mutable_key_claim()->set_fingerprint(message.fingerprint);
    context().mailboxes.membership.post(send_peer_message { owner, std::move(envelope) });
}

void keys_task::settle(const key_settlement& message)
{
    if (auto* owner = ownedShard(message.key)) {
        owner->settle(message.key, { context().settings.daemonId, context().incarnation, message.ticket }, message.end, message.answer);
        return;
    }
    const auto owner = ownerIdOf(message.key);
    if (owner.empty() || owner == context().settings.daemonId)
        return;
    protocol::PeerEnvelope envelope;
    auto& told = *envelope.mutable_key_settlement();
    told.set_ticket(message.ticket);
    told.set_key(message.key);
    told.set_end(static_cast<std::uint32_t>(message.end));
    *told.mutable_answer() = request_keys::toMessage(message.answer);
    context().mailboxes.membership.post(send_peer_message { owner, std::move(envelope) });
}

void keys_task::reply(std::uint64_t ticket, const claim_result& result)
{
    context().mailboxes.gateway.post(key_claim_reply { ticket, result });
}

const membership::shard_location& keys_task::placeOf(const std::string& key) const
{
    return m_places[utils::stableHash(key) % m_places.size()];
}

request_keys::key_owner* keys_task::ownedShard(const std::string& key)
{
    const auto found = m_owners.find(placeOf(key).key);
    return found == m_owners.end() ? nullptr : found->second.get();
}

std::string keys_task::ownerIdOf(const std::string& key) const
{
    const auto* owner = membership::ownerOf(placeOf(key), m_membership.view);
    return owner == nullptr ? std::string() : owner->id;
}

} // namespace camphorsaddle::tasks
