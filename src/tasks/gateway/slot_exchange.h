#pragma once

#include <functional>
#include <map>
#include <string>

#include "routing/allocator_authority.h"
#include "tasks/gateway/minion_table.h"
#include "tasks/messages.h"

namespace camphorsaddle::tasks {

//! \brief Exchanges slot demands and grants with the other gateways, and grants the slots of the minions allocated here.
//!
//! The slot allocator of a minion is a gateway in the minion's region; see routing::allocator_authority.
class slot_exchange {
public:
    using message_sender = std::function<void(const std::string& member, protocol::PeerEnvelope envelope)>;

    //! \a regions maps data centres to regions.
    slot_exchange(std::string self, std::map<std::string, std::string> regions, minion_table& minions, message_sender send);

    //! \brief Applies a membership change.
    void setMembers(const membership_changed& change, utils::time_point now);
    //! \brief Sends this gateway's demands to the slot allocators. \a waiting is the number of queued requests by service.
    void sendDemands(const std::map<std::string, std::size_t>& waiting, utils::time_point now);
    //! \brief Handles a message from another gateway; returns whether it granted slots.
    bool receive(const protocol::PeerEnvelope& envelope, utils::time_point now);

private:
    std::string regionOf(const std::string& dataCentre) const;
    std::vector<std::string> membersOf(const std::string& region) const;
    protocol::SlotGrants answerDemands(const std::string& requester, const protocol::SlotDemands& demands, utils::time_point now);
    bool acceptGrants(const protocol::SlotGrants& grants, utils::time_point now);

    std::string m_self;
    routing::allocator_authority m_authority;
    std::map<std::string, std::string> m_regions;
    minion_table& m_minions;
    message_sender m_send;
    std::vector<membership::member> m_members;
    //! Hash of the members in this gateway's region.
    std::uint64_t m_view = 0;
    std::string m_ownRegion;
    std::uint64_t m_exchangeNumber = 0;
    //! Send times of the last exchanges by number.
    std::map<std::uint64_t, utils::time_point> m_requestedAt;
    std::map<std::string, routing::slot_allocator> m_allocators;
};

} // namespace camphorsaddle::tasks
