#include "bench/placement/simulations.h"

#include "gtest/gtest.h"

namespace camphorsaddle::bench {

namespace {

    constexpr unsigned seed = 20261204;

} // namespace

// The simulations use virtual time; the bounds are the targets of the benchmark figures.
TEST(placement_bounds, QuarantineLimitsStartsOnFailingWorkers)
{
    EXPECT_LE(wastedStartShare(seed, true), 0.01);
}

TEST(placement_bounds, HomeShardsRefuseNoTaskWhileQuotaIsFree)
{
    EXPECT_EQ(simulateHomeShardQuotas(seed).wrongRefusalShare, 0);
}

TEST(placement_bounds, UrgentTasksStartInTimeDuringOwnerChange)
{
    EXPECT_LE(longestUrgentStartSeconds(seed), 7.6);
}

} // namespace camphorsaddle::bench
