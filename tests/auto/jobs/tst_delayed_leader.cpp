#include <gtest/gtest.h>

#include <random>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr utils::milliseconds longestDelay { 10'000 };
constexpr utils::milliseconds batchTime { 2500 };
constexpr utils::milliseconds startupTime { 600 };
constexpr utils::milliseconds settlingTime { 500 };
constexpr utils::milliseconds longestRound { 1200 };
constexpr int roundCount = 60;
constexpr unsigned workerCount = 6;

//! A fleet of which the leader is behind, and the source of the events of a test.
struct delayed_fleet {
    explicit delayed_fleet(std::uint64_t seed)
        : fleet(seed)
        , random(seed)
    {
        fleet.setTaskTimes(batchTime, startupTime);
        for (unsigned number = 0; number < workerCount; ++number) {
            ids.push_back("w" + std::to_string(number));
            fleet.addWorker(ids.back());
        }
        fleet.run(settlingTime);
        fleet.setLag(simulated_lag(seed, longestDelay, fleet.now()));
    }

    const std::string& drawWorker()
    {
        return ids[random() % ids.size()];
    }

    void submitJobs()
    {
        for (auto count = random() % 3; count > 0; --count) {
            const auto id = "job" + std::to_string(jobCount++);
            auto step = random() % 4 == 0 ? serviceStep(1 + random() % 3, "image") : batchStep(1 + random() % 6);
            step.estimate = step.isLongRunning ? step.estimate : batchTime;
            fleet.submit(makeJob(id, { step }));
        }
    }

    void cancelJob()
    {
        if (jobCount > 0)
            fleet.cancel("job" + std::to_string(random() % jobCount));
    }

    void runRound()
    {
        submitJobs();
        fleet.run(utils::milliseconds(100 + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(longestRound.count()))));
    }

    simulated_fleet fleet;
    std::mt19937_64 random;
    std::vector<std::string> ids;
    unsigned jobCount = 0;
};

} // namespace

class delayed_leader : public testing::TestWithParam<std::uint64_t> {
};

INSTANTIATE_TEST_SUITE_P(Seeds, delayed_leader, testing::Range<std::uint64_t>(1, 25));

// Runs were stopped as stalled because no report about them had been handled yet (pregon-unido-large: 10,079 of 84,848 runs).
TEST_P(delayed_leader, RunsThatMakeProgressAreNotStopped)
{
    delayed_fleet delayed(GetParam());
    for (int round = 0; round < roundCount; ++round) {
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
    for (int round = 0; round < roundCount; ++round) {
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
    for (int round = 0; round < roundCount; ++round) {
        delayed.runRound();
        delayed.cancelJob();
    }
    for (const auto& violation : delayed.fleet.violations())
        EXPECT_EQ(violation.find("after its cancellation"), std::string::npos) << violation;
}
