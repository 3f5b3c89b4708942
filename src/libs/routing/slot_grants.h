#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Validity of slot grants and membership views.
struct slot_grant_options {
    //! How long a gateway may use granted slots, counted from when it sent the demand.
    utils::milliseconds grantTtl { 2000 };
    //! How long a slot allocator may rely on a confirmed membership view.
    utils::milliseconds viewTtl { 1000 };

    auto operator<=>(const slot_grant_options&) const = default;
};

//! \brief Request of a gateway to the slot allocator of a minion. Of one requester, only the demand with the greatest number counts.
struct slot_demand {
    std::uint64_t number = 0;
    //! Granted slots that the requester still uses; it has released the others.
    int keeps = 0;
    //! Slots that the requester could use.
    int wanted = 0;

    auto operator<=>(const slot_demand&) const = default;
};

//! \brief Response to the demand of the same number.
struct slot_grant {
    std::uint64_t number = 0;
    //! Maximum number of requests in flight.
    int slots = 0;
    //! The requester starts no request beyond this number. Below slots if other gateways need slots: the requester then
    //! releases slots as its requests end.
    int target = 0;

    auto operator<=>(const slot_grant&) const = default;
};

//! \brief Slot allocator of a minion: one of \a gateways, chosen by rendezvous hashing. Empty if there is no gateway.
std::string slotAllocatorOf(absl::string_view minion, const std::vector<std::string>& gateways);

//! \brief Grants one minion's slots to the gateways.
//!
//! Each gateway has a slot_allocator for each minion but grants slots only while it is the minion's allocator: for
//! viewTtl after the last confirmed view that names it. A gateway that becomes the allocator first waits for viewTtl, in
//! which the previous allocator may still grant slots, and for grantTtl, until that allocator's last grant has expired.
class slot_allocator {
public:
    //! \a seed differs between minions, so that the slots left over by the division go to other gateways at each minion.
    slot_allocator(int slots, const slot_grant_options& options, std::uint64_t seed = 0);

    //! \brief Handles a membership view that matched the store at \a viewReadAt or later. \a isAllocator: the view names this gateway.
    void confirmView(bool isAllocator, utils::time_point viewReadAt, utils::time_point now);

    //! \brief Answers a demand; returns nothing if this gateway may not grant slots now or if a newer demand has been answered.
    absl::optional<slot_grant> answerDemand(const std::string& requester, const slot_demand& demand, utils::time_point now);

    //! \brief Whether this gateway may grant slots at \a now.
    bool mayGrant(utils::time_point now) const;

    //! \brief Whether the last view named this gateway.
    bool isAllocator() const
    {
        return m_isAllocator;
    }

private:
    struct allocation {
        std::uint64_t number = 0;
        int slots = 0;
        int wanted = 0;
        utils::time_point expiresAt;
    };

    //! Slots of \a requester if all slots were divided in proportion to the wanted ones.
    int targetSlots(const std::string& requester, utils::time_point now) const;

    int m_slots;
    slot_grant_options m_options;
    std::uint64_t m_seed;
    bool m_isAllocator = false;
    utils::time_point m_viewReadAt;
    utils::time_point m_grantsFrom;
    std::map<std::string, allocation> m_allocations;
};

//! \brief Requests slots of one minion for this gateway and tracks the granted ones.
class slot_requester {
public:
    explicit slot_requester(const slot_grant_options& options);

    //! \brief Creates the next demand and releases the unused slots beyond \a wanted.
    slot_demand makeDemand(int inFlight, int wanted, utils::time_point now);

    //! \brief Applies a grant; returns false if it does not answer the last demand or has expired.
    bool acceptGrant(const slot_grant& grant, utils::time_point now);

    //! \brief Maximum number of requests in flight; requests beyond it must be cancelled.
    int grantedSlots(utils::time_point now) const;

    //! \brief Number of requests in flight up to which new ones may be sent.
    int usableSlots(utils::time_point now) const;

    //! \brief Whether a new request may be sent while \a inFlight requests are in flight.
    bool hasFreeSlot(int inFlight, utils::time_point now) const;

    //! \brief When the current grant expires.
    utils::time_point expiresAt() const
    {
        return m_expiresAt;
    }

private:
    slot_grant_options m_options;
    std::uint64_t m_demandNumber = 0;
    utils::time_point m_demandSentAt;
    bool m_isDemandAnswered = true;
    int m_slots = 0;
    int m_target = 0;
    utils::time_point m_expiresAt;
};

} // namespace camphorsaddle::routing
