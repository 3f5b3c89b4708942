#include "routing/slot_grants.h"

#include <algorithm>
#include <tuple>

#include "utils/hashing.h"

namespace camphorsaddle::routing {

std::string slotAllocatorOf(absl::string_view minion, const std::vector<std::string>& gateways)
{
    const std::string* best = nullptr;
    std::uint64_t bestScore = 0;
    const auto seed = utils::stableHash(minion);
    for (const auto& gateway : gateways) {
        const auto score = utils::stableHash(gateway, seed);
        if (best != nullptr && (score < bestScore || (score == bestScore && gateway > *best)))
            continue;
        best = &gateway;
        bestScore = score;
    }
    return best == nullptr ? std::string() : *best;
}

slot_allocator::slot_allocator(int slots, const slot_grant_options& options, std::uint64_t seed)
    : m_slots(slots)
    , m_options(options)
    , m_seed(seed)
{
}

// After a gap between confirmed views the wait starts again, because another gateway may have been the allocator in the gap.
void slot_allocator::confirmView(bool isAllocator, utils::time_point viewReadAt, utils::time_point now)
{
    if (viewReadAt < m_viewReadAt)
        return;
    const bool isGap = viewReadAt - m_viewReadAt > std::min(m_options.viewTtl, m_options.grantTtl);
    if (isAllocator && (!m_isAllocator || isGap))
        m_grantsFrom = now + m_options.viewTtl + m_options.grantTtl;
    m_isAllocator = isAllocator;
    m_viewReadAt = viewReadAt;
}

bool slot_allocator::mayGrant(utils::time_point now) const
{
    return m_isAllocator && now >= m_grantsFrom && now < m_viewReadAt + m_options.viewTtl;
}

// Divides all slots in proportion to the wanted ones by the largest remainder method, so that none stays unassigned.
int slot_allocator::targetSlots(const std::string& requester, utils::time_point now) const
{
    struct portion {
        int wholeSlots = 0;
        int remainder = 0;
        std::uint64_t order = 0;
        bool isRequester = false;
    };
    int totalWanted = 0;
    for (const auto& [name, allocation] : m_allocations)
        totalWanted += name == requester || now < allocation.expiresAt ? allocation.wanted : 0;
    if (totalWanted == 0)
        return 0;
    std::vector<portion> portions;
    int remaining = m_slots;
    for (const auto& [name, allocation] : m_allocations) {
        if (name != requester && allocation.expiresAt <= now)
            continue;
        const int product = m_slots * allocation.wanted;
        portions.push_back({ product / totalWanted, product % totalWanted, utils::stableHash(name, m_seed), name == requester });
        remaining -= portions.back().wholeSlots;
    }
    std::sort(portions.begin(), portions.end(), [](const portion& a, const portion& b) { return std::tie(b.remainder, b.order) < std::tie(a.remainder, a.order); });
    const auto found = std::find_if(portions.begin(), portions.end(), [](const portion& candidate) { return candidate.isRequester; });
    return found->wholeSlots + (found - portions.begin() < remaining ? 1 : 0);
}

absl::optional<slot_grant> slot_allocator::answerDemand(const std::string& requester, const slot_demand& demand, utils::time_point now)
{
    if (!mayGrant(now))
        return absl::nullopt;
    auto& current = m_allocations[requester];
    if (demand.number <= current.number)
        return absl::nullopt;
    int granted = 0;
    for (const auto& [name, allocation] : m_allocations) {
        if (&allocation == &current || allocation.expiresAt <= now)
            continue;
        granted += allocation.slots;
    }
    // The requester has released the slots beyond demand.keeps; those below it may be in use and can't be revoked.
    const int kept = current.expiresAt <= now ? 0 : std::min(current.slots, demand.keeps);
    current.wanted = std::max(0, demand.wanted);
    const int target = targetSlots(requester, now);
    current.number = demand.number;
    current.slots = std::max(kept, std::min(target, m_slots - granted));
    current.expiresAt = now + m_options.grantTtl;
    return slot_grant { demand.number, current.slots, target };
}

slot_requester::slot_requester(const slot_grant_options& options)
    : m_options(options)
{
}

slot_demand slot_requester::makeDemand(int inFlight, int wanted, utils::time_point now)
{
    const int held = grantedSlots(now);
    m_slots = std::min(held, std::max(inFlight, std::min(wanted, m_target)));
    m_demandSentAt = now;
    m_isDemandAnswered = false;
    return { ++m_demandNumber, m_slots, std::max(wanted, m_slots) };
}

bool slot_requester::acceptGrant(const slot_grant& grant, utils::time_point now)
{
    const auto expiresAt = m_demandSentAt + m_options.grantTtl;
    if (grant.number != m_demandNumber || m_isDemandAnswered || expiresAt <= now)
        return false;
    m_isDemandAnswered = true;
    m_slots = grant.slots;
    m_target = grant.target;
    m_expiresAt = expiresAt;
    return true;
}

int slot_requester::grantedSlots(utils::time_point now) const
{
    return now < m_expiresAt ? m_slots : 0;
}

int slot_requester::usableSlots(utils::time_point now) const
{
    return std::min(grantedSlots(now), m_target);
}

bool slot_requester::hasFreeSlot(int inFlight, utils::time_point now) const
{
    return inFlight < usableSlots(now);
}

} // namespace camphorsaddle::routing
