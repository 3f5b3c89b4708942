#include <gtest/gtest.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/replying_worker.h"
#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;
using utils::milliseconds;

struct stopped_relay_case {
    const char* name;
    //! Time after which the observations that were under way at the restart are executed.
    milliseconds delay;
    //! Time for which the worker's process is gone.
    milliseconds downTime;
    milliseconds entryDelay;
};

class observation_for_a_former_process : public testing::TestWithParam<stopped_relay_case> {
};

INSTANTIATE_TEST_SUITE_P(Delays, observation_for_a_former_process,
    testing::Values(
        stopped_relay_case { "longestStop", milliseconds(3900), milliseconds(1000), milliseconds(0) },
        stopped_relay_case { "lateEntry", milliseconds(3900), milliseconds(1000), milliseconds(8000) },
        stopped_relay_case { "belowTheLimitOfStarts", milliseconds(900), milliseconds(100), milliseconds(0) },
        stopped_relay_case { "belowTheLimitOfStartsWithALateEntry", milliseconds(900), milliseconds(100), milliseconds(8000) },
        stopped_relay_case { "longAfterTheRestart", milliseconds(9000), milliseconds(100), milliseconds(0) }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against ends that a restarted worker forgets before the leader has seen them, by the acknowledgement in an observation for its former
// process (TWICE): tasks that were done ran again.
TEST_P(observation_for_a_former_process, LeavesTheEndsOfTheNextOne)
{
    constexpr std::uint64_t seedCount = 40;
    constexpr milliseconds taskTime { 60 };
    constexpr milliseconds jobInterval { 25 };
    const auto jobCount = static_cast<unsigned>((GetParam().delay + std::chrono::seconds(1)) / jobInterval);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        simulated_fleet fleet(seed);
        fleet.setTaskTimes(taskTime, milliseconds(100));
        fleet.addWorker("w1");
        fleet.run(milliseconds(200));
        fleet.submit(makeJob("service", { serviceStep(1, "image") }));
        const auto submitJobs = [&](const std::string& prefix, unsigned count) {
            for (unsigned index = 0; index < count; ++index) {
                fleet.submit(makeJob(absl::StrCat(prefix, index), { batchStep(1) }));
                fleet.run(jobInterval);
            }
        };
        // The former process has had more ends than the next one has by then.
        submitJobs("former", jobCount);
        fleet.worker("w1").faults.observeDelay = GetParam().delay;
        submitJobs("last", 12);
        fleet.worker("w1").faults.isDown = true;
        // The late observations arrive at another time between two reports with each seed.
        fleet.run(GetParam().downTime + milliseconds(seed));
        fleet.restartWorker("w1", GetParam().entryDelay);
        fleet.worker("w1").faults.restartedProcessExecutesLateObservations = true;
        submitJobs("next", jobCount);
        fleet.run(milliseconds(12'000));
        EXPECT_EQ(fleet.violations(), std::vector<std::string>()) << "seed " << seed;
        for (unsigned index = 0; index < jobCount; ++index)
            EXPECT_EQ(fleet.phase(absl::StrCat("next", index)), job_phase::Completed) << "seed " << seed;
    }
}

namespace {

// Way in which the leader learns that a worker has, or may have, another process.
enum class restart_sign {
    DirectoryEntry,
    ReportOfAnotherIncarnation,
    ClockOfAReply,
    UnansweredObservation,
    AnotherWorkerAtTheAddress,
};

struct restart_sign_case {
    const char* name;
    restart_sign sign;
};

} // namespace

class order_after_the_sign_of_a_restart : public testing::TestWithParam<restart_sign_case> {
protected:
    void showRestart(const start_command& start)
    {
        m_worker.decide();
        const auto observation = *m_worker.takeObservation();
        switch (GetParam().sign) {
        case restart_sign::DirectoryEntry: {
            auto entry = replying_worker::description("w0");
            entry.incarnation = replying_worker::firstIncarnation + 1;
            m_worker.engine().announceWorker(entry, m_worker.now());
            return;
        }
        case restart_sign::ReportOfAnotherIncarnation:
            m_worker.answer(observation, replying_worker::firstIncarnation + 1, {}, {}, 5);
            return;
        case restart_sign::ClockOfAReply:
            m_worker.engine().handleStartReply("w0", start.order.run, { external::order_outcome::Accepted, 5 }, m_worker.now(), m_worker.now());
            return;
        case restart_sign::UnansweredObservation:
            m_worker.fail(observation, external::order_outcome::NoAnswer);
            return;
        case restart_sign::AnotherWorkerAtTheAddress:
            m_worker.fail(observation, external::order_outcome::OtherIncarnation);
            return;
        }
    }

    //! Fencing tokens of the orders that are decided in the given time.
    std::vector<std::uint64_t> fencesOfOrders(milliseconds time)
    {
        std::vector<std::uint64_t> result;
        for (milliseconds elapsed { 0 }; elapsed < time; elapsed += milliseconds(10)) {
            m_worker.decide();
            while (const auto observation = m_worker.takeObservation()) {
                result.push_back(observation->order.fence);
                m_worker.answer(*observation, replying_worker::firstIncarnation + 1, {}, {}, clock());
            }
            while (const auto start = m_worker.takeStart())
                result.push_back(start->order.fence);
            while (const auto stop = m_worker.takeStop())
                result.push_back(stop->fence);
        }
        return result;
    }

    //! Clock of the next process, which has just started.
    external::worker_time clock() const
    {
        return m_worker.clockAt(m_worker.now()) - m_worker.clockAt(m_startedAt);
    }

    replying_worker m_worker;
    const utils::time_point m_startedAt = m_worker.now();
};

INSTANTIATE_TEST_SUITE_P(Signs, order_after_the_sign_of_a_restart,
    testing::Values(restart_sign_case { "directoryEntry", restart_sign::DirectoryEntry }, restart_sign_case { "report", restart_sign::ReportOfAnotherIncarnation },
        restart_sign_case { "clockOfAReply", restart_sign::ClockOfAReply }, restart_sign_case { "unansweredObservation", restart_sign::UnansweredObservation },
        restart_sign_case { "anotherWorker", restart_sign::AnotherWorkerAtTheAddress }),
    [](const auto& info) { return std::string(info.param.name); });

// A process that has executed one of the later orders rejects all of the earlier ones, be they late by any time.
TEST_P(order_after_the_sign_of_a_restart, HasAHigherToken)
{
    m_worker.engine().add(makeJob("job", { serviceStep(3, "image") }), m_worker.now());
    m_worker.decide();
    const auto first = *m_worker.takeStart();
    const auto before = first.order.fence;
    while (m_worker.takeStart()) { }
    showRestart(first);
    m_worker.engine().add(makeJob("later", { batchStep(2) }), m_worker.now());
    const auto fences = fencesOfOrders(milliseconds(2000));
    ASSERT_FALSE(fences.empty());
    EXPECT_GT(*std::ranges::min_element(fences), before);
    EXPECT_TRUE(std::ranges::is_sorted(fences));
    EXPECT_FALSE(m_worker.engine().isDeposed());
}

struct rejected_order_case {
    const char* name;
    //! The token was raised after the order had been decided.
    bool isTokenRaised;
    bool isDeposed;
};

class order_with_a_rejected_token : public testing::TestWithParam<rejected_order_case> {
};

INSTANTIATE_TEST_SUITE_P(Tokens, order_with_a_rejected_token,
    testing::Values(rejected_order_case { "present", false, true }, rejected_order_case { "raisedSince", true, false }),
    [](const auto& info) { return std::string(info.param.name); });

// A later order overtook it, which is no sign of another leader. The start is ordered again.
TEST_P(order_with_a_rejected_token, EndsTheTermOnlyIfItIsThePresentOne)
{
    replying_worker worker;
    worker.engine().add(makeJob("job", { serviceStep(1, "image") }), worker.now());
    worker.decide();
    const auto start = *worker.takeStart();
    const auto observation = *worker.takeObservation();
    if (GetParam().isTokenRaised)
        worker.fail(observation, external::order_outcome::NoAnswer);
    worker.reply(start, external::order_outcome::Fenced);
    EXPECT_EQ(worker.engine().isDeposed(), GetParam().isDeposed);
    worker.decide(milliseconds(300));
    if (GetParam().isDeposed)
        return;
    worker.answer(*worker.takeObservation(), replying_worker::firstIncarnation, {});
    worker.decide(milliseconds(100));
    const auto repeated = worker.takeStart();
    ASSERT_TRUE(repeated);
    EXPECT_GT(repeated->order.fence, start.order.fence);
    EXPECT_GT(repeated->order.run.number, start.order.run.number);
}

TEST_P(order_with_a_rejected_token, IsAnObservation)
{
    replying_worker worker;
    worker.engine().add(makeJob("job", { serviceStep(1, "image") }), worker.now());
    worker.decide();
    const auto observation = *worker.takeObservation();
    const auto start = *worker.takeStart();
    if (GetParam().isTokenRaised)
        worker.reply(start, external::order_outcome::NoAnswer);
    worker.fail(observation, external::order_outcome::Fenced);
    EXPECT_EQ(worker.engine().isDeposed(), GetParam().isDeposed);
    EXPECT_EQ(worker.state().unansweredObserves, 0u);
    if (GetParam().isDeposed)
        return;
    worker.decide();
    ASSERT_TRUE(worker.takeObservation());
}

// The next leader's tokens begin where those of the term end.
TEST(FencesOfATerm, AreNotExceeded)
{
    replying_worker worker;
    worker.engine().add(makeJob("job", { serviceStep(1, "image") }), worker.now());
    auto entry = replying_worker::description("w0");
    std::uint64_t highest = 0;
    for (std::uint64_t restart = 0; restart < fencesPerTerm + 10 && !worker.engine().isDeposed(); ++restart) {
        ++entry.incarnation;
        worker.engine().announceWorker(entry, worker.now());
        highest = std::max(highest, worker.state().fence);
    }
    EXPECT_TRUE(worker.engine().isDeposed());
    EXPECT_EQ(highest, replying_worker::term + fencesPerTerm - 1);
}
