#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "jobs/replying_worker.h"
#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

bool isCompleted(const simulated_fleet& fleet, const std::string& job)
{
    return fleet.phase(job) == job_phase::Completed;
}

} // namespace

struct late_entry_case {
    const char* name;
    //! Time between the submission and the arrival of the restarted worker's entry.
    utils::milliseconds entryDelay;
    //! Change of the restarted worker's faults.
    void (*inject)(worker_faults& faults);
};

class restarted_worker_with_late_entry : public testing::TestWithParam<late_entry_case> {
};

INSTANTIATE_TEST_SUITE_P(Cases, restarted_worker_with_late_entry,
    testing::Values(
        late_entry_case { "beforeTheReply", utils::milliseconds(10), [](worker_faults&) {
                         } },
        late_entry_case { "afterTheReply", utils::milliseconds(50), [](worker_faults&) {
                         } },
        late_entry_case { "afterTheRun", utils::milliseconds(1500), [](worker_faults&) {
                         } },
        late_entry_case { "beforeTheTimeoutOfALostReply", utils::milliseconds(300), [](worker_faults& faults) {
                             faults.losesStartReplies = true;
                         } },
        late_entry_case { "afterTheTimeoutOfALostReply", utils::milliseconds(800), [](worker_faults& faults) {
                             faults.losesStartReplies = true;
                         } }),
    [](const auto& info) { return std::string(info.param.name); });

// The run that the new process had accepted was closed with those of the former one and started a second time.
TEST_P(restarted_worker_with_late_entry, RunOfTheNewProcessIsStartedElsewhere)
{
    simulated_fleet fleet;
    for (const char* id : { "w1", "w2", "w3" })
        fleet.addWorker(id);
    fleet.run(utils::milliseconds(3000));
    for (const char* id : { "w1", "w2", "w3" }) {
        fleet.restartWorker(id, GetParam().entryDelay);
        GetParam().inject(fleet.worker(id).faults);
    }
    fleet.submit(makeJob("job", { batchStep(6) }));
    EXPECT_TRUE(fleet.runUntil([&] { return isCompleted(fleet, "job"); }, utils::milliseconds(6000)));
    fleet.run(utils::milliseconds(3000));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    for (unsigned index = 0; index < 6; ++index)
        EXPECT_EQ(fleet.startCount({ "job", 0, 0, index }), 1u);
}

struct clock_setback_case {
    const char* name;
    utils::milliseconds entryDelay;
    std::int64_t formerIncarnation;
    std::int64_t nextIncarnation;
    //! Whether replies to starts are lost, which tell a restart by the worker's clock.
    bool losesStartReplies;
};

class restarted_worker_with_lower_incarnation : public testing::TestWithParam<clock_setback_case> {
};

