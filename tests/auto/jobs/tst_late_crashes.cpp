#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "jobs/crash_scenarios.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

struct late_crash_case {
    const char* name;
    utils::milliseconds crashDelay;
    crash_return workerReturn;
    bool changesLeader;
};

class late_crashes : public testing::TestWithParam<late_crash_case> {
};

INSTANTIATE_TEST_SUITE_P(Crashes, late_crashes,
    testing::Values(
        late_crash_case { "after600Ms", utils::milliseconds(600), {}, false },
        late_crash_case { "after2S", utils::milliseconds(2000), {}, false },
        late_crash_case { "after8S", utils::milliseconds(8000), {}, false },
        late_crash_case { "after2SNewId", utils::milliseconds(2000), { utils::milliseconds(3000), true }, false },
        late_crash_case { "after2SBackAfterTheLease", utils::milliseconds(2000), { utils::milliseconds(7000), false }, false },
        late_crash_case { "after2SChangesOfLeader", utils::milliseconds(2000), {}, true }),
    [](const auto& info) { return std::string(info.param.name); });

// The workers answer many times between the start of the task and their crash.
TEST_P(late_crashes, OneTaskCrashesWorkerAfterWorkerLongAfterItsStart)
{
    simulated_fleet fleet;
    fleet.setCrashReturn(GetParam().workerReturn);
    addWorkers(fleet);
    fleet.submit(makeJob("service", { serviceStep(5, "other service") }));
    fleet.run(settleTime);
    const external::task_id deadly { "deadly", 0, 0, 0 };
    fleet.makeDeadly(deadly, GetParam().crashDelay);
    fleet.submit(makeJob("deadly", { serviceStep(3, "service") }));
    unsigned jobCount = 0;
    const auto end = fleet.now() + utils::milliseconds(120'000);
    while (fleet.now() < end && fleet.phase("deadly") != job_phase::Failed) {
        fleet.submit(makeJob(absl::StrCat("sound", jobCount++), { batchStep(6), batchStep(2, { 0 }) }));
        fleet.run(utils::milliseconds(500));
        if (GetParam().changesLeader && jobCount % 16 == 0)
            fleet.changeLeader(jobCount % 32 == 0);
    }
    EXPECT_EQ(fleet.phase("deadly"), job_phase::Failed);
    // Fails if a crash counts twice, by the entry of another worker at the address and by that worker's answer.
    EXPECT_GE(fleet.crashCount(deadly), 4u);
    fleet.run(utils::milliseconds(20'000));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    EXPECT_EQ(fleet.workersRunning("service").size(), 5u);
    for (unsigned number = 0; number < jobCount; ++number)
        EXPECT_EQ(fleet.phase(absl::StrCat("sound", number)), job_phase::Completed) << number;
}
