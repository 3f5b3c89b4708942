#include "routing/allocator_authority.h"

#include <algorithm>

namespace camphorsaddle::routing {

allocator_authority::allocator_authority(std::string self, const slot_grant_options& options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void allocator_authority::setView(std::uint64_t view, std::vector<std::string> gateways)
{
    m_view = view;
    m_gateways = std::move(gateways);
}

void allocator_authority::setIsMember(bool isMember, utils::time_point now)
{
    if (isMember && !m_isMember)
        m_memberSince = now;
    if (!isMember)
        m_hasAgreement = false;
    m_isMember = isMember;
}

void allocator_authority::onResponse(const std::string& gateway, std::uint64_t view, utils::time_point requestedAt)
{
    auto& last = m_responses[gateway];
    if (requestedAt >= last.requestedAt)
        last = { view, requestedAt };
}

// Returns the earliest time among the requests to the other gateways that they last answered, if all of them responded
// with the current view. Returns nothing if one reported another view or its last response is older than the view TTL.
absl::optional<utils::time_point> allocator_authority::agreedSince(utils::time_point now) const
{
    auto oldest = now;
    for (const auto& gateway : m_gateways) {
        if (gateway == m_self)
            continue;
        const auto found = m_responses.find(gateway);
        if (found == m_responses.end() || found->second.view != m_view)
            return absl::nullopt;
        oldest = std::min(oldest, found->second.requestedAt);
    }
    if (now - oldest >= m_options.viewTtl)
        return absl::nullopt;
    return oldest;
}

void allocator_authority::update(std::map<std::string, slot_allocator>& allocators, utils::time_point now)
{
    // If this process was paused, the other gateways may have chosen other allocators in the meantime.
    if (now - m_updatedAt > m_options.viewTtl) {
        m_hasAgreement = false;
        m_memberSince = now;
    }
    m_updatedAt = now;
    if (m_gateways.empty())
        return;
    const auto agreedSinceTime = agreedSince(now);
    if (m_isMember && agreedSinceTime && *agreedSinceTime >= m_memberSince)
        m_hasAgreement = true;
    for (auto& [minion, allocator] : allocators) {
        const bool isOwnMinion = slotAllocatorOf(minion, m_gateways) == m_self;
        if (m_hasAgreement && (!isOwnMinion || allocator.isAllocator()))
            allocator.confirmView(isOwnMinion, now, now);
        else if (agreedSinceTime)
            allocator.confirmView(isOwnMinion, *agreedSinceTime, now);
    }
}

} // namespace camphorsaddle::routing
