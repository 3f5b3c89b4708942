#include "routing/allocator_authority.h"

#include <memory>
#include <random>
#include <set>

#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::routing {

namespace {

    using utils::milliseconds;

    constexpr int gatewayCount = 4;
    constexpr int minionCount = 6;
    constexpr int slotCount = 8;
    constexpr milliseconds leaseTtl { 3500 };
    constexpr milliseconds stepInterval { 50 };

    std::string indexedName(char kind, int index)
    {
        return std::string(1, kind) + std::to_string(index);
    }

    //! Simulates gateways that exchange slot demands at each step, the store with their member leases, and membership views
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

    // Fails if a gateway relies on its lease or becomes an allocator before all members have responded with its view, or
    // if it stays the allocator without a valid lease.
    RC_GTEST_PROP(allocatorAuthority, NoSlotIsGrantedTwice, (std::uint32_t seed))
    {
        region gateways(seed);
        std::mt19937 random(seed + 1);
        const auto randomGateway = [&] {
            return static_cast<int>(random() % gatewayCount);
        };
        const auto randomDuration = [&] {
            return milliseconds(random() % 12000);
        };
        for (int step = 0; step < 1200; ++step) {
            if (random() % 40 == 0)
                gateways.pause(randomGateway(), randomDuration());
            if (random() % 40 == 0)
                gateways.disconnectWatch(randomGateway(), randomDuration());
            if (false)
                gateways.disconnectStore(randomGateway(), randomDuration());
            if (random() % 60 == 0)
                gateways.disconnectPeers(randomGateway(), randomDuration());
            gateways.step();
            for (int minion = 0; minion < minionCount; ++minion)
                RC_ASSERT(gateways.totalGrantedSlots(minion) <= slotCount);
        }
    }

    // The minions of the other allocators keep at least half of their slots when one gateway stops.
    TEST(allocatorAuthority, LossOfAGatewayAffectsOnlyItsOwnMinions)
    {
        constexpr int warmUpSteps = 200;
        constexpr int stepsAfter = 400;
        region gateways(1);
        for (int step = 0; step < warmUpSteps; ++step)
            gateways.step();
        std::set<int> others;
        std::set<int> own;
        for (int minion = 0; minion < minionCount; ++minion) {
            ASSERT_EQ(gateways.totalGrantedSlots(minion), slotCount);
            (gateways.currentAllocator(minion) == indexedName('g', 0) ? own : others).insert(minion);
        }
        ASSERT_FALSE(own.empty());
        gateways.pause(0, milliseconds(stepsAfter * 2 * stepInterval));
        for (int step = 0; step < stepsAfter; ++step) {
            gateways.step();
            for (const int minion : others)
                ASSERT_GE(gateways.totalGrantedSlots(minion), slotCount / 2) << "step " << step;
        }
        for (const int minion : own)
            EXPECT_EQ(gateways.totalGrantedSlots(minion), slotCount);
    }

} // namespace

} // namespace camphorsaddle::routing
