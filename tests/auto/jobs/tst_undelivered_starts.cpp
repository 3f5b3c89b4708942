#include <gtest/gtest.h>

#include <algorithm>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr unsigned taskCount = 2;
constexpr unsigned farWorkerCount = 40;
// A task that lasts must run again within this time.
constexpr utils::milliseconds restartLimit { 6000 };
constexpr utils::milliseconds settlingTime { 1000 };
const model::resources largeCapacity { 64'000, 256'000, 0 };
const model::resources smallCapacity { 32'000, 128'000, 0 };

struct path_fault_case {
    const char* name;
    bool worker_faults::*fault;
    bool isLongRunning;
};

class undelivered_starts : public testing::TestWithParam<path_fault_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Faults, undelivered_starts,
    testing::Values(path_fault_case { "serviceTasksUnanswered", &worker_faults::losesStarts, true },
        path_fault_case { "serviceTasksExpired", &worker_faults::startsExpire, true },
        path_fault_case { "serviceTasksNotSent", &worker_faults::refusesConnections, true },
        path_fault_case { "batchTasksUnanswered", &worker_faults::losesStarts, false },
        path_fault_case { "batchTasksExpired", &worker_faults::startsExpire, false }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against starts that are ordered again and again on the least loaded workers, to which no start gets through in time, while
// another data centre has capacity (LOST on pregon-unido-large).
TEST_P(undelivered_starts, AreOrderedInAnotherDataCentre)
{
    const auto& parameters = GetParam();
    simulated_fleet fleet;
    for (unsigned number = 0; number < farWorkerCount; ++number)
        fleet.addWorker("far" + std::to_string(number), largeCapacity, "far").faults.*parameters.fault = true;
    for (const char* id : { "near1", "near2", "near3" })
        fleet.addWorker(id, smallCapacity, "near");
    fleet.run(settlingTime);
    fleet.submit(makeJob("job", { parameters.isLongRunning ? serviceStep(taskCount, "image") : batchStep(taskCount) }));
    const auto areStarted = [&] {
        for (unsigned index = 0; index < taskCount; ++index) {
            if (fleet.startCount({ "job", 0, 0, index }) == 0)
                return false;
        }
        return true;
    };
    EXPECT_TRUE(fleet.runUntil(areStarted, restartLimit));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}
