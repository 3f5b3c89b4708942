#include <gtest/gtest.h>

#include <optional>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr utils::milliseconds startTime { 2000 };
constexpr utils::milliseconds silentTime { 1000 };
constexpr utils::milliseconds observedTime { 10'000 };

enum class leader_change {
    None,
    Planned,
    Unplanned,
};

struct end_list_case {
    const char* name;
    unsigned taskCount;
    std::size_t endsPerReport;
    leader_change change;
};

class end_lists : public testing::TestWithParam<end_list_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Changes, end_lists,
    testing::Values(end_list_case { "sameLeader", 12, 3, leader_change::None },
        end_list_case { "plannedChange", 12, 3, leader_change::Planned },
        end_list_case { "unplannedChange", 12, 3, leader_change::Unplanned },
        end_list_case { "unplannedChangeOneEndAtATime", 5, 1, leader_change::Unplanned },
        end_list_case { "unplannedChangeListsAreFull", 12, 6, leader_change::Unplanned },
        end_list_case { "sameLeaderListIsShort", 12, 500, leader_change::None },
        end_list_case { "unplannedChangeListIsShort", 12, 500, leader_change::Unplanned }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a second run of tasks that are done: a worker lists a limited number of ends at a time, and a run whose end was not among
// the first ones was taken for one that had never started (review/2).
TEST_P(end_lists, AreReadToTheirEndBeforeMissingRunsAreStartedAgain)
{
    const auto& parameters = GetParam();
    simulated_fleet fleet;
    fleet.addWorker("w1").endsPerReport = parameters.endsPerReport;
    fleet.submit(makeJob("job", { batchStep(parameters.taskCount) }));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job").size() == parameters.taskCount; }, startTime));
    fleet.worker("w1").faults.isUnresponsive = true;
    fleet.run(silentTime);
    ASSERT_EQ(fleet.worker("w1").ended.size(), parameters.taskCount);
    if (parameters.change != leader_change::None)
        fleet.changeLeader(parameters.change == leader_change::Planned);
    fleet.worker("w1").faults = {};
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.phase("job") == job_phase::Completed; }, observedTime));
    for (unsigned index = 0; index < parameters.taskCount; ++index)
        EXPECT_EQ(fleet.startCount({ "job", 0, 0, index }), 1u) << index;
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

// A worker whose ends can't be read in time must not hold up the tasks of the others for longer than its lease.
TEST(EndLists, WorkerThatIsLostBeforeItHasListedAllEndsIsWaitedForAsLongAsItsLease)
{
    const engine_settings settings;
    simulated_fleet fleet;
    fleet.addWorker("w1").endsPerReport = 1;
    fleet.submit(makeJob("job", { batchStep(3) }));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.workersRunning("job").size() == 3; }, startTime));
    fleet.worker("w1").faults.isUnresponsive = true;
    fleet.run(silentTime);
    fleet.changeLeader(true);
    fleet.worker("w1").faults = {};
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.engine().workers().at("w1")->hasAcceptedTerm; }, startTime));
    fleet.removeWorker("w1");
    fleet.addWorker("w2");
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.phase("job") == job_phase::Completed; }, settings.maximumLeaseDuration(settings.leaseDuration) + startTime));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

struct first_report_case {
    std::size_t endCount;
    bool isComplete;
};

class first_report : public testing::TestWithParam<first_report_case> {
};

INSTANTIATE_TEST_SUITE_P(Counts, first_report,
    testing::Values(first_report_case { 0, true }, first_report_case { 1, true }, first_report_case { 499, true }, first_report_case { 500, false }, first_report_case { 501, false }));