INSTANTIATE_TEST_SUITE_P(Cases, restarted_worker_with_lower_incarnation,
    testing::Values(
        clock_setback_case { "entryFirst", utils::milliseconds(5), 10'000, 7000, true },
        clock_setback_case { "observationFirst", utils::milliseconds(3000), 10'000, 7000, true },
        clock_setback_case { "startReplyFirst", utils::milliseconds(3000), 10'000, 7000, false },
        clock_setback_case { "withoutEntry", utils::milliseconds(60'000), 10'000, 7000, true },
        clock_setback_case { "startReplyFirstThenAHigherOne", utils::milliseconds(3000), 10'000, 20'000, false }),
    [](const auto& info) { return std::string(info.param.name); });

// All answers of the new process were taken for late ones of a former process: its runs never ended, while its lease was renewed.
TEST_P(restarted_worker_with_lower_incarnation, RunsNeverEnd)
{
    simulated_fleet fleet;
    fleet.addWorker("w1").description.incarnation = GetParam().formerIncarnation;
    fleet.run(utils::milliseconds(300));
    fleet.submit(makeJob("before", { batchStep(4), serviceStep(1, "image") }));
    fleet.run(utils::milliseconds(3000));
    fleet.restartWorker("w1", GetParam().entryDelay);
    fleet.worker("w1").description.incarnation = GetParam().nextIncarnation;
    fleet.worker("w1").faults.losesStartReplies = GetParam().losesStartReplies;
    fleet.submit(makeJob("job", { batchStep(4) }));
    fleet.run(utils::milliseconds(1000));
    EXPECT_EQ(fleet.engine().workers().at("w1")->description.incarnation, GetParam().nextIncarnation);
    fleet.worker("w1").faults.losesStartReplies = false;
    EXPECT_TRUE(fleet.runUntil([&] { return isCompleted(fleet, "job"); }, utils::milliseconds(3000)));
    EXPECT_EQ(fleet.workersRunning("before").size(), 1u);
    fleet.run(utils::milliseconds(500));
    EXPECT_EQ(fleet.worker("w1").ended.size(), 0u) << "ends are not acknowledged";
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    for (unsigned index = 0; index < 4; ++index)
        EXPECT_EQ(fleet.startCount({ "job", 0, 0, index }), 1u);
    // The next restart is known by its entry again.
    fleet.restartWorker("w1");
    fleet.worker("w1").description.incarnation = GetParam().formerIncarnation * 3;
    fleet.submit(makeJob("after", { batchStep(4) }));
    EXPECT_TRUE(fleet.runUntil([&] { return isCompleted(fleet, "after"); }, utils::milliseconds(3000)));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

class late_listing : public testing::TestWithParam<std::int64_t> {
};

// That of the former process, one before it, and one that is lower than the present one.
INSTANTIATE_TEST_SUITE_P(Incarnations, late_listing, testing::Values(10'000, 9000, 5000));

// The entry of a former process, which a listing may still show, was taken for a restart if its incarnation is higher.
TEST_P(late_listing, RunsOfThePresentProcessAreLost)
{
    simulated_fleet fleet;
    fleet.addWorker("w1").description.incarnation = 10'000;
    fleet.run(utils::milliseconds(300));
    fleet.restartWorker("w1", utils::milliseconds(60'000));
    auto& worker = fleet.worker("w1");
    worker.description.incarnation = 7000;
    fleet.submit(makeJob("job", { serviceStep(4, "image") }));
    fleet.run(utils::milliseconds(3000));
    ASSERT_EQ(fleet.workersRunning("job").size(), 4u);
    auto entry = worker.description;
    entry.incarnation = GetParam();
    fleet.engine().announceWorker(entry, fleet.now());
    fleet.run(utils::milliseconds(3000));
    EXPECT_EQ(fleet.engine().workers().at("w1")->description.incarnation, 7000);
    EXPECT_EQ(fleet.engine().workers().at("w1")->runs.size(), 4u);
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    for (unsigned index = 0; index < 4; ++index)
        EXPECT_EQ(fleet.startCount({ "job", 0, 0, index }), 1u);
    // Starts and leases go on.
    fleet.submit(makeJob("next", { batchStep(2) }));
    EXPECT_TRUE(fleet.runUntil([&] { return isCompleted(fleet, "next"); }, utils::milliseconds(2000)));
}

// A start that the former process answered set the clock far ahead, so that all reports of the new process were ignored.
TEST(RestartedWorker, LateReplyOfTheFormerProcessSetsTheClockOfTheNewOne)
{
    simulated_fleet fleet;
    fleet.addWorker("w1");
    fleet.run(utils::milliseconds(200));
    fleet.submit(makeJob("job", { serviceStep(1, "image") }));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.startCount({ "job", 0, 0, 0 }) == 1; }, utils::milliseconds(500)));
    fleet.restartWorker("w1");
    fleet.run(utils::milliseconds(1000));
    EXPECT_LT(fleet.engine().workers().at("w1")->clock, 2000);
    EXPECT_EQ(fleet.workersRunning("job").size(), 1u);
    EXPECT_EQ(fleet.startCount({ "job", 0, 0, 0 }), 2u);
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}

class restarted_worker_without_reports : public testing::TestWithParam<bool> {
};

INSTANTIATE_TEST_SUITE_P(LosesStartReplies, restarted_worker_without_reports, testing::Bool(), [](const auto& info) { return info.param ? "yes" : "no"; });

// The number of the former process's last end made the new one forget the end of a run, which was then started again.
TEST_P(restarted_worker_without_reports, EndOfTheNewProcessIsAcknowledgedUnseen)
{
    simulated_fleet fleet;
    fleet.addWorker("w1");
    fleet.run(utils::milliseconds(200));
    fleet.submit(makeJob("first", { batchStep(8) }));
    ASSERT_TRUE(fleet.runUntil([&] { return isCompleted(fleet, "first"); }, utils::milliseconds(2000)));
    fleet.run(utils::milliseconds(500));
    fleet.restartWorker("w1", utils::milliseconds(8000));
    fleet.worker("w1").faults.losesObserveReplies = true;
    fleet.worker("w1").faults.losesStartReplies = GetParam();
    fleet.submit(makeJob("job", { batchStep(4) }));
    fleet.run(utils::milliseconds(1500));
    fleet.worker("w1").faults = {};
    EXPECT_TRUE(fleet.runUntil([&] { return isCompleted(fleet, "job"); }, utils::milliseconds(6000)));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    for (unsigned index = 0; index < 4; ++index)
        EXPECT_EQ(fleet.startCount({ "job", 0, 0, index }), 1u);
}

// A restarted worker executed starts late whose stop its former process had confirmed, beside the next runs of their tasks.
TEST(RestartedWorker, StopOfTheFormerProcessIsForgotten)
{
    constexpr unsigned count = 4;
    simulated_fleet fleet;
    fleet.addWorker("w1").faults.startDelay = utils::milliseconds(2500);
    fleet.run(utils::milliseconds(200));
    fleet.submit(makeJob("job", { serviceStep(count, "image") }));
    fleet.run(utils::milliseconds(100));
    fleet.addWorker("w2");
    fleet.run(utils::milliseconds(1400));
    // The leader learns of the restart after the start.
    fleet.restartWorker("w1", utils::milliseconds(60'000));
    fleet.worker("w1").faults.restartedProcessExecutesLateStarts = true;
    fleet.worker("w1").faults.losesObserveReplies = true;
    fleet.run(utils::milliseconds(1500));
    fleet.worker("w1").faults.losesObserveReplies = false;
    fleet.run(utils::milliseconds(1500));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    EXPECT_EQ(fleet.workersRunning("job").size(), count);
}

// A run that had been closed was listed by a restarted worker, skipped without a stop, and ran on beside the next one.
TEST(RestartedWorker, ListedRunIsSkippedBecauseItsNumberIsClosed)
{
    replying_worker worker;
    worker.addOtherWorker();
    worker.engine().add(makeJob("job", { serviceStep(1, "image") }), worker.now());
    worker.decide();
    const auto start = *worker.takeStart();
    worker.answer(*worker.takeObservation(), replying_worker::firstIncarnation, {});
    worker.reply(start, external::order_outcome::NoAnswer);
    const auto answerObservation = [&] {
        if (const auto observation = worker.takeObservation())
            worker.answer(*observation, replying_worker::firstIncarnation, {});
    };
    ASSERT_TRUE(worker.decideUntil([&] {
        answerObservation();
        return worker.takeStop().has_value();
    }));
    // Its end isn't known, so that the task starts again only after the report that follows the confirmed stop.
    worker.confirmStop(start.order.run);
    ASSERT_TRUE(worker.decideUntil([&] {
        answerObservation();
        return worker.state().runs.empty();
    }));
    worker.decide(utils::milliseconds(300));
    const auto observation = worker.takeObservation();
    ASSERT_TRUE(observation);
    worker.answer(*observation, replying_worker::firstIncarnation, { start.order.run });
    worker.decide();
    const auto stop = worker.takeStop();
    ASSERT_TRUE(stop);
    EXPECT_EQ(stop->run, start.order.run);
}

// A worker that restarted at another address lost the runs of its new process when its former address answered late.
TEST(RestartedWorker, RunsAreLostWhenAnotherWorkerAnswersAtTheFormerAddress)
{
    const auto now = utils::time_point() + std::chrono::hours(1);
    worker_description worker { "w0", "former address", "service", "dc", "rack", { "a" }, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 };
    job_engine engine({}, 1, [](const engine_event&) {});
    engine.setRules(std::make_shared<const deployment_rules>(defaultRules()));
    engine.beginTerm({}, now);
    engine.announceWorker(worker, now);
    const observe_command formerObservation { { worker.id, worker.endpoint }, { 0, engine.workers().at(worker.id)->fence }, true, { worker.endpoint, worker.incarnation, 1 } };
    engine.handleObserveReply(worker.id, formerObservation, { external::order_outcome::Accepted, { 1, worker.incarnation, {}, {} } }, now, now);
    worker.endpoint = "present address";
    ++worker.incarnation;
    engine.announceWorker(worker, now);
    observe_command observation { { worker.id, worker.endpoint }, { 0, engine.workers().at(worker.id)->fence }, true, { worker.endpoint, worker.incarnation, 1 } };
    engine.handleObserveReply(worker.id, observation, { external::order_outcome::Accepted, { 1, worker.incarnation, {}, {} } }, now, now);
    engine.markRosterStored({ { worker.id, worker.endpoint, worker.dataCentre } });
    engine.confirmDirectory(now);
    engine.confirmCancellations(now);
    engine.add(makeJob("job", { batchStep(1) }), now);
    const auto commands = engine.decideCommands(now);
    ASSERT_EQ(engine.workers().at(worker.id)->runs.size(), 1u);
    engine.handleObserveReply(worker.id, formerObservation, { external::order_outcome::OtherIncarnation, {} }, now, now);
    EXPECT_EQ(engine.workers().at(worker.id)->runs.size(), 1u);
    engine.handleObserveReply(worker.id, formerObservation, { external::order_outcome::NoAnswer, {} }, now, now);
    EXPECT_EQ(engine.workers().at(worker.id)->unansweredObserves, 0u);
    observation.decidedAt = now + utils::milliseconds(1);
    engine.handleObserveReply(worker.id, observation, { external::order_outcome::OtherIncarnation, {} }, observation.decidedAt, observation.decidedAt);
    EXPECT_EQ(engine.workers().at(worker.id)->runs.size(), 0u);
}

struct replacement_case {
    const char* name;
    //! The reply of the other worker concerns a start, else an observation.
    bool concernsStart;
    //! The present process confirms the start that was sent later.
    bool isConfirmed;
};

class replaced_worker_that_comes_back : public testing::TestWithParam<replacement_case> {
protected:
    //! Has the leader learn late that another worker answered, after a start that the worker executed when it had come back.
    external::run_id startBesideLateReply()
    {
        m_worker.engine().add(makeJob("earlier", { serviceStep(1, "image") }), m_worker.now());
        m_worker.decide();
        const auto earlierStart = *m_worker.takeStart();
        m_worker.answer(*m_worker.takeObservation(), replying_worker::firstIncarnation, {}, { { 3, { { "unknown", 0, 0, 0 }, 1 }, external::end_cause::Done, "" } });
        m_worker.decide();
        const auto observation = *m_worker.takeObservation();
        m_worker.engine().add(makeJob("job", { serviceStep(1, "image") }), m_worker.now());
        m_worker.decide();
        const auto start = *m_worker.takeStart();
        m_worker.addOtherWorker();
        m_worker.decide();
        if (GetParam().isConfirmed)
            m_worker.reply(start, external::order_outcome::Accepted);
        if (GetParam().concernsStart)
            m_worker.reply(earlierStart, external::order_outcome::OtherIncarnation);
        else
            m_worker.fail(observation, external::order_outcome::OtherIncarnation);
        return start.order.run;
    }

    bool hasRun(const external::run_id& id) const
    {
        return std::ranges::any_of(m_worker.state().runs, [&](const auto* run) { return run->job->spec.id == id.task.job && run->number == id.number; });
    }

    replying_worker m_worker;
};

INSTANTIATE_TEST_SUITE_P(Replies, replaced_worker_that_comes_back,
    testing::Values(
        replacement_case { "observationBeforeAStart", false, false },
        replacement_case { "observationBeforeAConfirmedStart", false, true },
        replacement_case { "startBeforeAStart", true, false },
        replacement_case { "startBeforeAConfirmedStart", true, true }),
    [](const auto& info) { return std::string(info.param.name); });

// The reply of the other worker closed runs that were ordered after it, and their tasks were started elsewhere beside them.
TEST_P(replaced_worker_that_comes_back, RunThatWasOrderedLaterIsStartedElsewhere)
{
    const auto run = startBesideLateReply();
    EXPECT_EQ(m_worker.state().runs.size(), 1u) << "only the earlier run is lost";
    EXPECT_TRUE(hasRun(run));
    for (unsigned round = 0; round < 100; ++round) {
        m_worker.decide();
        while (const auto observation = m_worker.takeObservation()) {
            EXPECT_EQ(observation->order.acknowledgedEnd, 0u);
            m_worker.answer(*observation, replying_worker::firstIncarnation + 1, { run });
        }
    }
    EXPECT_TRUE(hasRun(run));
    EXPECT_EQ(m_worker.startsElsewhere(), 1u);
}

// A kept run must not keep its task waiting: the next reply of the other worker concerns it.
TEST_P(replaced_worker_that_comes_back, TaskWaitsWhileTheOtherWorkerAnswers)
{
    startBesideLateReply();
    for (unsigned round = 0; round < 100 && m_worker.startsElsewhere() < 2; ++round) {
        m_worker.decide();
        while (const auto observation = m_worker.takeObservation())
            m_worker.fail(*observation, external::order_outcome::OtherIncarnation);
    }
    EXPECT_EQ(m_worker.startsElsewhere(), 2u);
}

// The same if nothing answers any more.
TEST_P(replaced_worker_that_comes_back, TaskWaitsForALeaseThatHasExpired)
{
    const auto run = startBesideLateReply();
    const auto begin = m_worker.now();
    while (m_worker.now() < begin + utils::milliseconds(11'000) && m_worker.startsElsewhere() < 2) {
        m_worker.decide();
        while (const auto observation = m_worker.takeObservation()) {
            EXPECT_EQ(observation->order.leaseEnd, 0);
            m_worker.fail(*observation, external::order_outcome::NoAnswer);
        }
        // The process that came back may hold the longest lease.
        EXPECT_TRUE(hasRun(run) || m_worker.now() > begin + utils::milliseconds(10'000));
    }
    EXPECT_EQ(m_worker.startsElsewhere(), 2u);
}

// A worker that came back at its address forgot ends that nobody had seen.
TEST(ReplacedWorker, EndsAreAcknowledgedByTheNumbersOfTheFormerProcess)
{
    replying_worker worker;
    worker.engine().add(makeJob("job", { serviceStep(1, "image") }), worker.now());
    worker.decide();
    worker.answer(*worker.takeObservation(), replying_worker::firstIncarnation, {}, { { 3, { { "unknown", 0, 0, 0 }, 1 }, external::end_cause::Done, "" } });
    worker.decide();
    const auto observation = *worker.takeObservation();
    EXPECT_EQ(observation.order.acknowledgedEnd, 3u);
    worker.fail(observation, external::order_outcome::OtherIncarnation);
    EXPECT_EQ(worker.state().runs.size(), 0u);
    worker.decide(utils::milliseconds(5100));
    const auto next = worker.takeObservation();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->order.acknowledgedEnd, 0u);
}

// A late entry with an address that the worker had before led to another worker, whose reply closed runs at the present one.
TEST(ReplacedWorker, RunIsLostByAReplyFromAnotherAddress)
{
    replying_worker worker;
    worker.engine().add(makeJob("job", { serviceStep(1, "image") }), worker.now());
    worker.decide();
    const auto start = *worker.takeStart();
    worker.reply(start, external::order_outcome::Accepted);
    worker.answer(*worker.takeObservation(), replying_worker::firstIncarnation, { start.order.run });
    auto entry = replying_worker::description("w0");
    entry.endpoint = "former address of w0";
    worker.engine().announceWorker(entry, worker.now());
    worker.decide();
    worker.fail(*worker.takeObservation(), external::order_outcome::OtherIncarnation);
    EXPECT_EQ(worker.state().runs.size(), 1u);
}

struct late_answer_case {
    const char* name;
    //! The order without an answer is a start, else an observation.
    bool isStartUnanswered;
    //! Time between that order and the answer to an earlier observation.
    utils::milliseconds answeredAfter;
    bool endsSilence;
};

class late_answer_of_a_silent_worker : public testing::TestWithParam<late_answer_case> {
};

INSTANTIATE_TEST_SUITE_P(Answers, late_answer_of_a_silent_worker,
    testing::Values(
        late_answer_case { "beforeAStart", true, utils::milliseconds(-5), false },
        late_answer_case { "withAStart", true, utils::milliseconds(1), false },
        late_answer_case { "afterAStart", true, utils::milliseconds(100), true },
        late_answer_case { "beforeAnObservation", false, utils::milliseconds(-5), false },
        late_answer_case { "withAnObservation", false, utils::milliseconds(1), false },
        late_answer_case { "afterAnObservation", false, utils::milliseconds(100), true }),
    [](const auto& info) { return std::string(info.param.name); });

// An answer that the former process had given before it fell silent had ends of the next one acknowledged by its numbers,
// and renewed the lease by its clock.
TEST_P(late_answer_of_a_silent_worker, EndsASilenceThatBeganAfterIt)
{
    replying_worker worker;
    worker.engine().add(makeJob("first", { serviceStep(1, "image") }), worker.now());
    worker.decide();
    worker.reply(*worker.takeStart(), external::order_outcome::Accepted);
    worker.answer(*worker.takeObservation(), replying_worker::firstIncarnation, {}, { { 3, { { "unknown", 0, 0, 0 }, 1 }, external::end_cause::Done, "" } });
    worker.decide();
    const auto earlier = *worker.takeObservation();
    EXPECT_EQ(earlier.order.acknowledgedEnd, 3u);
    const external::run_end end { 4, { { "unknown", 0, 0, 0 }, 1 }, external::end_cause::Done, "" };
    utils::time_point sentAt;
    if (GetParam().isStartUnanswered) {
        worker.engine().add(makeJob("second", { serviceStep(1, "image") }), worker.now());
        worker.decide();
        sentAt = worker.now();
        const auto start = *worker.takeStart();
        worker.decide(utils::milliseconds(500));
        worker.reply(start, external::order_outcome::NoAnswer, sentAt);
        worker.answerLate(earlier, sentAt + GetParam().answeredAfter, false, end);
    } else {
        worker.decide(utils::milliseconds(650));
        worker.fail(earlier, external::order_outcome::NoAnswer);
        worker.decide(utils::milliseconds(300));
        sentAt = worker.now();
        const auto later = *worker.takeObservation();
        worker.decide(utils::milliseconds(650));
        worker.fail(later, external::order_outcome::NoAnswer);
        worker.answerLate(earlier, sentAt + GetParam().answeredAfter, true, end);
    }
    worker.decide(utils::milliseconds(300));
    const auto next = worker.takeObservation();
    ASSERT_TRUE(next);
    EXPECT_EQ(next->order.acknowledgedEnd, GetParam().endsSilence ? 4u : 0u);
    if (!GetParam().isStartUnanswered) {
        EXPECT_EQ(next->order.leaseEnd != 0, GetParam().endsSilence);
    }
    // An answer to an observation that was sent later always ends the silence.
    worker.answer(*next, replying_worker::firstIncarnation, {});
    EXPECT_FALSE(worker.state().mayHaveRestarted);
    EXPECT_EQ(worker.state().unansweredObserves, 0u);
}

class restarted_workers_under_mixed_faults : public testing::TestWithParam<std::uint64_t> {
};

INSTANTIATE_TEST_SUITE_P(Seeds, restarted_workers_under_mixed_faults, testing::Range<std::uint64_t>(1, 49));

// Restarts with late entries, lost replies, starts that a process executes late, and lost leaders.
TEST_P(restarted_workers_under_mixed_faults, KeepsInvariants)
{
    constexpr unsigned workerCount = 5;
    simulated_fleet fleet(GetParam());
    std::mt19937_64 random(GetParam());
    const auto randomWorker = [&] {
        return "w" + std::to_string(random() % workerCount);
    };
    for (unsigned number = 0; number < workerCount; ++number)
        fleet.addWorker("w" + std::to_string(number));
    fleet.run(utils::milliseconds(200));
    unsigned jobs = 0;
    for (unsigned round = 0; round < 40; ++round) {
        for (unsigned count = 0; count < random() % 3; ++count)
            fleet.submit(makeJob("job" + std::to_string(jobs++), { batchStep(1 + static_cast<unsigned>(random() % 6)) }));
        auto& faults = fleet.worker(randomWorker()).faults;
        switch (random() % 8) {
        case 0:
            faults.losesStartReplies = !faults.losesStartReplies;
            break;
        case 1:
            faults.losesReplies = !faults.losesReplies;
            break;
        case 2:
            faults.startDelay = utils::milliseconds(random() % 2 == 0 ? 1500 : 0);
            break;
        case 3:
        case 4:
            fleet.restartWorker(randomWorker(), utils::milliseconds(random() % 1500));
            break;
        case 5:
            if (random() % 3 == 0)
                fleet.changeLeader();
            break;
        default:
            break;
        }
        fleet.run(utils::milliseconds(100 + random() % 500));
    }
    for (unsigned number = 0; number < workerCount; ++number)
        fleet.worker("w" + std::to_string(number)).faults = {};
    fleet.run(utils::milliseconds(20'000));
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
    for (unsigned number = 0; number < jobs; ++number) {
        const auto phase = fleet.phase("job" + std::to_string(number));
        ASSERT_TRUE(phase);
        EXPECT_TRUE(isFinal(*phase)) << "job" << number << " is " << toString(*phase);
    }
}
