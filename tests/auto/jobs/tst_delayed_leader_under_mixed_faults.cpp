#include <gtest/gtest.h>

#include "jobs/delayed_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs::test;

class delayed_leader_under_mixed_faults : public testing::TestWithParam<std::uint64_t> {
};

INSTANTIATE_TEST_SUITE_P(Seeds, delayed_leader_under_mixed_faults, testing::Range<std::uint64_t>(1, 25));

// Every rule, beside lost leaders, late starts, restarted and draining workers.
TEST_P(delayed_leader_under_mixed_faults, KeepsInvariants)
{
    delayed_fleet delayed(GetParam());
    auto& fleet = delayed.fleet;
    auto& random = delayed.random;
    for (int round = 0; round < delayedRoundCount; ++round) {
        delayed.runRound();
        auto& faults = fleet.worker(delayed.drawWorker()).faults;
        switch (random() % 9) {
        case 0:
            faults.isUnresponsive = !faults.isUnresponsive;
            break;
        case 1:
            faults.losesReplies = !faults.losesReplies;
            break;
        case 2:
            faults.startDelay = utils::milliseconds(random() % 2 == 0 ? 2500 : 0);
            break;
        case 3:
            fleet.restartWorker(delayed.drawWorker());
            break;
        case 4:
            fleet.changeLeader(random() % 2 == 0);
            break;
        case 5:
            fleet.drainWorker(delayed.drawWorker());
            break;
        case 6:
            delayed.cancelJob();
            break;
        case 7:
            fleet.setStoreDown(random() % 2 == 0);
            break;
        default:
            break;
        }
    }
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}
