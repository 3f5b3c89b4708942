#include <gtest/gtest.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr utils::milliseconds settleTime { 200 };
constexpr unsigned workerCount = 4;
constexpr model::resources fullCapacity { 32'000, 128'000, 0 };
constexpr model::resources smallCapacity { 6'000, 128'000, 0 };

std::string workerName(unsigned number)
{
    return absl::StrCat("w", number);
}

void prepare(simulated_fleet& fleet, bool rejectsOverload)
{
    auto rules = defaultRules();
    rules.queues.front().workersRejectOverload = rejectsOverload;
    fleet.setRules(rules);
    for (unsigned number = 0; number < workerCount; ++number)
        fleet.addWorker(workerName(number), fullCapacity);
    fleet.enableEntryRenewal();
    fleet.run(settleTime);
}

void setCapacities(simulated_fleet& fleet, model::resources capacity)
{
    for (unsigned number = 0; number < workerCount; ++number)
        fleet.setCapacity(workerName(number), capacity);
}

void setRenewal(simulated_fleet& fleet, bool isPossible)
{
    for (unsigned number = 0; number < workerCount; ++number)
        fleet.worker(workerName(number)).faults.cannotRenewEntry = !isPossible;
}

// More tasks than the workers have capacity for, at all times.
void submitLoad(simulated_fleet& fleet, unsigned jobCount)
{
    for (unsigned number = 0; number < jobCount; ++number)
        fleet.submit(makeJob(absl::StrCat("job", number), { batchStep(60) }));
}

} // namespace

struct shrink_case {
    const char* name;
    //! Has the capacities shrink; returns with the directory in order again.
    void (*shrink)(simulated_fleet& fleet);
};

class shrinking_workers : public testing::TestWithParam<shrink_case> {
};

INSTANTIATE_TEST_SUITE_P(Shrinking, shrinking_workers,
    testing::Values(
        shrink_case { "entriesArrive", [](simulated_fleet& fleet) {
                         setCapacities(fleet, smallCapacity);
                         fleet.run(utils::milliseconds(9000));
                     } },
        shrink_case { "storeDown", [](simulated_fleet& fleet) {
                         fleet.setStoreDown(true);
                         setCapacities(fleet, smallCapacity);
                         fleet.run(utils::milliseconds(9000));
                         fleet.setStoreDown(false);
                     } },
        shrink_case { "workersCutOffFromTheStore", [](simulated_fleet& fleet) {
                         setRenewal(fleet, false);
                         setCapacities(fleet, smallCapacity);
                         fleet.run(utils::milliseconds(9000));
                         setRenewal(fleet, true);
                     } },
        // The next leader reads entries that are old already.
        shrink_case { "changeOfLeader", [](simulated_fleet& fleet) {
                         setRenewal(fleet, false);
                         setCapacities(fleet, smallCapacity);
                         fleet.run(utils::milliseconds(3000));
                         fleet.changeLeader(true);
                         fleet.run(utils::milliseconds(6000));
                         setRenewal(fleet, true);
                     } },
        shrink_case { "restartWithLessCapacity", [](simulated_fleet& fleet) {
                         setRenewal(fleet, false);
                         for (unsigned number = 0; number < workerCount; ++number) {
                             auto& worker = fleet.worker(workerName(number));
                             worker.description.capacity = smallCapacity;
                             fleet.restartWorker(workerName(number));
                         }
                         setRenewal(fleet, false);
                         fleet.run(utils::milliseconds(3000));
                         setRenewal(fleet, true);
                     } },
        shrink_case { "entriesOfFormerProcessesArriveLate", [](simulated_fleet& fleet) {
                         std::vector<worker_description> formerEntries;
                         for (unsigned number = 0; number < workerCount; ++number) {
                             auto& worker = fleet.worker(workerName(number));
                             formerEntries.push_back(worker.description);
                             worker.description.capacity = smallCapacity;
                             fleet.restartWorker(workerName(number));
                         }
                         fleet.run(simulated_fleet::entryRenewalInterval + settleTime);
                         setRenewal(fleet, false);
                         for (const auto& entry : formerEntries)
                             fleet.engine().announceWorker(entry, fleet.now());
                         fleet.run(utils::milliseconds(3000));
                         setRenewal(fleet, true);
                     } },
        shrink_case { "ordersTakeEffectLate", [](simulated_fleet& fleet) {
                         for (unsigned number = 0; number < workerCount; ++number)
                             fleet.worker(workerName(number)).faults.startDelay = utils::milliseconds(3500);
                         setRenewal(fleet, false);
                         setCapacities(fleet, smallCapacity);
                         fleet.run(utils::milliseconds(9000));
                         for (unsigned number = 0; number < workerCount; ++number)
                             fleet.worker(workerName(number)).faults.startDelay = utils::milliseconds(0);
                         setRenewal(fleet, true);
                     } }),
    [](const auto& info) { return std::string(info.param.name); });

