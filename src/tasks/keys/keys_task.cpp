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
    constexpr utils::milliseconds releaseTimeout { 1000 };
    constexpr double writeBurstSize = 10;

    request_keys::wall_milliseconds wallNow()
    {
        return std::chrono::duration_cast<utils::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::vector<membership::shard_location> shardLocations(const settings::cluster_settings& cluster)
    {
        std::vector<membership::shard_location> locations;
        for (int index = 0; index < cluster.requestKeyShardCount; ++index) {
            const auto& dataCentre = cluster.dataCentres[static_cast<std::size_t>(index) % cluster.dataCentres.size()];
            locations.push_back({ absl::StrCat("keys-", index), dataCentre.name, dataCentre.region });
        }
        return locations;
    }

} // namespace

keys_task::keys_task(daemon_context& context)
    : task(context)
    , m_client(transport::http_client::create(loop()))
    , m_httpStore(*m_client, context.settings.storeUrl, storeTimeout, context.metrics)
    , m_executor(loop())
    , m_store(m_httpStore, m_executor, context.metrics, { .callTimeout = storeTimeout, .seed = context.incarnation + 2 })
    , m_budget(context.settings.cluster.storeWritesPerSecond, writeBurstSize)
    , m_shards(shardLocations(context.settings.cluster))
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
                       updateShards();
                   },
                   [this](const peer_message_received& received) { receive(received.envelope); },
                   [this](const key_claim& claim) { handleClaim(claim); },
                   [this](const key_settlement& settlement) { handleSettlement(settlement); },
                   [this](const drain&) { releaseShards(); },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void keys_task::updateShards()
{
    if (m_isDraining)
        return;
    const auto memberCount = std::max<std::size_t>(1, m_membership.view.members.size());
    m_budget.setRate(static_cast<double>(context().settings.cluster.storeWritesPerSecond) / static_cast<double>(memberCount));
    std::map<std::string, std::uint64_t> incarnations;
    for (const auto& member : m_membership.view.members)
        incarnations[member.id] = member.incarnation;
    for (const auto& shard : m_shards) {
        const auto* owner = membership::ownerOf(shard, m_membership.view);
        const bool isOwn = m_membership.isMember && owner != nullptr && owner->id == context().settings.daemonId;
        auto currentOwner = m_owners.find(shard.key);
        if (currentOwner != m_owners.end() && (!isOwn || currentOwner->second->hasLostOwnership())) {
            utils::logEvent(utils::events::shardReleased, { { "shard", shard.key } });
            m_owners.erase(currentOwner);
            currentOwner = m_owners.end();
        }
        if (!isOwn)
            continue;
        if (currentOwner != m_owners.end()) {
            currentOwner->second->setLiveMembers(incarnations);
            continue;
        }
        request_keys::key_shard_options settings;
        settings.name = shard.key;
        settings.writer = absl::StrCat(context().settings.daemonId, "-", context().incarnation, "-k", ++m_ownerCount);
        auto created = std::make_unique<request_keys::key_shard_owner>(m_store, m_executor, m_budget, std::move(settings), wallNow);
        created->setLiveMembers(incarnations);
        created->open();
        m_owners[shard.key] = std::move(created);
    }
}

void keys_task::releaseShards()
{
    m_isDraining = true;
    const auto reportDrained = [this] {
        if (std::exchange(m_remainingReleases, 0) > 0)
            context().mailboxes.application.post(task_drained { "keys" });
    };
    // Counts one more than the shards: 1 means that all shards are released, 0 that the end of the drain was reported.
    m_remainingReleases = m_owners.size() + 1;
    for (const auto& [name, owner] : m_owners) {
        owner->release([this, reportDrained] {
            if (m_remainingReleases > 1 && --m_remainingReleases == 1)
                reportDrained();
        });
    }
    if (m_remainingReleases == 1)
        reportDrained();
    else
        m_executor.callLater(releaseTimeout, reportDrained);
}

