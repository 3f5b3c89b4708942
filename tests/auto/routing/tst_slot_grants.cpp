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

    //! \brief A message on its way.
    struct message {
        int sender = 0;
        int receiver = 0;
        utils::time_point arrives;
        slot_demand demand;
        slot_grant grant;
        bool isGrant = false;
    };

    struct gateway {
        slot_allocator allocator { slotCount, {} };
        slot_requester requester { slot_grant_options() };
        std::string seenAllocator;
        //! A read of the membership on its way.
        std::string readAllocator;
        utils::time_point viewReadAt;
        utils::time_point pausedUntil;
        //! Until then it cannot read the store.
        utils::time_point storeCutUntil;
        int inFlight = 0;
    };

    //! \brief Gateways that share one minion, with a membership that they read late, and messages that get lost.
    class gateway_group {
    public:
        explicit gateway_group(std::uint32_t seed)
            : m_random(seed)
            , m_gateways(gatewayCount)
        {
            for (int index = 0; index < gatewayCount; ++index)
                m_members.insert(gatewayName(index));
        }

        //! \brief One step of at most 200 ms; the greatest sum of slots in use is kept.
        void step()
        {
            m_now += milliseconds(below(200));
            if (below(40) == 0)
                toggleMember();
            if (below(30) == 0)
                m_gateways[static_cast<std::size_t>(below(gatewayCount))].pausedUntil = m_now + milliseconds(below(6000));
            if (below(30) == 0)
                m_gateways[static_cast<std::size_t>(below(gatewayCount))].storeCutUntil = m_now + milliseconds(below(12000));
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
        int below(int bound)
        {
            return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
        }

        void toggleMember()
        {
            const auto name = gatewayName(below(gatewayCount));
            if (m_members.erase(name) == 0)
                m_members.insert(name);
        }

        void runGateway(int index)
        {
            auto& self = m_gateways[static_cast<std::size_t>(index)];
            if (m_now < self.pausedUntil)
                return;
            if (below(4) != 0 && m_now >= self.storeCutUntil) {
                self.seenAllocator = self.readAllocator;
                self.allocator.confirmView(self.seenAllocator == gatewayName(index), self.viewReadAt, m_now);
                self.readAllocator = slotAllocatorOf(minion, { m_members.begin(), m_members.end() });
                self.viewReadAt = m_now;
            }
            self.inFlight = std::min(self.inFlight, self.requester.grantedSlots(m_now));
            if (below(2) == 0 && self.inFlight > 0)
                --self.inFlight;
            while (self.requester.hasFreeSlot(self.inFlight, m_now) && below(3) != 0)
                ++self.inFlight;
            for (int allocator = 0; allocator < gatewayCount; ++allocator) {
                if (gatewayName(allocator) == self.seenAllocator && below(2) == 0)
                    post({ index, allocator, m_now + delay(), self.requester.makeDemand(self.inFlight, below(slotCount + 1), m_now), {}, false });
            }
        }

        milliseconds delay()
        {
            return milliseconds(below(8) == 0 ? below(4000) : below(40));
        }

        void post(const message& sent)
        {
            if (below(6) != 0)
                m_messages.push_back(sent);
        }

        void deliver()
        {
            std::vector<message> waiting;
            std::swap(waiting, m_messages);
            for (const auto& received : waiting) {
                auto& self = m_gateways[static_cast<std::size_t>(received.receiver)];
                if (m_now < received.arrives || m_now < self.pausedUntil) {
                    m_messages.push_back(received);
                    continue;
                }
                if (received.isGrant) {
                    self.inFlight = std::min(self.inFlight, self.requester.grantedSlots(m_now));
                    self.requester.acceptGrant(received.grant, m_now);
                    m_hasRevokedSlotsInUse = m_hasRevokedSlotsInUse || self.inFlight > self.requester.grantedSlots(m_now);
                } else if (const auto grant = self.allocator.answerDemand(gatewayName(received.sender), received.demand, m_now)) {
                    post({ received.receiver, received.sender, m_now + delay(), {}, *grant, true });
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

    // Broken by a keeper that lends at once or on a view that is too old, and by a borrower that takes a
    // grant for a former demand or counts its term from the grant's arrival.
    RC_GTEST_PROP(slotGrants, NeverExceedTheSlots, (std::uint32_t seed))
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

    TEST(slotAllocator, LendsAfterTheFormerTermOnly)
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

    // Another keeper may have lent in the gap. Broken by a keeper that passes over gaps.
    TEST(slotAllocator, WaitsAgainAfterAGapBetweenItsViews)
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

    TEST(slotAllocator, ShrinksAHogToItsShare)
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
