#include <gtest/gtest.h>

#include <signal.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "end_to_end/deployment.h"
#include "manual/driver/verify.h"

using namespace camphorsaddle;
using end_to_end::daemonCount;
using end_to_end::deployment;
using nlohmann::json;
using utils::milliseconds;

namespace {

constexpr const char* kind = "trade_match";
constexpr int jobCount = 6;
constexpr int tasksPerJob = 3;

//! Starts a deployment for each test and provides the checks that must hold after every failure.
class failures : public testing::Test {
protected:
    void startDeployment(int number)
    {
        m_deployment = std::make_unique<deployment>(number);
        ASSERT_TRUE(m_deployment->start()) << "the daemons did not become ready";
    }

    deployment& cluster()
    {
        return *m_deployment;
    }

    void submitJobs(int first, int last)
    {
        for (int job = first; job < last; ++job)
            ASSERT_TRUE(cluster().submitJob(absl::StrCat("job-", job), tasksPerJob, kind)) << "job " << job << " was not accepted";
    }

    //! Returns the first daemon that owns one of the batch shards.
    std::size_t shardOwner()
    {
        std::size_t owner = daemonCount;
        EXPECT_TRUE(cluster().waitUntil([&] {
            for (const char* shard : { "batch-dub-1-0", "batch-dub-2-0", "batch-crk-1-0" })
                owner = owner == daemonCount ? cluster().findShardOwner(shard) : owner;
            return owner < daemonCount;
        })) << "no daemon owns a shard";
        return owner % daemonCount;
    }

    void expectAllFinished(int tasks)
    {
        EXPECT_TRUE(cluster().waitUntil([&] { return cluster().finishedTaskCount() >= tasks; })) << "finished " << cluster().finishedTaskCount() << " of " << tasks;
        expectNoViolations();
        EXPECT_EQ(cluster().finishedTaskCount(), tasks);
    }

    void expectNoViolations()
    {
        const auto ledger = cluster().ledger();
        EXPECT_EQ(ledger.at("violations"), json::array());
        EXPECT_EQ(ledger.at("tasks").at("doubled"), 0);
    }

    //! Checks that each request received exactly one response, which belongs to it.
    void expectAnswered(const std::vector<standins::request_outcome>& outcomes)
    {
        const auto verification = standins::verifyOutcomes(outcomes, static_cast<int>(outcomes.size()), 0, cluster().ledger());
        EXPECT_EQ(verification.answeredRequests, verification.expectedRequests) << verification.summary();
        EXPECT_EQ(verification.duplicatedRequests, 0) << verification.summary();
    }

    std::unique_ptr<deployment> m_deployment;
};

} // namespace

TEST_F(failures, killedShardOwnerLosesAndDoublesNothing)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(0));
    ASSERT_NO_FATAL_FAILURE(submitJobs(0, jobCount));
    ASSERT_TRUE(cluster().waitUntil([&] { return cluster().runningTaskCount() > 0; }));
    const auto stoppedDaemon = shardOwner();
    cluster().daemon(stoppedDaemon).kill();
    ASSERT_NO_FATAL_FAILURE(submitJobs(jobCount, 2 * jobCount));
    cluster().startDaemon(stoppedDaemon);
    EXPECT_TRUE(cluster().waitUntil([&] { return cluster().isReady(stoppedDaemon); }));
    expectAllFinished(2 * jobCount * tasksPerJob);
}

TEST_F(failures, ownerPausedBeyondItsLeaseStartsNothingTwice)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(1));
    ASSERT_NO_FATAL_FAILURE(submitJobs(0, jobCount));
    ASSERT_TRUE(cluster().waitUntil([&] { return cluster().runningTaskCount() > 0; }));
    const auto stoppedDaemon = shardOwner();
    cluster().daemon(stoppedDaemon).signal(SIGSTOP);
    // The other daemons take over the paused daemon's shards after its lease has expired.
    EXPECT_TRUE(cluster().waitUntil([&] {
        const auto status = cluster().get(cluster().adminUrl((stoppedDaemon + 1) % daemonCount) + "/v1/status");
        return status.is_object() && status.value("members", json::array()).size() == daemonCount - 1;
    }));
    cluster().daemon(stoppedDaemon).signal(SIGCONT);
    ASSERT_NO_FATAL_FAILURE(submitJobs(jobCount, 2 * jobCount));
    expectAllFinished(2 * jobCount * tasksPerJob);
}

TEST_F(failures, storeOutageAndLostAnswersWhileJobsComeAndGo)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(2));
    ASSERT_TRUE(cluster().setFaults(cluster().storeUrl(), { { "lose_answers", 0.1 }, { "seed", 7 } }));
    ASSERT_NO_FATAL_FAILURE(submitJobs(0, jobCount));
    ASSERT_TRUE(cluster().setFaults(cluster().storeUrl(), { { "outage", true } }));
    const auto refused = cluster().call({ .method = "POST", .url = cluster().adminUrl(0) + "/v1/jobs", .body = R"({"id":"during","team":"matching","kind":"trade_match","tasks":1})" });
    EXPECT_NE(refused.response.status, 201);
    auto load = cluster().startLoad({ .service = "affirmation", .requestCount = 60, .requestsPerSecond = 60 });
    expectAnswered(load.get());
    ASSERT_TRUE(cluster().setFaults(cluster().storeUrl(), { { "outage", false } }));
    ASSERT_TRUE(cluster().submitJob("cancelled", tasksPerJob, kind));
    ASSERT_TRUE(cluster().cancelJob("cancelled"));
    ASSERT_NO_FATAL_FAILURE(submitJobs(jobCount, 2 * jobCount));
    ASSERT_TRUE(cluster().setFaults(cluster().storeUrl(), { { "lose_answers", 0 } }));
    for (int job = 0; job < 2 * jobCount; ++job)
        EXPECT_TRUE(cluster().waitUntil([&] { return cluster().jobState(absl::StrCat("job-", job)) == "finished"; })) << "job " << job;
    EXPECT_TRUE(cluster().waitUntil([&] { const auto state = cluster().jobState("cancelled"); return state == "cancelled" || state == "finished"; }));
    expectNoViolations();
    EXPECT_GE(cluster().finishedTaskCount(), 2 * jobCount * tasksPerJob);
}

