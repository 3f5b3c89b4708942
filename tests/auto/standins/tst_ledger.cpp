#include <gtest/gtest.h>

#include "manual/driver/verify.h"
#include "standins/ledger.h"

using namespace camphorsaddle;
using standins::ledger;
using standins::run_outcome;

namespace {

constexpr utils::time_point startTime {};

std::vector<std::string> violationKinds(const ledger& runLedger)
{
    std::vector<std::string> kinds;
    const auto summary = runLedger.summary();
    for (const auto& violation : summary.at("violations"))
        kinds.push_back(violation.at("kind"));
    return kinds;
}

} // namespace

TEST(ledger, detectsTaskOnTwoWorkers)
{
    ledger runLedger(startTime);
    runLedger.startTask({ "w1", "t", 1, 1, "" }, startTime);
    runLedger.startTask({ "w2", "t", 2, 1, "" }, startTime);
    runLedger.endTask("w1", "t", 1, run_outcome::Finished, startTime);
    runLedger.endTask("w2", "t", 2, run_outcome::Finished, startTime);
    EXPECT_EQ(violationKinds(runLedger), (std::vector<std::string> { "task runs twice at once", "task finished twice" }));
    EXPECT_EQ(runLedger.summary().at("tasks").at("doubled"), 1);
}

TEST(ledger, acceptsResumedTask)
{
    ledger runLedger(startTime);
    runLedger.startTask({ "w1", "t", 1, 1, "" }, startTime);
    runLedger.endTask("w1", "t", 1, run_outcome::LeaseExpired, startTime);
    runLedger.startTask({ "w2", "t", 2, 1, "progress:5" }, startTime);
    runLedger.endTask("w2", "t", 2, run_outcome::Finished, startTime);
    EXPECT_TRUE(violationKinds(runLedger).empty());
    EXPECT_EQ(runLedger.summary().at("tasks").at("finished"), 1);
}

TEST(ledger, detectsOverCapacity)
{
    ledger runLedger(startTime);
    runLedger.checkCapacity("w1", { 1000, 10, 0 }, { 1000, 10, 0 }, startTime);
    runLedger.checkCapacity("w1", { 1000, 11, 0 }, { 1000, 10, 0 }, startTime);
    EXPECT_EQ(violationKinds(runLedger), (std::vector<std::string> { "over capacity" }));
}

struct verification_case {
    const char* name;
    standins::request_outcome outcome;
    int finishedRuns;
    int answered;
    int duplicated;
};

class verification_test : public testing::TestWithParam<verification_case> {
};

TEST_P(verification_test, comparesOutcomesWithLedger)
{
    ledger runLedger(startTime);
    for (int i = 0; i < GetParam().finishedRuns; ++i)
        runLedger.finishRequest(runLedger.startRequest({ "id", "1", "m", "/v1/services/s/r-0" }, startTime), startTime);
    const auto verification = standins::verifyOutcomes({ GetParam().outcome }, 1, 0, runLedger.details());
    EXPECT_EQ(verification.answeredRequests, GetParam().answered);
    EXPECT_EQ(verification.lostRequests, 1 - GetParam().answered);
    EXPECT_EQ(verification.duplicatedRequests, GetParam().duplicated);
}

INSTANTIATE_TEST_SUITE_P(all, verification_test,
    testing::Values(verification_case { "answered", { "r-0", true, 1 }, 1, 1, 0 }, verification_case { "answerWithoutRun", { "r-0", true, 1 }, 0, 0, 0 },
        verification_case { "repeatableRetried", { "r-0", true, 1 }, 2, 1, 0 }, verification_case { "runTwice", { "r-0", false, 1 }, 2, 1, 1 },
        verification_case { "answeredTwice", { "r-0", true, 2 }, 2, 1, 1 }, verification_case { "foreign", { "r-0", true, 1, 1 }, 1, 0, 0 },
        verification_case { "unanswered", { "r-0", true, 0 }, 1, 0, 0 }),
    [](const auto& info) { return info.param.name; });
