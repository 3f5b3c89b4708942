#include <gtest/gtest.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr std::int64_t targetLatency = 150;
constexpr std::int64_t latencyAlone = 60;

bool isBestEffort(const external::task_id& task)
{
    return task.job.starts_with("effort");
}

int paceSum(const fake_worker& worker)
{
    int sum = 0;
    for (const auto& [task, run] : worker.running)
        sum += isBestEffort(task) ? run.pace : 0;
    return sum;
}

} // namespace

struct pressure_case {
    unsigned runCount;
    //! Tail latency that each percent of a best-effort run's pace adds, ms.
    std::int64_t latencyPerPercent;
};

class best_effort_pressure : public testing::TestWithParam<pressure_case> {
};

std::vector<pressure_case> pressureCases()
{
    std::vector<pressure_case> cases;
    for (const unsigned runCount : { 1u, 2u, 4u }) {
        for (std::int64_t latency = 1; latency <= 40; latency += 3)
            cases.push_back({ runCount, latency });
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(Pressures, best_effort_pressure, testing::ValuesIn(pressureCases()),
    [](const auto& info) { return absl::StrCat("runs", info.param.runCount, "latencyPerPercent", info.param.latencyPerPercent); });

// The users count best-effort work as harmful if a service task beside it misses its target for 4 s on end.
TEST_P(best_effort_pressure, SlowRunsKeepServiceTaskOverItsTarget)
{
    constexpr utils::milliseconds maximumMissTime { 4000 };
    constexpr utils::milliseconds runTime { 30'000 };
    simulated_fleet fleet;
    auto& worker = fleet.addWorker("w");
    const auto perPercent = GetParam().latencyPerPercent;
    const auto latency = [perPercent](const fake_worker& current) {
        return latencyAlone + perPercent * paceSum(current);
    };
    worker.tailLatency = [latency](const fake_worker& current, const external::run_id&) {
        return latency(current);
    };
    fleet.run(utils::milliseconds(200));
    fleet.submit(makeJob("effort", { bestEffortStep(GetParam().runCount, "heavy") }));
    fleet.run(utils::milliseconds(100));
    fleet.submit(makeJob("service", { serviceStep(1, "sensitive") }));
    const auto begin = fleet.now();
    auto metTargetAt = begin;
    while (fleet.now() < begin + runTime) {
        const auto elapsed = std::chrono::duration_cast<utils::milliseconds>(fleet.now() - begin);
        for (auto& [task, run] : worker.running) {
            // Steady progress that reaches 99% at the end.
            if (isBestEffort(task))
                run.endsAt = fleet.now() + simulated_fleet::taskTime - simulated_fleet::taskTime * elapsed.count() / runTime.count();
        }
        fleet.run(utils::milliseconds(20));
        if (paceSum(worker) == 0 || latency(worker) <= targetLatency)
            metTargetAt = fleet.now();
        ASSERT_LE(fleet.now(), metTargetAt + maximumMissTime) << "paces: " << paceSum(worker) << "% in sum";
    }
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}