TEST_F(failures, silentConnectionsDelayNoAnswerBeyondItsDeadline)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(3));
    auto load = cluster().startLoad({ .service = "affirmation", .requestCount = 200, .requestsPerSecond = 60 });
    ASSERT_TRUE(cluster().waitUntil([&] { return cluster().get(cluster().hostsUrl() + "/ledger").at("requests").at("finished") > 40; }));
    for (const char* minion : { "dub-1-affirmation-m0", "dub-2-affirmation-m1", "crk-1-affirmation-m2" })
        ASSERT_TRUE(cluster().setFaults(cluster().hostsUrl(), { { "minion", minion }, { "silent", true } }));
    expectAnswered(load.get());
    expectNoViolations();
}

TEST_F(failures, plannedStopCutsNoRequest)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(4));
    ASSERT_NO_FATAL_FAILURE(submitJobs(0, jobCount));
    auto load = cluster().startLoad({ .service = "confirmation", .requestCount = 300, .requestsPerSecond = 60, .isRepeatable = false, .deadline = milliseconds(5000) });
    ASSERT_TRUE(cluster().waitUntil([&] { return cluster().get(cluster().hostsUrl() + "/ledger").at("requests").at("finished") > 60; }));
    cluster().daemon(1).signal(SIGTERM);
    EXPECT_TRUE(cluster().waitUntil([&] { return !cluster().daemon(1).isRunning(); })) << "the daemon did not end";
    EXPECT_EQ(cluster().daemon(1).exitCode(), 0);
    const auto outcomes = load.get();
    for (const auto& outcome : outcomes)
        EXPECT_FALSE(outcome.isUnknown) << outcome.token << " received no response";
    expectAnswered(outcomes);
    expectAllFinished(jobCount * tasksPerJob);
}

TEST_F(failures, ofTwoRacingOperatorsOneIsTold)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(5));
    const auto before = cluster().call({ .url = cluster().adminUrl(0) + "/v1/config/base" }).response.headers.at("etag");
    const std::string revision = before.substr(1, before.size() - 2);
    auto first = cluster().baseConfiguration();
    auto second = cluster().baseConfiguration();
    first["guards"]["evictions_per_minute"] = 13;
    second["guards"]["evictions_per_minute"] = 14;
    const int statuses[] = { cluster().putBaseConfiguration(0, first, revision).response.status, cluster().putBaseConfiguration(1, second, revision).response.status };
    EXPECT_EQ((std::multiset<int> { statuses[0], statuses[1] }), (std::multiset<int> { 200, 412 }));
    const int winner = statuses[0] == 200 ? 13 : 14;
    for (std::size_t index = 0; index < daemonCount; ++index) {
        EXPECT_TRUE(cluster().waitUntil([&] {
            const auto base = cluster().get(cluster().adminUrl(index) + "/v1/config/base");
            return base.is_object() && base.at("guards").at("evictions_per_minute") == winner;
        })) << "daemon "
            << index;
    }
}

TEST_F(failures, daemonStartedDuringAStoreOutageBecomesReady)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(6));
    ASSERT_NO_FATAL_FAILURE(submitJobs(0, jobCount));
    ASSERT_TRUE(cluster().setFaults(cluster().storeUrl(), { { "outage", true } }));
    cluster().daemon(2).kill();
    cluster().startDaemon(2);
    EXPECT_TRUE(cluster().waitUntil([&] { return cluster().call({ .url = cluster().adminUrl(2) + "/v1/health" }).response.status == 200; }));
    auto load = cluster().startLoad({ .targetUrls = { cluster().gatewayUrl(0), cluster().gatewayUrl(1) }, .service = "affirmation", .requestCount = 60, .requestsPerSecond = 60 });
    expectAnswered(load.get());
    ASSERT_TRUE(cluster().setFaults(cluster().storeUrl(), { { "outage", false } }));
    EXPECT_TRUE(cluster().waitUntil([&] { return cluster().isReady(2); }));
    expectAllFinished(jobCount * tasksPerJob);
}

TEST_F(failures, nonRepeatableRequestRunsAtMostOnceWhenItsMinionDies)
{
    ASSERT_NO_FATAL_FAILURE(startDeployment(7));
    auto load = cluster().startLoad({ .service = "confirmation", .requestCount = 200, .requestsPerSecond = 60, .isRepeatable = false, .deadline = milliseconds(2000) });
    ASSERT_TRUE(cluster().waitUntil([&] { return cluster().get(cluster().hostsUrl() + "/ledger").at("requests").at("finished") > 40; }));
    ASSERT_TRUE(cluster().setFaults(cluster().hostsUrl(), { { "remove", { "dub-1-confirmation-m0", "crk-1-confirmation-m1" } } }));
    const auto outcomes = load.get();
    const auto verification = standins::verifyOutcomes(outcomes, static_cast<int>(outcomes.size()), 0, cluster().ledger());
    EXPECT_EQ(verification.duplicatedRequests, 0) << verification.summary();
    for (const auto& outcome : outcomes)
        EXPECT_EQ(outcome.responses + (outcome.isUnknown ? 1 : 0), 1) << outcome.token;
    expectNoViolations();
}
