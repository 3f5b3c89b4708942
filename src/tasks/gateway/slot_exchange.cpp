#include "tasks/gateway/slot_exchange.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::tasks {

namespace {

    //! Number of the last exchanges whose responses are still accepted.
    constexpr std::size_t maximumPendingExchanges = 32;

    std::uint64_t viewHash(const std::vector<membership::member>& members, const std::string& region)
    {
        std::string text;
        for (const auto& member : members) {
            if (member.region == region)
                absl::StrAppend(&text, member.id, "/", member.incarnation, "\n");
        }
        return utils::stableHash(text);
    }

} // namespace

slot_exchange::slot_exchange(std::string self, std::map<std::string, std::string> regions, minion_table& minions, message_sender send)
    : m_self(std::move(self))
    , m_authority(m_self, routing::slot_grant_options())
    , m_regions(std::move(regions))
    , m_minions(minions)
    , m_send(std::move(send))
{
}

void slot_exchange::setMembers(const membership_changed& change, utils::time_point now)
{
    // While the store is down, a daemon without a valid lease keeps using the last view that lists it.
    const bool isListed = std::any_of(change.view.members.begin(), change.view.members.end(), [this](const auto& member) { return member.id == m_self; });
    m_authority.setIsMember(change.isMember && isListed, now);
    if (!isListed)
        return;
    m_members = change.view.members;
    const auto own = std::find_if(m_members.begin(), m_members.end(), [this](const auto& member) { return member.id == m_self; });
    m_ownRegion = own->region;
    m_view = viewHash(m_members, m_ownRegion);
    m_authority.setView(m_view, membersOf(m_ownRegion));
}

std::string slot_exchange::regionOf(const std::string& dataCentre) const
{
    const auto found = m_regions.find(dataCentre);
    return found == m_regions.end() ? std::string() : found->second;
}

std::vector<std::string> slot_exchange::membersOf(const std::string& region) const
{
    std::vector<std::string> ids;
    for (const auto& member : m_members) {
        if (member.region == region)
            ids.push_back(member.id);
    }
    return ids;
}

void slot_exchange::sendDemands(const std::map<std::string, std::size_t>& waiting, utils::time_point now)
{
    if (m_members.empty())
        return;
    std::map<std::string, protocol::SlotDemands> messages;
    for (const auto& member : m_members)
        messages[member.id];
    for (const auto& [host, demand] : m_minions.nextDemands(waiting, now)) {
        const auto region = regionOf(host.dataCentre);
        const auto allocator = routing::slotAllocatorOf(host.id, membersOf(region));
        if (region == m_ownRegion)
            m_allocators.try_emplace(host.id, host.slots, routing::slot_grant_options(), utils::stableHash(host.id));
        if (allocator.empty())
            continue;
        auto& entry = *messages[allocator].add_demands();
        entry.set_minion(host.id);
        entry.set_number(demand.number);
        entry.set_keeps(demand.keeps);
        entry.set_wanted(demand.wanted);
    }
    m_requestedAt[++m_exchangeNumber] = now;
    while (m_requestedAt.size() > maximumPendingExchanges)
        m_requestedAt.erase(m_requestedAt.begin());
    m_authority.update(m_allocators, now);
    for (auto& [member, message] : messages) {
        message.set_number(m_exchangeNumber);
        message.set_view(m_view);
        if (member == m_self) {
            acceptGrants(answerDemands(m_self, message, now), now);
            continue;
        }
        protocol::PeerEnvelope envelope;
        *envelope.mutable_slot_demands() = std::move(message);
        m_send(member, std::move(envelope));
    }
}

bool slot_exchange::receive(const protocol::PeerEnvelope& envelope, utils::time_point now)
{
    if (envelope.has_slot_demands()) {
        protocol::PeerEnvelope reply;
        *reply.mutable_slot_grants() = answerDemands(absl::StrCat(envelope.sender(), "/", envelope.incarnation()), envelope.slot_demands(), now);
        m_send(envelope.sender(), std::move(reply));
        return false;
    }
    const auto& grants = envelope.slot_grants();
    const auto requested = m_requestedAt.find(grants.number());
    if (requested == m_requestedAt.end())
        return false;
    m_authority.onResponse(envelope.sender(), grants.view(), requested->second);
    return acceptGrants(grants, now);
}

protocol::SlotGrants slot_exchange::answerDemands(const std::string& requester, const protocol::SlotDemands& demands, utils::time_point now)
{
    protocol::SlotGrants grants;
    grants.set_number(demands.number());
    grants.set_view(m_view);
    for (const auto& demand : demands.demands()) {
        const auto allocator = m_allocators.find(demand.minion());
        if (allocator == m_allocators.end())
            continue;
        const auto grant = allocator->second.answerDemand(requester, { demand.number(), demand.keeps(), demand.wanted() }, now);
        if (!grant)
            continue;
        auto& entry = *grants.add_grants();
        entry.set_minion(demand.minion());
        entry.set_number(grant->number);
        entry.set_slots(grant->slots);
        entry.set_target(grant->target);
    }
    return grants;
}

bool slot_exchange::acceptGrants(const protocol::SlotGrants& grants, utils::time_point now)
{
    bool isAnyAccepted = false;
    for (const auto& grant : grants.grants())
        isAnyAccepted = m_minions.acceptGrant(grant.minion(), { grant.number(), grant.slots(), grant.target() }, now) || isAnyAccepted;
    return isAnyAccepted;
}

} // namespace camphorsaddle::tasks
