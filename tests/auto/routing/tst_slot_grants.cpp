#include "routing/slot_grants.h"

#include <algorithm>
#include <random>
#include <set>

#include "absl/strings/str_cat.h"

#include "gtest/gtest.h"

#include "rapidcheck/gtest.h"

namespace camphorsaddle::routing {

namespace {

    using utils::milliseconds;

    constexpr int gatewayCount = 4;
    constexpr int slotCount = 8;
    const std::string minion = "minion-0";

    std::string gatewayName(int index)
    {
        return absl::StrCat("gateway-", index);
    }

    //! \brief A message in transit.
    struct message {
        int sender = 0;
        int receiver = 0;
        utils::time_point arrivesAt;
        slot_demand demand;
        slot_grant grant;
        bool isGrant = false;
    };

    //! \brief A gateway that is the allocator and the requester of slots.
    struct gateway {
        slot_allocator allocator { slotCount, {} };
        slot_requester requester { slot_grant_options() };
        //! Allocator in the last membership view.
        std::string knownAllocator;
        //! Allocator in the membership view that was read at viewReadAt and hasn't arrived yet.
        std::string pendingAllocator;
        utils::time_point viewReadAt;
        utils::time_point pausedUntil;
        //! The gateway can't read the store before this time.
        utils::time_point storeDisconnectedUntil;
        int inFlight = 0;
    };

    //! \brief Simulates gateways that share one minion, read the membership late, and lose messages.
    class gateway_group {
    public:
        explicit gateway_group(std::uint32_t seed)
            : m_random(seed)
            , m_gateways(gatewayCount)
        {
            for (int index = 0; index < gatewayCount; ++index)
                m_members.insert(gatewayName(index));
        }

        //! \brief Runs one step of less than 200 ms and updates the maximum sum of granted slots.
        void step()
        {
            m_now += milliseconds(randomBelow(200));
            if (randomBelow(40) == 0)
                toggleMember();
            if (randomBelow(30) == 0)
                m_gateways[static_cast<std::size_t>(randomBelow(gatewayCount))].pausedUntil = m_now + milliseconds(randomBelow(6000));
            if (randomBelow(30) == 0)
                m_gateways[static_cast<std::size_t>(randomBelow(gatewayCount))].storeDisconnectedUntil = m_now + milliseconds(randomBelow(12000));
            for (int index = 0; index < gatewayCount; ++index)
                runGateway(index);
            deliver();
            int sum = 0;
            for (auto& gateway : m_gateways)
                sum += gateway.requester.grantedSlots(m_now);
            m_maximumSlotsInUse = std::max(m_maximumSlotsInUse, sum);
            m_hasGrantedAll = m_hasGrantedAll || sum == slotCount;
        }

        int maximumSlotsInUse() const
        {
            return m_maximumSlotsInUse;
        }
        bool hasRevokedSlotsInUse() const
        {
            return m_hasRevokedSlotsInUse;
        }
        bool hasGrantedAll() const
        {
            return m_hasGrantedAll;
        }

    private:
        int randomBelow(int bound)
        {
            return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
        }

        void toggleMember()
        {
            const auto name = gatewayName(randomBelow(gatewayCount));
            if (m_members.erase(name) == 0)
                m_members.insert(name);
        }

        void runGateway(int index)
        {
            auto& self = m_gateways[static_cast<std::size_t>(index)];
            if (m_now < self.pausedUntil)
                return;
            if (randomBelow(4) != 0 && m_now >= self.storeDisconnectedUntil) {
                self.knownAllocator = self.pendingAllocator;
                self.allocator.confirmView(self.knownAllocator == gatewayName(index), self.viewReadAt, m_now);
                self.pendingAllocator = slotAllocatorOf(minion, { m_members.begin(), m_members.end() });
                self.viewReadAt = m_now;
            }
            self.inFlight = std::min(self.inFlight, self.requester.grantedSlots(m_now));
            if (randomBelow(2) == 0 && self.inFlight > 0)
                --self.inFlight;
            while (self.requester.hasFreeSlot(self.inFlight, m_now) && randomBelow(3) != 0)
                ++self.inFlight;
            for (int allocator = 0; allocator < gatewayCount; ++allocator) {
                if (gatewayName(allocator) == self.knownAllocator && randomBelow(2) == 0)
                    sendMessage({ index, allocator, m_now + delay(), self.requester.makeDemand(self.inFlight, randomBelow(slotCount + 1), m_now), {}, false });
            }
        }

        milliseconds delay()
        {
            return milliseconds(randomBelow(8) == 0 ? randomBelow(4000) : randomBelow(40));
        }

        void sendMessage(const message& sent)
        {
            if (randomBelow(6) != 0)
                m_messages.push_back(sent);
        }

