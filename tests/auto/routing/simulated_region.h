#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "routing/allocator_authority.h"

namespace camphorsaddle::routing::test {

using utils::milliseconds;

inline constexpr int gatewayCount = 4;
inline constexpr int minionCount = 6;
inline constexpr int slotCount = 8;
inline constexpr milliseconds leaseTtl { 3500 };
inline constexpr milliseconds stepInterval { 50 };

inline std::string indexedName(char kind, int index)
{
    return std::string(1, kind) + std::to_string(index);
}

//! \brief Simulates gateways that exchange slot demands at each step, the store with their member leases, and membership views
//! that reach the gateways late.
class region {
public:
    explicit region(std::uint32_t seed)
        : m_random(seed)
    {
        for (int index = 0; index < gatewayCount; ++index)
            m_gateways.push_back(std::make_unique<gateway>(indexedName('g', index)));
    }

    void step()
    {
        m_now += stepInterval;
        removeExpiredLeases();
        for (auto& each : m_gateways)
            runGateway(*each);
    }

    void pause(int index, milliseconds duration)
    {
        m_gateways[static_cast<std::size_t>(index)]->pausedUntil = m_now + duration;
    }
    void disconnectWatch(int index, milliseconds duration)
    {
        m_gateways[static_cast<std::size_t>(index)]->watchDisconnectedUntil = m_now + duration;
    }
    void disconnectStore(int index, milliseconds duration)
    {
        m_gateways[static_cast<std::size_t>(index)]->storeDisconnectedUntil = m_now + duration;
    }
    void disconnectPeers(int index, milliseconds duration)
    {
        m_gateways[static_cast<std::size_t>(index)]->peersDisconnectedUntil = m_now + duration;
    }

    int totalGrantedSlots(int minion) const
    {
        int sum = 0;
        for (const auto& each : m_gateways)
            sum += each->requesters[static_cast<std::size_t>(minion)].grantedSlots(m_now);
        return sum;
    }

    std::string currentAllocator(int minion) const
    {
        return slotAllocatorOf(indexedName('m', minion), { m_storedMembers.begin(), m_storedMembers.end() });
    }

private:
    struct gateway {
        explicit gateway(std::string id)
            : name(std::move(id))
            , authority(name, slot_grant_options())
            , requesters(minionCount, slot_requester(slot_grant_options()))
        {
            for (int minion = 0; minion < minionCount; ++minion)
                allocators.try_emplace(indexedName('m', minion), slotCount, slot_grant_options());
        }

        std::string name;
        allocator_authority authority;
        std::map<std::string, slot_allocator> allocators;
        std::vector<slot_requester> requesters;
        std::set<std::string> view;
        utils::time_point leaseExpiresAt;
        utils::time_point pausedUntil;
        utils::time_point watchDisconnectedUntil;
        utils::time_point storeDisconnectedUntil;
        utils::time_point peersDisconnectedUntil;
    };

    static std::uint64_t viewHash(const std::set<std::string>& view)
    {
        std::uint64_t hash = 1;
        for (const auto& name : view)
            hash = hash * 31 + static_cast<std::uint64_t>(name[1]);
        return hash;
    }

    // The holder of a lease counts its TTL from the sending of the renewal, so the store removes the lease somewhat later.
    void removeExpiredLeases()
    {
        for (auto& each : m_gateways) {
            if (m_now >= each->leaseExpiresAt + milliseconds(m_random() % 400))
                m_storedMembers.erase(each->name);
        }
    }

    void runGateway(gateway& self)
    {
        if (m_now < self.pausedUntil)
            return;
        const bool isStoreReachable = m_now >= self.storeDisconnectedUntil;
        const bool isLeaseValid = m_now < self.leaseExpiresAt;
        if (!isLeaseValid)
            self.authority.setIsMember(false, m_now);
        if (isStoreReachable && (isLeaseValid || m_storedMembers.count(self.name) == 0)) {
            self.leaseExpiresAt = m_now + leaseTtl;
            // A gateway that joins reads the members, even if its watch is disconnected.
            if (m_storedMembers.insert(self.name).second)
                self.view = m_storedMembers;
        }
        if (isStoreReachable && m_now >= self.watchDisconnectedUntil)
            self.view = m_storedMembers;
        if (self.view.count(self.name) > 0)
            self.authority.setView(viewHash(self.view), { self.view.begin(), self.view.end() });
        self.authority.setIsMember(m_now < self.leaseExpiresAt && self.view.count(self.name) > 0, m_now);
        exchangeDemands(self);
    }

    void exchangeDemands(gateway& self)
    {
        for (auto& peer : m_gateways) {
            const bool isReachable = m_now >= self.peersDisconnectedUntil && m_now >= peer->peersDisconnectedUntil && m_now >= peer->pausedUntil;
            if (peer->name != self.name && self.view.count(peer->name) > 0 && isReachable && m_random() % 10 != 0)
                self.authority.onResponse(peer->name, viewHash(peer->view), m_now);
        }
        self.authority.update(self.allocators, m_now);
        for (int minion = 0; minion < minionCount; ++minion) {
            const auto allocator = slotAllocatorOf(indexedName('m', minion), { self.view.begin(), self.view.end() });
            for (auto& peer : m_gateways) {
                const bool isReachable = peer->name == self.name || (m_now >= self.peersDisconnectedUntil && m_now >= peer->peersDisconnectedUntil);
                if (peer->name != allocator || !isReachable || m_now < peer->pausedUntil)
                    continue;
                auto& requester = self.requesters[static_cast<std::size_t>(minion)];
                const auto demand = requester.makeDemand(0, slotCount, m_now);
                if (const auto grant = peer->allocators.at(indexedName('m', minion)).answerDemand(self.name, demand, m_now))
                    requester.acceptGrant(*grant, m_now);
            }
        }
    }

    std::mt19937 m_random;
    utils::time_point m_now { milliseconds(1000000) };
    std::set<std::string> m_storedMembers;
    std::vector<std::unique_ptr<gateway>> m_gateways;
};

//! \brief Faults that a property injects at random steps; each is expected once in the given number of steps, 0 for never.
struct fault_rates {
    unsigned stepsPerPause = 40;
    unsigned stepsPerWatchCut = 40;
    unsigned stepsPerStoreCut = 0;
    unsigned stepsPerPeerCut = 60;
};

//! \brief Runs a region with random faults and returns the greatest number of slots of one minion that were granted at the
//! same time.
inline int greatestGrantUnderFaults(std::uint32_t seed, const fault_rates& rates)
{
    region gateways(seed);
    std::mt19937 random(seed + 1);
    const auto randomGateway = [&] {
        return static_cast<int>(random() % gatewayCount);
    };
    const auto randomDuration = [&] {
        return milliseconds(random() % 12000);
    };
    const auto isDue = [&](unsigned steps) {
        return steps > 0 && random() % steps == 0;
    };
    int greatest = 0;
    for (int step = 0; step < 1200; ++step) {
        if (isDue(rates.stepsPerPause))
            gateways.pause(randomGateway(), randomDuration());
        if (isDue(rates.stepsPerWatchCut))
            gateways.disconnectWatch(randomGateway(), randomDuration());
        if (isDue(rates.stepsPerStoreCut))
            gateways.disconnectStore(randomGateway(), randomDuration());
        if (isDue(rates.stepsPerPeerCut))
            gateways.disconnectPeers(randomGateway(), randomDuration());
        gateways.step();
        for (int minion = 0; minion < minionCount; ++minion)
            greatest = std::max(greatest, gateways.totalGrantedSlots(minion));
    }
    return greatest;
}

} // namespace camphorsaddle::routing::test
