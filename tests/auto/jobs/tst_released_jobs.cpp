#include <gtest/gtest.h>

#include "jobs/job_memory.h"
#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr utils::milliseconds settlingTime { 1000 };
// Longer than the delay of the release.
constexpr utils::milliseconds releaseTime { 7000 };
const std::string jobId = "job";

struct ended_job_case {
    const char* name;
    bool isService;
    //! The next leader loads the ended job.
    bool hasNextLeader;
};

class ended_job : public testing::TestWithParam<ended_job_case> {
protected:
    static job_spec spec()
    {
        auto step = batchStep(100);
        step.isLongRunning = GetParam().isService;
        step.taskResources = { 100, 100, 0 };
        auto job = makeJob(jobId, { step });
        job.payload = std::string(4000, 'p');
        return job;
    }
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Jobs, ended_job,
    testing::Values(ended_job_case { "completed", false, false },
        ended_job_case { "cancelled", true, false },
        ended_job_case { "completedUnderAFormerLeader", false, true },
        ended_job_case { "cancelledUnderAFormerLeader", true, true }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a leader that keeps the tasks of all ended jobs as long as callers may ask for them, and against a run of such a job
// that nobody stops: a worker may execute a start late, after the states of the tasks were released.
TEST_P(ended_job, TakesLittleMemoryAndHasItsLateRunsStopped)
{
    simulated_fleet fleet;
    auto& worker = fleet.addWorker("w1");
    fleet.run(settlingTime);
    // A worker without runs isn't observed and has no lease, so that it executes no late start.
    auto service = batchStep(1);
    service.isLongRunning = true;
    fleet.submit(makeJob("other", { service }));
    fleet.submit(spec());
    EXPECT_GE(fleet.engine().heldMemory(), jobMemory(spec()));
    fleet.run(settlingTime);
    if (GetParam().isService)
        fleet.cancel(jobId);
    fleet.run(releaseTime);
    EXPECT_TRUE(isFinal(*fleet.phase(jobId)));
    if (GetParam().hasNextLeader) {
        fleet.changeLeader();
        fleet.run(settlingTime);
    }
    EXPECT_LE(fleet.engine().heldMemory(), jobMemory(spec()) / 10);

    ASSERT_EQ(worker.running.size(), 1U);
    const external::run_id lateRun { { jobId, 0, 0, 7 }, 9'999'999 };
    worker.running[lateRun.task] = { lateRun, fleet.now() + utils::milliseconds(60'000), fleet.now(), true, 100 };
    fleet.run(2 * settlingTime);
    EXPECT_EQ(worker.running.size(), 1U);
    fleet.run(releaseTime);
    EXPECT_LE(fleet.engine().heldMemory(), jobMemory(spec()) / 10);
    EXPECT_TRUE(isFinal(*fleet.phase(jobId)));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}
