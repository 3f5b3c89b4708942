#include "jobs/crash_scenarios.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::jobs::test {

void addWorkers(simulated_fleet& fleet)
{
    for (unsigned number = 0; number < workerCount; ++number)
        fleet.addWorker(absl::StrCat("w", number));
    fleet.run(settleTime);
}

void playMixedFaults(std::uint64_t seed, const std::function<utils::milliseconds(std::mt19937_64&)>& longRunningCrashDelay)
{
    simulated_fleet fleet(seed);
    addWorkers(fleet);
    std::mt19937_64 random(seed);
    const auto randomWorker = [&]() -> worker_faults& {
        return fleet.worker(absl::StrCat("w", random() % workerCount)).faults;
    };
    constexpr unsigned roundCount = 40;
    bool isStoreDown = false;
    for (unsigned round = 0; round < roundCount; ++round) {
        if (round % 4 == 0) {
            const auto job = absl::StrCat("deadly", round);
            const bool isBatch = round % 8 == 0;
            fleet.makeDeadly({ job, 0, 0, 0 }, isBatch ? utils::milliseconds(10) : longRunningCrashDelay(random));
            fleet.submit(makeJob(job, { isBatch ? batchStep(3) : serviceStep(2, "service") }));
        }
        fleet.submit(makeJob(absl::StrCat("sound", round), { batchStep(5), batchStep(2, { 0 }) }));
        switch (random() % 6) {
        case 0:
            // Leaders are elected through the store.
            if (!isStoreDown)
                fleet.changeLeader(random() % 2 == 0);
            break;
        case 1: {
            auto& faults = randomWorker();
            faults.isUnresponsive = !faults.isUnresponsive;
            break;
        }
        case 2:
            randomWorker().losesReplies = random() % 2 == 0;
            break;
        case 3:
            randomWorker().startDelay = utils::milliseconds(random() % 2 == 0 ? 2500 : 0);
            break;
        case 4:
            isStoreDown = random() % 3 == 0;
            fleet.setStoreDown(isStoreDown);
            break;
        default:
            break;
        }
        fleet.run(utils::milliseconds(100 + random() % 700));
    }
    fleet.setStoreDown(false);
    for (unsigned number = 0; number < workerCount; ++number) {
        auto& faults = fleet.worker(absl::StrCat("w", number)).faults;
        faults = { .isDown = faults.isDown };
    }
    fleet.run(utils::milliseconds(60'000));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    for (unsigned round = 0; round < roundCount; ++round) {
        EXPECT_TRUE(isFinal(*fleet.phase(absl::StrCat("sound", round)))) << round;
        if (round % 4 == 0) {
            EXPECT_EQ(fleet.phase(absl::StrCat("deadly", round)), job_phase::Failed) << round;
        }
    }
}

} // namespace camphorsaddle::jobs::test
