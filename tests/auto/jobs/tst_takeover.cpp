#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>

#include "jobs/partitioned_takeover.h"
#include "jobs/simulated_fleet.h"
#include "protocol/jobs.pb.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr utils::milliseconds startTime { 2000 };
constexpr utils::milliseconds observedTime { 20'000 };
constexpr utils::milliseconds formerLeaderTime { 7000 };
// Times after which a lease has ended that the former leader granted last, or that a worker gave itself.
const utils::milliseconds longestLease = engine_settings().maximumLeaseDuration(engine_settings().leaseDuration);
const utils::milliseconds longestFormerLease = formerLeaderTime + longestLease;
const utils::milliseconds longestLeaseOnWorker = engine_settings().maximumLeaseDuration(engine_settings().longestLeaseOnWorker);
constexpr utils::milliseconds settlingTime { 1000 };

} // namespace

struct takeover_case {
    const char* name;
    unsigned taskCount;
    //! How long the former leader sends orders beside the new one, unless it is deposed.
    utils::milliseconds formerTime;
};

class takeover : public testing::TestWithParam<takeover_case> {
};

// Guards against a second run of a task whose worker has lost its directory entry but not its former leader.
INSTANTIATE_TEST_SUITE_P(UnlistedWorkers, takeover,
    testing::Values(takeover_case { "oneWorkerFormerLeaderAlive", 1, formerLeaderTime },
        takeover_case { "oneWorkerFormerLeaderEnds", 1, utils::milliseconds(0) },
        takeover_case { "allWorkersFormerLeaderAlive", 6, formerLeaderTime },
        takeover_case { "allWorkersFormerLeaderEnds", 6, utils::milliseconds(0) }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(takeover, RunsOfUnlistedWorkersAreAdopted)
{
    simulated_fleet fleet;
    for (const char* id : { "w1", "w2", "w3" })
        fleet.addWorker(id);
    fleet.submit(makeJob("job", { serviceStep(GetParam().taskCount, "image") }));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job").size() == GetParam().taskCount; }, startTime));
    const auto workersBefore = fleet.workersRunning("job");
    for (const auto& id : std::set<std::string>(workersBefore.begin(), workersBefore.end()))
        fleet.loseEntry(id);
    fleet.changeLeaderBesideFormer(GetParam().formerTime);
    fleet.run(observedTime);
    EXPECT_EQ(fleet.workersRunning("job"), workersBefore);
    for (unsigned index = 0; index < GetParam().taskCount; ++index)
        EXPECT_EQ(fleet.startCount({ "job", 0, 0, index }), 1u) << index;
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

class takeover_beside_partition : public testing::TestWithParam<partition_case> {
};

INSTANTIATE_TEST_SUITE_P(Partitions, takeover_beside_partition,
    testing::Values(partition_case { "entriesStay", entry_loss::Never, formerLeaderTime },
        partition_case { "entriesExpireAfterTheChange", entry_loss::AfterTheChange, formerLeaderTime },
        partition_case { "entriesExpireAfterTheChangeFormerLeaderEndsSooner", entry_loss::AfterTheChange, utils::milliseconds(3000) }),
    [](const auto& info) { return std::string(info.param.name); });

// The runs of a worker that only the former leader reached were started again while that leader still renewed their lease.
TEST_P(takeover_beside_partition, RunsOfWorkersThatOnlyTheFormerLeaderReachesAreNotStartedTwice)
{
    playPartition(GetParam());
}

// Guards against a longer wait for workers without an entry than for their lease, when no former leader can renew it.
TEST(Takeover, RemovedWorkersAreWaitedForTheirLeaseAfterAPlannedHandover)
{
    simulated_fleet fleet;
    for (const char* id : { "w1", "w2", "w3" })
        fleet.addWorker(id);
    fleet.submit(makeJob("job", { serviceStep(6, "image") }));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job").size() == 6; }, startTime));
    fleet.removeWorker("w1");
    fleet.changeLeader(true);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job").size() == 6; }, longestLease + settlingTime));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

// The entry of a new process ended the wait for a worker that only the former leader reached, which started its tasks there again.
TEST(Takeover, EntryOfANewProcessDoesNotEndTheWait)
{
    simulated_fleet fleet;
    fleet.addWorker("w1");
    fleet.submit(makeJob("job", { serviceStep(2, "image") }));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job").size() == 2; }, startTime));
    worker_faults partition;
    partition.unreachableTerms = { fleet.nextTerm() };
    fleet.worker("w1").faults = partition;
    fleet.changeLeaderBesideFormer(formerLeaderTime);
    fleet.addWorker("w2");
    fleet.run(utils::milliseconds(1000));
    fleet.restartWorker("w1");
    fleet.worker("w1").faults = partition;
    ASSERT_TRUE(fleet.runUntil([&] { return std::ranges::count(fleet.workersRunning("job"), "w1") == 2; }, startTime)) << "the former leader has not started the tasks again";
    fleet.run(longestFormerLease);
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job") == std::vector<std::string>(2, "w2"); }, settlingTime));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

// A new process may give a late start a lease that is longer than the rest of the wait.
TEST(Takeover, NewProcessIsWaitedForAsLongAsItsLongestLease)
{
    simulated_fleet fleet;
    fleet.addWorker("w1");
    fleet.submit(makeJob("job", { serviceStep(2, "image") }));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job").size() == 2; }, startTime));
    worker_faults partition;
    partition.unreachableTerms = { fleet.nextTerm() };
    fleet.worker("w1").faults = partition;
    fleet.changeLeader(true);
    fleet.addWorker("w2");
    fleet.run(longestLease - settlingTime);
    fleet.restartWorker("w1");
    fleet.worker("w1").faults = partition;
    fleet.run(longestLeaseOnWorker);
    EXPECT_EQ(fleet.workersRunning("job"), std::vector<std::string>());
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job") == std::vector<std::string>(2, "w2"); }, settlingTime));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

class lease_of_restarted_worker : public testing::TestWithParam<bool> {
};

INSTANTIATE_TEST_SUITE_P(AnswersTheNextLeader, lease_of_restarted_worker, testing::Bool(), [](const auto& info) { return info.param ? "once" : "never"; });

// The next leader didn't know of the lease that a worker may give to a late start after its restart.
TEST_P(lease_of_restarted_worker, IsHandedOver)
{
    constexpr unsigned taskCount = 5;
    constexpr utils::milliseconds startDelay { 450 };
    constexpr utils::milliseconds timeBeforeStart { 50 };
    simulated_fleet fleet;
    fleet.addWorker("w1").faults.startDelay = startDelay;
    fleet.run(utils::milliseconds(200));
    fleet.submit(makeJob("job", { serviceStep(taskCount, "image") }));
    fleet.run(startDelay - timeBeforeStart);
    fleet.restartWorker("w1");
    worker_faults faults;
    faults.restartedProcessExecutesLateStarts = true;
    faults.unreachableTerms = { fleet.term(), fleet.nextTerm() };
    fleet.worker("w1").faults = faults;
    fleet.changeLeader(true);
    fleet.addWorker("w2");
    fleet.run(timeBeforeStart * 3);
    ASSERT_FALSE(fleet.workersRunning("job").empty()) << "no start took effect late";
    if (GetParam()) {
        fleet.worker("w1").faults = {};
        ASSERT_TRUE(fleet.runUntil([&] { return fleet.engine().workers().at("w1")->hasAcceptedTerm; }, settlingTime));
        fleet.worker("w1").faults = faults;
    }
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job") == std::vector<std::string>(taskCount, "w2"); }, longestLeaseOnWorker + settlingTime));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

struct other_worker_case {
    const char* name;
    //! Address in the directory; empty without an entry.
    const char* listedAddress;
    bool endsTheWait;
};

class other_worker_at_address : public testing::TestWithParam<other_worker_case> {
};

INSTANTIATE_TEST_SUITE_P(Addresses, other_worker_at_address,
    testing::Values(other_worker_case { "ofTheRoster", "", true },
        other_worker_case { "ofTheRosterAndTheDirectory", "address:1", true },
        other_worker_case { "ofTheDirectoryOnly", "address:2", false }),
    [](const auto& info) { return std::string(info.param.name); });

// An entry that was older than the roster, at whose address another worker answered, ended the wait for the worker.
TEST_P(other_worker_at_address, EndsTheWaitForTheWorkerOfTheRosterOnly)
{
    job_engine engine(engine_settings {}, 2, [](const engine_event&) {});
    engine.setRules(std::make_shared<deployment_rules>(defaultRules()));
    const auto begin = utils::time_point() + std::chrono::hours(1);
    engine.restore(makeJob("job", { batchStep(1) }), {}, false, begin);
    engine.beginTerm({ { { "w1", "address:1", "dc" } }, 0, {} }, begin);
    worker_description worker { "w2", "address:3", "service", "dc", "rack", {}, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 };
    engine.announceWorker(worker, begin);
    worker.id = "w1";
    worker.endpoint = GetParam().listedAddress;
    if (!worker.endpoint.empty())
        engine.announceWorker(worker, begin);
    engine.markRosterStored(engine.roster());
    const auto findFirstStart = [&](utils::milliseconds limit) -> std::optional<utils::milliseconds> {
        for (auto now = begin; now <= begin + limit; now += utils::milliseconds(50)) {
            const auto sinceBegin = std::chrono::duration_cast<utils::milliseconds>(now - begin);
            engine.confirmDirectory(now);
            engine.confirmCancellations(now);
            for (const auto& command : engine.decideCommands(now)) {
                if (std::holds_alternative<start_command>(command))
                    return sinceBegin;
                const auto* observe = std::get_if<observe_command>(&command);
                if (observe == nullptr)
                    continue;
                const bool isSecond = observe->worker.id == "w2";
                const external::observe_reply reply { isSecond ? external::order_outcome::Accepted : external::order_outcome::OtherIncarnation, { isSecond ? sinceBegin.count() + 1 : 0, isSecond ? 1 : 0, {}, {} } };
                engine.handleObserveReply(observe->worker.id, *observe, reply, now, now);
            }
        }
        return std::nullopt;
    };
    const auto startedAfter = findFirstStart(longestFormerLease + settlingTime);
    ASSERT_TRUE(startedAfter);
    if (GetParam().endsTheWait)
        EXPECT_LE(startedAfter->count(), settlingTime.count());
    else
        EXPECT_GE(startedAfter->count(), longestFormerLease.count());
}

// A stored address that is out of date would have the next leader query another process.
TEST(Roster, RestartedWorkerGetsNoTaskBeforeItsNewAddressIsStored)
{
    job_engine engine(engine_settings {}, 1, [](const engine_event&) {});
    engine.setRules(std::make_shared<deployment_rules>(defaultRules()));
    auto now = utils::time_point() + std::chrono::hours(1);
    engine.beginTerm({}, now);
    worker_description worker { "w1", "address:1", "service", "dc", "rack", {}, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 };
    engine.announceWorker(worker, now);
    engine.markRosterStored(engine.roster());
    worker.endpoint = "address:2";
    worker.incarnation = 2;
    engine.announceWorker(worker, now);
    engine.add(makeJob("job", { batchStep(1) }), now);
    const auto startedTasks = [&] {
        unsigned count = 0;
        now += utils::milliseconds(50);
        engine.confirmDirectory(now);
        engine.confirmCancellations(now);
        for (const auto& command : engine.decideCommands(now)) {
            if (const auto* observe = std::get_if<observe_command>(&command))
                engine.handleObserveReply("w1", *observe, { external::order_outcome::Accepted, { 1, 2, {}, {} } }, now, now);
            count += std::holds_alternative<start_command>(command) ? 1 : 0;
        }
        return count;
    };
    for (int round = 0; round < 20; ++round)
        EXPECT_EQ(startedTasks(), 0u);
    ASSERT_TRUE(engine.needsRosterWrite());
    engine.markRosterStored(engine.roster());
    EXPECT_FALSE(engine.needsRosterWrite());
    EXPECT_EQ(startedTasks(), 1u);
}

// Guards against a leader that takes workers for gone whose entries it has not read yet.
TEST(Roster, WorkersAreNotGoneBeforeTheDirectoryIsRead)
{
    constexpr utils::milliseconds directoryDelay { 6000 };
    job_engine engine(engine_settings {}, 2, [](const engine_event&) {});
    engine.setRules(std::make_shared<deployment_rules>(defaultRules()));
    const auto begin = utils::time_point() + std::chrono::hours(1);
    engine.restore(makeJob("job", { batchStep(1) }), {}, false, begin);
    engine.beginTerm({ { { "w1", "address:1", "dc" } }, 0, {} }, begin);
    worker_description worker { "w2", "address:2", "service", "dc", "rack", {}, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 };
    const auto startedTasks = [&](utils::time_point now) {
        unsigned count = 0;
        for (const auto& command : engine.decideCommands(now)) {
            const auto* observe = std::get_if<observe_command>(&command);
            if (observe != nullptr && observe->worker.id == "w2")
                engine.handleObserveReply("w2", *observe, { external::order_outcome::Accepted, { std::chrono::duration_cast<utils::milliseconds>(now - begin).count() + 1, 1, {}, {} } }, now, now);
            count += std::holds_alternative<start_command>(command) ? 1 : 0;
        }
        return count;
    };
    auto now = begin;
    for (; now < begin + directoryDelay; now += utils::milliseconds(50))
        EXPECT_EQ(startedTasks(now), 0u);
    engine.announceWorker(worker, now);
    worker.id = "w1";
    worker.endpoint = "address:1";
    engine.announceWorker(worker, now);
    engine.markRosterStored(engine.roster());
    const auto grace = engine_settings().formerLeaderGracePeriod + engine_settings().maximumLeaseDuration(engine_settings().leaseDuration);
    for (; now < begin + grace; now += utils::milliseconds(50)) {
        engine.confirmDirectory(now);
        engine.confirmCancellations(now);
        EXPECT_EQ(startedTasks(now), 0u);
    }
    engine.confirmDirectory(now += utils::milliseconds(100));
    engine.confirmCancellations(now);
    EXPECT_EQ(startedTasks(now), 1u);
}

TEST(Roster, IsReadAsItWasWritten)
{
    const worker_roster roster { { { "w1", "address:1", "dc1" }, { "w2", "address:2", "dc2" } }, 3, { { "w2", utils::milliseconds(100) } } };
    EXPECT_EQ(parseRoster(encodeRoster(roster)).value(), roster);
}

TEST(Roster, OfAnOlderDaemonHasNoAddresses)
{
    protocol::WorkerRoster record;
    record.add_workers("w1");
    record.add_workers("w2");
    const worker_roster expected { { { "w1", "", "" }, { "w2", "", "" } }, 0, {} };
    EXPECT_EQ(parseRoster(record.SerializeAsString()).value(), expected);
}
