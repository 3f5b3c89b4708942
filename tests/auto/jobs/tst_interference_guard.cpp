#include <gtest/gtest.h>

#include "jobs/interference_guard.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using utils::milliseconds;

namespace {

constexpr std::uint64_t term = 3;
constexpr std::int64_t target = 150;
const std::string worker = "worker";

external::run_id runOf(const std::string& job)
{
    return { { job, 0, 0, 0 }, 1 };
}

const external::described_run service { runOf("service"), { milliseconds(target), false } };
const external::described_run effort { runOf("effort"), { milliseconds(0), true } };
const external::described_run batch { runOf("batch"), { milliseconds(0), false } };

utils::time_point at(int time)
{
    return utils::time_point() + std::chrono::hours(1) + milliseconds(time);
}

//! A worker that reports the given tail latency of its service task and lists all three runs.
external::observe_reply reportAt(int time, std::int64_t latency, std::int64_t effortLoad = 2000)
{
    external::observe_reply reply { external::order_outcome::Accepted, { 10'000 + time, 1, {}, {} } };
    reply.workerState.running = { { service.run, "", 100, latency, {} }, { effort.run, "", 50, effortLoad, {} }, { batch.run, "", 50, 2000, {} } };
    return reply;
}

} // namespace

class interference_guard_test : public testing::Test {
protected:
    interference_guard_test()
    {
        for (const auto& run : { service, effort, batch })
            m_guard.describeStart(worker, run, term, at(0));
    }

    std::vector<external::run_id> review(int time, std::int64_t latency, std::int64_t effortLoad = 2000)
    {
        auto report = reportAt(time, latency, effortLoad);
        return m_guard.review(worker, report, term, at(time)).runsToPause;
    }

    void answerPause(external::order_outcome outcome, int time)
    {
        m_guard.handlePaceReply(worker, effort.run, 0, { outcome, 10'000 + time });
    }

    //! Reviews reports until the best-effort run is paused; returns that time.
    int missUntilPaused()
    {
        int time = 0;
        while (time < 4000 && review(time, target + 1).empty())
            time += 500;
        return time;
    }

    interference_guard m_guard;
};

struct latency_case {
    const char* name;
    //! Tail latencies of reports that are half a second apart.
    std::vector<std::int64_t> latencies;
    bool isPaused;
};

class interference_guard_latencies : public interference_guard_test, public testing::WithParamInterface<latency_case> {
};

INSTANTIATE_TEST_SUITE_P(Latencies, interference_guard_latencies,
    testing::Values(latency_case { "met", { 100, 150, 100, 150, 100 }, false },
        latency_case { "missedForASecond", { 160, 160, 160, 100, 100, 100 }, false },
        latency_case { "missedForLonger", { 160, 160, 160, 160, 160 }, true },
        latency_case { "metOnce", { 160, 160, 140, 160, 160 }, true },
        latency_case { "missedForASecondAndAHalf", { 160, 160, 160, 160, 100, 100, 100 }, false },
        latency_case { "metForASecond", { 160, 160, 140, 140, 140, 160, 160 }, false },
        latency_case { "withoutLoad", { 160, 0, 160, 160 }, false }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(interference_guard_latencies, DecideWhetherBestEffortWorkIsPaused)
{
    std::vector<external::run_id> paused;
    int time = 0;
    for (const auto latency : GetParam().latencies) {
        const auto decided = review(time, latency);
        paused.insert(paused.end(), decided.begin(), decided.end());
        time += 500;
    }
    EXPECT_EQ(paused, GetParam().isPaused ? std::vector { effort.run } : std::vector<external::run_id>());
}

// A pause without an answer may not have taken effect.
TEST_F(interference_guard_test, PauseWithoutAnswerIsRepeated)
{
    const int time = missUntilPaused();
    EXPECT_TRUE(review(time + 250, target + 1).empty());
    answerPause(external::order_outcome::NoAnswer, time + 500);
    EXPECT_EQ(review(time + 500, target + 1), std::vector { effort.run });
    answerPause(external::order_outcome::Accepted, time + 600);
    EXPECT_TRUE(review(time + 1000, target + 1, 0).empty());
}

// An earlier order of the leader may take effect after the pause.
TEST_F(interference_guard_test, PauseThatIsOverwrittenIsRepeated)
{
    const int time = missUntilPaused();
    answerPause(external::order_outcome::Accepted, time + 100);
    EXPECT_TRUE(review(time + 500, target + 1, 2000).empty());
    EXPECT_EQ(review(time + 1000, target + 1, 2000), std::vector { effort.run });
}

TEST_F(interference_guard_test, RunThatStartsBesideAMissedTargetIsPausedAtOnce)
{
    const external::described_run other { runOf("other"), effort.traits };
    m_guard.describeStart(worker, other, term, at(0));
    EXPECT_FALSE(m_guard.handleStartReply(worker, other.run, { external::order_outcome::Accepted, 10'000 }));
    missUntilPaused();
    EXPECT_TRUE(m_guard.handleStartReply(worker, other.run, { external::order_outcome::Accepted, 12'000 }));
    EXPECT_FALSE(m_guard.handleStartReply(worker, batch.run, { external::order_outcome::Accepted, 12'000 }));
}

TEST_F(interference_guard_test, ReportsTellThePaceInForce)
{
    m_guard.handlePaceReply(worker, effort.run, 40, { external::order_outcome::Accepted, 10'100 });
    auto report = reportAt(500, 100);
    m_guard.review(worker, report, term, at(500));
    EXPECT_EQ(report.workerState.running[1].pace, 40);
    m_guard.handlePaceReply(worker, effort.run, 80, { external::order_outcome::NoAnswer, 0 });
    report = reportAt(1000, 100);
    m_guard.review(worker, report, term, at(1000));
    EXPECT_EQ(report.workerState.running[1].pace, std::nullopt);
}

struct description_case {
    const char* name;
    std::uint64_t describedBy;
    bool isDescribed;
    bool needsDescriptions;
};

class interference_guard_descriptions : public testing::TestWithParam<description_case> {
};

INSTANTIATE_TEST_SUITE_P(Terms, interference_guard_descriptions,
    testing::Values(description_case { "byNobody", term, false, true }, description_case { "byTheLeader", term, true, false }, description_case { "byAFormerLeader", term - 1, true, true }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a relay without a memory of the runs that another one has started.
TEST_P(interference_guard_descriptions, AreAskedForUnlessTheLeaderGaveThem)
{
    interference_guard guard;
    if (GetParam().isDescribed) {
        for (const auto& run : { service, effort, batch })
            guard.describeRun(worker, run, GetParam().describedBy, at(0));
    }
    auto report = reportAt(0, 100);
    guard.review(worker, report, term, at(0));
    EXPECT_EQ(report.needsDescriptions, GetParam().needsDescriptions);
}

TEST_F(interference_guard_test, ObservesWorkersWithAMissedTargetItself)
{
    review(0, target + 1);
    EXPECT_TRUE(m_guard.overdueWorkers(at(500)).empty());
    EXPECT_EQ(m_guard.overdueWorkers(at(700)), std::vector { worker });
    EXPECT_TRUE(m_guard.overdueWorkers(at(5000)).empty());
    review(1000, target);
    review(2000, target);
    EXPECT_TRUE(m_guard.overdueWorkers(at(2700)).empty());
}
