#include <gtest/gtest.h>

#include "rapidcheck/gtest.h"
#include "routing/simulated_region.h"

using namespace camphorsaddle::routing;
using namespace camphorsaddle::routing::test;

// Fails if a gateway relies on its lease or becomes an allocator before all members have responded with its view.
RC_GTEST_PROP(allocatorAuthority, NoSlotIsGrantedTwice, (std::uint32_t seed))
{
    RC_ASSERT(greatestGrantUnderFaults(seed, {}) <= slotCount);
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