// A list below the known limit is complete by itself, so that tasks don't wait for a second report of a worker with ends.
TEST_P(first_report, EndsTheWaitForTheWorkerIfItsListIsBelowTheLimit)
{
    engine_settings settings;
    settings.endsPerReport = 500;
    job_engine engine(settings, 2, [](const engine_event&) {});
    const auto now = utils::time_point() + std::chrono::hours(1);
    engine.beginTerm({ { { "w1", "address:1", "dc" } }, 0, {} }, now);
    engine.announceWorker({ "w1", "address:1", "service", "dc", "rack", {}, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 }, now);
    const auto later = now + utils::milliseconds(600);
    engine.confirmDirectory(later);
    engine.confirmCancellations(later);
    for (const auto& command : engine.decideCommands(later)) {
        const auto* observe = std::get_if<observe_command>(&command);
        ASSERT_NE(observe, nullptr);
        external::observe_reply reply { external::order_outcome::Accepted, { 1, 1, {}, {} } };
        for (std::size_t number = 1; number <= GetParam().endCount; ++number)
            reply.workerState.ended.push_back({ number, { { "unknown", 0, 0, static_cast<unsigned>(number) }, 1 }, external::end_cause::Done, "" });
        engine.handleObserveReply("w1", *observe, reply, later, later);
    }
    engine.decideCommands(later + utils::milliseconds(50));
    EXPECT_EQ(engine.isRestoring(), !GetParam().isComplete);
}

namespace {

external::observe_reply reportOfEnds(std::size_t count, external::worker_time clock)
{
    external::observe_reply reply { external::order_outcome::Accepted, { clock, 1, {}, {} } };
    for (std::size_t number = 1; number <= count; ++number)
        reply.workerState.ended.push_back({ number, { { "unknown", 0, 0, static_cast<unsigned>(number) }, 1 }, external::end_cause::Done, "" });
    return reply;
}

template <typename Command>
std::vector<Command> commandsOf(const std::vector<engine_command>& commands)
{
    std::vector<Command> result;
    for (const auto& command : commands) {
        if (const auto* found = std::get_if<Command>(&command))
            result.push_back(*found);
    }
    return result;
}

} // namespace

class unanswered_start : public testing::TestWithParam<first_report_case> {
};

INSTANTIATE_TEST_SUITE_P(Counts, unanswered_start,
    testing::Values(first_report_case { 0, true }, first_report_case { 1, true }, first_report_case { 499, true }, first_report_case { 500, false }));

// Guards against capacity that stays reserved: on a worker with ends in each report, a start without effect was noticed late.
TEST_P(unanswered_start, IsWithdrawnOnceAReportWithAllEndsLacksIt)
{
    constexpr utils::milliseconds interval { 50 };
    engine_settings settings;
    settings.endsPerReport = 500;
    job_engine engine(settings, 1, [](const engine_event&) {});
    engine.setRules(std::make_shared<const deployment_rules>(defaultRules()));
    auto now = utils::time_point() + std::chrono::hours(1);
    external::worker_time clock = 1;
    const auto decide = [&] {
        now += interval;
        clock += interval.count();
        engine.confirmDirectory(now);
        engine.confirmCancellations(now);
        return engine.decideCommands(now);
    };
    const auto answerAll = [&](const std::vector<engine_command>& commands, std::size_t endCount) {
        for (const auto& observe : commandsOf<observe_command>(commands))
            engine.handleObserveReply("w1", observe, reportOfEnds(endCount, clock), now, now);
    };
    engine.beginTerm({}, now);
    engine.announceWorker({ "w1", "address:1", "service", "dc", "rack", {}, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 }, now);
    answerAll(decide(), 0);
    engine.markRosterStored(engine.roster());
    engine.add(makeJob("job", { batchStep(1) }), now);
    const auto commands = decide();
    const auto starts = commandsOf<start_command>(commands);
    ASSERT_EQ(starts.size(), 1u);
    answerAll(commands, 0);
    engine.handleStartReply("w1", starts.front().order.run, { external::order_outcome::NoAnswer, 0 }, now, now);
    const auto observations = decide();
    ASSERT_FALSE(commandsOf<observe_command>(observations).empty());
    answerAll(observations, GetParam().endCount);
    EXPECT_EQ(commandsOf<stop_command>(decide()).size(), GetParam().isComplete ? 1u : 0u);
}
