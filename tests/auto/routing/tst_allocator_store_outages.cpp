#include <gtest/gtest.h>

#include "rapidcheck/gtest.h"
#include "routing/simulated_region.h"

using namespace camphorsaddle::routing::test;

// A gateway without a valid lease stays the allocator while its peers agree with it. Single gateways are cut off from the
// store, so that others become allocators of the same minions.
RC_GTEST_PROP(allocatorStoreOutages, NoSlotIsGrantedTwice, (std::uint32_t seed))
{
    fault_rates rates;
    rates.stepsPerStoreCut = 40;
    RC_ASSERT(greatestGrantUnderFaults(seed, rates) <= slotCount);
}