// The simulated fleet reports a start that exceeds all capacities of the last 5.5 s.
TEST_P(shrinking_workers, StartOverloadsWorkerByAnOutdatedCapacity)
{
    simulated_fleet fleet;
    prepare(fleet, false);
    submitLoad(fleet, 20);
    fleet.run(settleTime);
    GetParam().shrink(fleet);
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    setCapacities(fleet, fullCapacity);
    fleet.run(utils::milliseconds(30'000));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    for (unsigned number = 0; number < 20; ++number)
        EXPECT_EQ(fleet.phase(absl::StrCat("job", number)), job_phase::Completed) << number;
}

// Runs that the shrunk worker keeps count until they have ended.
TEST(ChangingCapacities, RunningTasksAreForgottenWhenTheCapacityShrinks)
{
    simulated_fleet fleet;
    prepare(fleet, false);
    fleet.submit(makeJob("service", { serviceStep(12, "service") }));
    fleet.run(settleTime);
    setCapacities(fleet, smallCapacity);
    fleet.run(simulated_fleet::entryRenewalInterval + settleTime);
    fleet.submit(makeJob("job", { batchStep(4) }));
    fleet.run(utils::milliseconds(12'000));
    EXPECT_EQ(fleet.workersRunning("service").size(), 12u);
    EXPECT_EQ(fleet.phase("job"), job_phase::Queued);
    setCapacities(fleet, fullCapacity);
    fleet.run(utils::milliseconds(4000));
    EXPECT_EQ(fleet.phase("job"), job_phase::Completed);
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

// The workers of one half have lost most of their capacity and can't tell; the other half has room for all tasks. Each task that
// is refused is late by a round trip and a delay.
TEST(ChangingCapacities, TasksAreOfferedAgainToWorkersThatRefusedThem)
{
    constexpr utils::milliseconds duration { 6000 };
    simulated_fleet fleet;
    prepare(fleet, true);
    for (unsigned number = 0; number < workerCount / 2; ++number) {
        fleet.worker(workerName(number)).faults.cannotRenewEntry = true;
        fleet.setCapacity(workerName(number), { 1'000, 128'000, 0 });
    }
    unsigned jobCount = 0;
    const auto end = fleet.now() + duration;
    while (fleet.now() < end) {
        fleet.submit(makeJob(absl::StrCat("job", jobCount++), { batchStep(8) }));
        fleet.run(utils::milliseconds(200));
    }
    // One start for each worker and half a second, and those that were sent together.
    const auto refusals = static_cast<unsigned>(duration / utils::milliseconds(500)) * workerCount / 2;
    EXPECT_LE(fleet.refusedStartCount(), refusals * 4);
    for (unsigned number = 0; number < workerCount; ++number)
        fleet.worker(workerName(number)).faults.cannotRenewEntry = false;
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.phase(absl::StrCat("job", jobCount - 1)) == job_phase::Completed; }, utils::milliseconds(2000)));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}
