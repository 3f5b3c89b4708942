#include <gtest/gtest.h>

#include "jobs/delayed_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs::test;

class delayed_leader : public testing::TestWithParam<std::uint64_t> {
};

INSTANTIATE_TEST_SUITE_P(Seeds, delayed_leader, testing::Range<std::uint64_t>(1, 25));

// Runs were stopped as stalled because no report about them had been handled yet (pregon-unido-large: 10,079 of 84,848 runs).
TEST_P(delayed_leader, RunsThatMakeProgressAreNotStopped)
{
    delayed_fleet delayed(GetParam());
    for (int round = 0; round < delayedRoundCount; ++round) {
        delayed.runRound();
        if (round % 3 == 2)
            delayed.cancelJob();
    }
    for (const auto& violation : delayed.fleet.violations())
        EXPECT_EQ(violation.find("while it makes progress"), std::string::npos) << violation;
}

// Tasks were started on draining workers for as long as the leader had not handled their entries.
TEST_P(delayed_leader, NothingIsStartedOnDrainingWorkers)
{
    delayed_fleet delayed(GetParam());
    for (int round = 0; round < delayedRoundCount; ++round) {
        delayed.runRound();
        if (round % 4 == 1)
            delayed.fleet.drainWorker(delayed.drawWorker());
        if (round % 4 == 3)
            delayed.fleet.restartWorker(delayed.drawWorker());
    }
    for (const auto& violation : delayed.fleet.violations())
        EXPECT_EQ(violation.find("which drains"), std::string::npos) << violation;
}

// Tasks of jobs that other daemons had cancelled were started for as long as the leader had not handled the inbox.
TEST_P(delayed_leader, NothingIsStartedForCancelledJobs)
{
    delayed_fleet delayed(GetParam());
    for (int round = 0; round < delayedRoundCount; ++round) {
        delayed.runRound();
        delayed.cancelJob();
    }
    for (const auto& violation : delayed.fleet.violations())
        EXPECT_EQ(violation.find("after its cancellation"), std::string::npos) << violation;
}
