#include <gtest/gtest.h>

#include <string>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr unsigned workerCount = 20;
constexpr utils::milliseconds submissionInterval { 20 };
constexpr utils::milliseconds settlingTime { 6000 };
// Time without a leader, in which some runs end on each worker.
constexpr utils::milliseconds leaderlessTime { 400 };
constexpr utils::milliseconds observedTime { 20'000 };
// An observation that waits for no end is answered at once. The next one follows when the first ends are stored.
constexpr utils::milliseconds longestRestoration { 500 };

struct busy_fleet_case {
    const char* name;
    //! Tasks that run on each worker at a time.
    unsigned tasksPerWorker;
    utils::milliseconds taskTime;
    bool isPlanned;
};

class busy_workers_at_takeover : public testing::TestWithParam<busy_fleet_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Loads, busy_workers_at_takeover,
    testing::Values(busy_fleet_case { "sixTasksEach", 6, utils::milliseconds(2000), false },
        busy_fleet_case { "sixTasksEachPlannedChange", 6, utils::milliseconds(2000), true },
        busy_fleet_case { "twelveLongTasksEach", 12, utils::milliseconds(4000), false },
        busy_fleet_case { "sixShortTasksEach", 6, utils::milliseconds(500), false }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a restoration that lasts until the last worker has reported twice without an end in between: the first report of a
// worker that had any end didn't count as complete, and tasks waited for seconds after each change of the leader.
TEST_P(busy_workers_at_takeover, TasksStartOnceAllWorkersHaveAnswered)
{
    const auto& parameters = GetParam();
    simulated_fleet fleet;
    fleet.enableLongPolls();
    fleet.setTaskTimes(parameters.taskTime, utils::milliseconds(0));
    for (unsigned worker = 0; worker < workerCount; ++worker)
        fleet.addWorker("w" + std::to_string(100 + worker), { 2'000 * parameters.tasksPerWorker, 128'000, 0 });
    // Starts at different times, so that each worker has an end to list at any time.
    auto step = batchStep(1);
    step.estimate = parameters.taskTime;
    double due = 0;
    unsigned jobs = 0;
    for (utils::milliseconds time { 0 }; time < settlingTime; time += submissionInterval) {
        due += workerCount * parameters.tasksPerWorker * std::chrono::duration<double>(submissionInterval) / parameters.taskTime;
        for (; due >= 1; --due)
            fleet.submit(makeJob("job" + std::to_string(jobs++), { step }));
        fleet.run(submissionInterval);
    }
    auto last = step;
    last.count = workerCount;
    fleet.submit(makeJob("last", { last }));
    const auto setUnresponsive = [&](bool isUnresponsive) {
        for (unsigned worker = 0; worker < workerCount; ++worker)
            fleet.worker("w" + std::to_string(100 + worker)).faults.isUnresponsive = isUnresponsive;
    };
    setUnresponsive(true);
    fleet.run(leaderlessTime);
    fleet.changeLeader(parameters.isPlanned);
    setUnresponsive(false);
    EXPECT_TRUE(fleet.runUntil([&] { return !fleet.engine().isRestoring(); }, longestRestoration));
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.phase("last") == job_phase::Completed; }, observedTime));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}