        void deliver()
        {
            std::vector<message> waiting;
            std::swap(waiting, m_messages);
            for (const auto& received : waiting) {
                auto& self = m_gateways[static_cast<std::size_t>(received.receiver)];
                if (m_now < received.arrivesAt || m_now < self.pausedUntil) {
                    m_messages.push_back(received);
                    continue;
                }
                if (received.isGrant) {
                    self.inFlight = std::min(self.inFlight, self.requester.grantedSlots(m_now));
                    self.requester.acceptGrant(received.grant, m_now);
                    m_hasRevokedSlotsInUse = m_hasRevokedSlotsInUse || self.inFlight > self.requester.grantedSlots(m_now);
                } else if (const auto grant = self.allocator.answerDemand(gatewayName(received.sender), received.demand, m_now)) {
                    sendMessage({ received.receiver, received.sender, m_now + delay(), {}, *grant, true });
                }
            }
        }

        std::mt19937 m_random;
        utils::time_point m_now { milliseconds(1000000) };
        std::vector<gateway> m_gateways;
        std::set<std::string> m_members;
        std::vector<message> m_messages;
        int m_maximumSlotsInUse = 0;
        bool m_hasRevokedSlotsInUse = false;
        bool m_hasGrantedAll = false;
    };

    // Fails if an allocator grants slots without waiting or with an outdated view, or if a requester accepts a grant for
    // an older demand or counts the grant's TTL from its arrival.
    RC_GTEST_PROP(slotGrants, TotalNeverExceedsTheSlots, (std::uint32_t seed))
    {
        gateway_group gateways(seed);
        for (int step = 0; step < 1500; ++step) {
            gateways.step();
            RC_ASSERT(gateways.maximumSlotsInUse() <= slotCount);
            RC_ASSERT(!gateways.hasRevokedSlotsInUse());
        }
        RC_CLASSIFY(gateways.hasGrantedAll());
    }

    RC_GTEST_PROP(slotAllocatorOf, DoesNotDependOnTheOrder, (std::uint32_t seed))
    {
        std::vector<std::string> gateways { "a", "b", "c", "d", "e" };
        const auto allocator = slotAllocatorOf(absl::StrCat(seed), gateways);
        std::shuffle(gateways.begin(), gateways.end(), std::mt19937(seed));
        RC_ASSERT(slotAllocatorOf(absl::StrCat(seed), gateways) == allocator);
    }

    TEST(slotAllocator, GrantsOnlyAfterThePreviousGrantsHaveExpired)
    {
        const utils::time_point start { milliseconds(1000000) };
        slot_allocator allocator(slotCount, {});
        allocator.confirmView(true, start, start);
        for (const int wait : { 0, 1000, 2000, 2999, 3000 }) {
            const auto now = start + milliseconds(wait);
            allocator.confirmView(true, now, now);
            EXPECT_EQ(allocator.mayGrant(now), wait >= 3000) << wait;
        }
        EXPECT_FALSE(allocator.mayGrant(start + milliseconds(4000)));
    }

    // Another gateway may have granted slots in the gap. Fails if an allocator ignores gaps between its views.
    TEST(slotAllocator, WaitsAgainAfterAGapBetweenViews)
    {
        utils::time_point now { milliseconds(1000000) };
        slot_allocator allocator(slotCount, {});
        for (int step = 0; step <= 10; ++step, now += milliseconds(500))
            allocator.confirmView(true, now, now);
        EXPECT_TRUE(allocator.mayGrant(now));
        now += milliseconds(2000);
        allocator.confirmView(true, now, now);
        EXPECT_FALSE(allocator.mayGrant(now));
    }

    TEST(slotAllocator, ReducesAGreedyGatewayToItsShare)
    {
        utils::time_point now { milliseconds(1000000) };
        slot_allocator allocator(slotCount, {});
        for (int step = 0; step <= 10; ++step, now += milliseconds(500))
            allocator.confirmView(true, now, now);
        slot_requester greedy { slot_grant_options() };
        slot_requester other { slot_grant_options() };
        EXPECT_TRUE(greedy.acceptGrant(*allocator.answerDemand("hog", greedy.makeDemand(0, 8, now), now), now));
        EXPECT_EQ(greedy.grantedSlots(now), 8);
        EXPECT_TRUE(other.acceptGrant(*allocator.answerDemand("other", other.makeDemand(0, 8, now), now), now));
        EXPECT_EQ(other.grantedSlots(now), 0);
        EXPECT_TRUE(greedy.acceptGrant(*allocator.answerDemand("hog", greedy.makeDemand(8, 8, now), now), now));
        EXPECT_EQ(greedy.grantedSlots(now), 8);
        EXPECT_FALSE(greedy.hasFreeSlot(4, now));
        EXPECT_TRUE(greedy.acceptGrant(*allocator.answerDemand("hog", greedy.makeDemand(4, 8, now), now), now));
        EXPECT_TRUE(other.acceptGrant(*allocator.answerDemand("other", other.makeDemand(0, 8, now), now), now));
        EXPECT_EQ(greedy.grantedSlots(now), 4);
        EXPECT_EQ(other.grantedSlots(now), 4);
    }

} // namespace

} // namespace camphorsaddle::routing