void keys_task::receive(const protocol::PeerEnvelope& envelope)
{
    if (envelope.has_key_claim()) {
        const auto& keyClaim = envelope.key_claim();
        const auto answer = [this, receiver = envelope.sender(), ticket = keyClaim.ticket()](const claim_result& result) {
            protocol::PeerEnvelope message;
            message.mutable_key_claim_reply()->set_ticket(ticket);
            message.mutable_key_claim_reply()->set_verdict(static_cast<std::uint32_t>(result.verdict));
            *message.mutable_key_claim_reply()->mutable_answer() = request_keys::toMessage(result.answer);
            context().mailboxes.membership.post(send_peer_message { receiver, std::move(message) });
        };
        if (auto* owner = findOwnedShard(keyClaim.key()))
            owner->claim(keyClaim.key(), { envelope.sender(), envelope.incarnation(), keyClaim.ticket() }, keyClaim.fingerprint(), answer);
        else
            answer({ claim_verdict::Unavailable, {} });
    } else if (envelope.has_key_claim_reply()) {
        const auto& claimReply = envelope.key_claim_reply();
        const auto verdict = std::min(claimReply.verdict(), static_cast<std::uint32_t>(claim_verdict::Unavailable));
        replyToGateway(claimReply.ticket(), { static_cast<claim_verdict>(verdict), request_keys::fromMessage(claimReply.answer()) });
    } else if (envelope.has_key_settlement()) {
        const auto& settlement = envelope.key_settlement();
        auto* owner = findOwnedShard(settlement.key());
        if (owner != nullptr && settlement.end() <= static_cast<std::uint32_t>(request_keys::key_phase::Withdrawn))
            owner->endClaim(settlement.key(), { envelope.sender(), envelope.incarnation(), settlement.ticket() }, static_cast<request_keys::key_phase>(settlement.end()), request_keys::fromMessage(settlement.answer()));
    }
}

void keys_task::handleClaim(const key_claim& message)
{
    if (auto* owner = findOwnedShard(message.key)) {
        owner->claim(message.key, { context().settings.daemonId, context().incarnation, message.ticket }, message.fingerprint,
            [this, ticket = message.ticket](const claim_result& result) { replyToGateway(ticket, result); });
        return;
    }
    const auto ownerId = ownerIdOf(message.key);
    if (ownerId.empty() || ownerId == context().settings.daemonId) {
        replyToGateway(message.ticket, { claim_verdict::Unavailable, {} });
        return;
    }
    protocol::PeerEnvelope envelope;
    envelope.mutable_key_claim()->set_ticket(message.ticket);
    envelope.mutable_key_claim()->set_key(message.key);
    envelope.mutable_key_claim()->set_fingerprint(message.fingerprint);
    context().mailboxes.membership.post(send_peer_message { ownerId, std::move(envelope) });
}

void keys_task::handleSettlement(const key_settlement& message)
{
    if (auto* owner = findOwnedShard(message.key)) {
        owner->endClaim(message.key, { context().settings.daemonId, context().incarnation, message.ticket }, message.end, message.answer);
        return;
    }
    const auto ownerId = ownerIdOf(message.key);
    if (ownerId.empty() || ownerId == context().settings.daemonId)
        return;
    protocol::PeerEnvelope envelope;
    auto& settlement = *envelope.mutable_key_settlement();
    settlement.set_ticket(message.ticket);
    settlement.set_key(message.key);
    settlement.set_end(static_cast<std::uint32_t>(message.end));
    *settlement.mutable_answer() = request_keys::toMessage(message.answer);
    context().mailboxes.membership.post(send_peer_message { ownerId, std::move(envelope) });
}

void keys_task::replyToGateway(std::uint64_t ticket, const claim_result& result)
{
    context().mailboxes.gateway.post(key_claim_reply { ticket, result });
}

const membership::shard_location& keys_task::shardOf(const std::string& key) const
{
    return m_shards[utils::stableHash(key) % m_shards.size()];
}

request_keys::key_shard_owner* keys_task::findOwnedShard(const std::string& key)
{
    const auto found = m_owners.find(shardOf(key).key);
    return found == m_owners.end() ? nullptr : found->second.get();
}

std::string keys_task::ownerIdOf(const std::string& key) const
{
    const auto* owner = membership::ownerOf(shardOf(key), m_membership.view);
    return owner == nullptr ? std::string() : owner->id;
}

} // namespace camphorsaddle::tasks
