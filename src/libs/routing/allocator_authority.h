#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/optional.h"
#include "routing/slot_grants.h"
#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Decides for which minions this gateway is the slot allocator.
//!
//! The decision uses this gateway's view of the members and the views that the other gateways report.
//!
//! A gateway whose member lease is valid stays the allocator of its minions. This is safe because a gateway becomes the
//! allocator of a minion only after all members of its view, the previous allocator among them, have responded with the
//! same view, and because a member disappears from a view only after its lease has expired by the member's clock.
//! Therefore the loss of one gateway affects only the minions that it allocated.
//!
//! A gateway whose lease has expired, for example because the store is down, stays the allocator as long as all other
//! gateways respond with its view. After it has become a member again, it relies on its lease only when all others have
//! responded with its view since then.
class allocator_authority {
public:
    allocator_authority(std::string self, const slot_grant_options& options);

    //! \brief Sets the gateways of this gateway's region, itself included.
    //!
    //! \a view is the hash of the members; two gateways agree if their hashes are equal.
    void setView(std::uint64_t view, std::vector<std::string> gateways);

    //! \brief Sets whether this gateway's member lease is valid.
    void setIsMember(bool isMember, utils::time_point now);

    //! \brief Records the view with which another gateway responded to a message sent at \a requestedAt.
    void onResponse(const std::string& gateway, std::uint64_t view, utils::time_point requestedAt);

    //! \brief Confirms or withdraws this gateway as the allocator of each minion.
    //!
    //! Must be called at least five times per slot_grant_options::viewTtl.
    void update(std::map<std::string, slot_allocator>& allocators, utils::time_point now);

private:
    struct peer_response {
        std::uint64_t view = 0;
        utils::time_point requestedAt;
    };

    absl::optional<utils::time_point> agreedSince(utils::time_point now) const;

    std::string m_self;
    slot_grant_options m_options;
    std::uint64_t m_view = 0;
    std::vector<std::string> m_gateways;
    bool m_isMember = false;
    utils::time_point m_memberSince;
    utils::time_point m_updatedAt;
    //! Whether all members have responded with this gateway's view since its current member lease began.
    bool m_hasAgreement = false;
    std::map<std::string, peer_response> m_responses;
};

} // namespace camphorsaddle::routing
