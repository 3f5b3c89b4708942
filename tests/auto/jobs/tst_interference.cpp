#include <gtest/gtest.h>

#include <random>

#include "jobs/blocked_demand_model.h"
#include "jobs/interference_model.h"
#include "jobs/relay_choice.h"
#include "jobs/worker_reliability.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;

namespace {

const utils::time_point start = utils::time_point() + std::chrono::hours(1);

latency_sample sampleOf(double headroom, best_effort_usage usage, utils::time_point at)
{
    latency_sample sample;
    sample.headroom = headroom;
    sample.usage = std::move(usage);
    sample.at = at;
    return sample;
}

} // namespace

struct pressure_case {
    const char* name;
    double pressure;
    bool isAntagonist;
};

class image_pair : public testing::TestWithParam<pressure_case> {
};

INSTANTIATE_TEST_SUITE_P(Pairs, image_pair,
    testing::Values(pressure_case { "harmless", 0.5, false }, pressure_case { "mild", 1.5, false }, pressure_case { "heavy", 8, true }),
    [](const auto& info) { return std::string(info.param.name); });

// The service's own load changes the headroom between two samples with a standard deviation of 0.4.
TEST_P(image_pair, LearnsPressureDespiteLoadFluctuations)
{
    interference_model model;
    const auto serviceImage = model.indexOf("serving");
    const auto bestEffortImage = model.indexOf("fill");
    std::mt19937_64 random(7);
    std::normal_distribution<double> fluctuation(0, 0.4);
    best_effort_usage none;
    best_effort_usage some;
    addUsage(none, bestEffortImage, 0);
    addUsage(some, bestEffortImage, 0.2);
    for (int round = 0; round < 60; ++round) {
        const auto at = start + std::chrono::seconds(round);
        const double headroomAlone = 3;
        const auto quiet = sampleOf(headroomAlone, none, at);
        const auto beside = sampleOf(std::max(0.05, headroomAlone - 0.2 * GetParam().pressure + fluctuation(random)), some, at + std::chrono::milliseconds(500));
        model.updateEstimates(serviceImage, quiet, beside);
    }
    EXPECT_NEAR(model.pressure(serviceImage, bestEffortImage), GetParam().pressure, 1.0);
    model.refreshAntagonists();
    EXPECT_EQ(!model.antagonists(serviceImage).empty(), GetParam().isAntagonist);
}

TEST(InterferenceModel, RecoveryFromSaturationDoesNotChangeTheEstimate)
{
    interference_model model;
    const auto serviceImage = model.indexOf("serving");
    const auto bestEffortImage = model.indexOf("fill");
    best_effort_usage some;
    addUsage(some, bestEffortImage, 0.3);
    const double before = model.pressure(serviceImage, bestEffortImage);
    // The best-effort work has ended, but waiting requests still keep the tail latency high.
    model.updateEstimates(serviceImage, sampleOf(0.2, some, start), sampleOf(0.3, { 0, 0 }, start + std::chrono::milliseconds(500)));
    EXPECT_EQ(model.pressure(serviceImage, bestEffortImage), before);
}

TEST(InterferenceModel, NextLeaderRestoresLearnedPressures)
{
    interference_model first;
    const auto serviceImage = first.indexOf("serving");
    const auto bestEffortImage = first.indexOf("fill");
    best_effort_usage some;
    addUsage(some, bestEffortImage, 0.2);
    for (int round = 0; round < 20; ++round)
        first.updateEstimates(serviceImage, sampleOf(3, {}, start), sampleOf(1.4, some, start + std::chrono::milliseconds(500)));
    interference_model second;
    second.indexOf("another");
    second.restorePressures(first.learnedPressures());
    EXPECT_DOUBLE_EQ(second.pressure(second.indexOf("serving"), second.indexOf("fill")), first.pressure(serviceImage, bestEffortImage));
}

TEST(BlockedDemandModel, MovePaysOnlyToAWorkerWithMoreTasksOfItsKind)
{
    blocked_demand_model blockedDemand;
    blockedDemand.setDemand({ 1, 1 });
    const std::vector<image_index> antagonists { 0 };
    const blocker_counts two { 2, 0 };
    const blocker_counts three { 3, 0 };
    EXPECT_GT(blockedDemand.gainOfRemoving(two, antagonists), blockedDemand.costOfAdding(three, antagonists));
    EXPECT_LT(blockedDemand.gainOfRemoving({ 4, 0 }, antagonists), blockedDemand.costOfAdding(two, antagonists));
}

TEST(BlockedDemandModel, SwapPaysWhenEachTaskJoinsTasksOfItsKind)
{
    blocked_demand_model blockedDemand;
    blockedDemand.setDemand({ 1, 1 });
    const std::vector<image_index> left { 0 };
    const std::vector<image_index> right { 1 };
    const blocker_counts mostlyRight { 1, 3 };
    const blocker_counts mostlyLeft { 3, 1 };
    EXPECT_GT(blockedDemand.gainOfSwapping(mostlyRight, left, mostlyLeft, right), 0);
    EXPECT_LT(blockedDemand.gainOfSwapping(mostlyLeft, left, mostlyRight, right), 0);
}

// The gain of a swap is what both tasks unblock by leaving less what they block where they arrive.
TEST(BlockedDemandModel, SwapGainEqualsRemovingAndAddingBothTasks)
{
    constexpr image_index imageCount = 6;
    std::mt19937_64 random(7);
    for (int round = 0; round < 500; ++round) {
        blocked_demand_model blockedDemand;
        std::vector<double> demand(imageCount);
        for (auto& part : demand)
            part = static_cast<double>(random() % 10);
        blockedDemand.setDemand(demand);
        blocker_counts counts[2] { blocker_counts(imageCount), blocker_counts(imageCount) };
        std::vector<image_index> antagonists[2];
        for (int side = 0; side < 2; ++side) {
            for (image_index image = 0; image < imageCount; ++image) {
                counts[side][image] = random() % 4;
                if (random() % 2 == 0)
                    antagonists[side].push_back(image);
            }
            addBlockers(counts[side], antagonists[side]);
        }
        const double before = blockedDemand.blockedShare(counts[0]) + blockedDemand.blockedShare(counts[1]);
        const double gain = blockedDemand.gainOfSwapping(counts[0], antagonists[0], counts[1], antagonists[1]);
        const double bound = blockedDemand.gainOfRemoving(counts[0], antagonists[0]) + blockedDemand.gainOfRemoving(counts[1], antagonists[1]);
        for (int side = 0; side < 2; ++side) {
            removeBlockers(counts[side], antagonists[side]);
            addBlockers(counts[side], antagonists[1 - side]);
        }
        EXPECT_NEAR(gain, before - blockedDemand.blockedShare(counts[0]) - blockedDemand.blockedShare(counts[1]), 1e-9);
        EXPECT_LE(gain, bound + 1e-9);
    }
}

TEST(WorkerReliability, WorkerIsSuspendedAfterTwoFirstFailures)
{
    worker_reliability reliability;
    reliability.recordFailure(true, start);
    EXPECT_FALSE(reliability.isSuspended(start));
    reliability.recordFailure(true, start);
    EXPECT_TRUE(reliability.isSuspended(start));
    EXPECT_FALSE(reliability.isSuspended(start + std::chrono::seconds(2)));
    EXPECT_TRUE(reliability.isOnTrial());
    reliability.recordSuccess(0);
    EXPECT_FALSE(reliability.isOnTrial());
}

TEST(WorkerReliability, TaskThatFailsOnAllWorkersSuspendsNone)
{
    worker_reliability reliability;
    for (int round = 0; round < 4; ++round)
        reliability.recordFailure(false, start);
    EXPECT_FALSE(reliability.isSuspended(start));
}

TEST(RelayChoice, LossOfARelayReassignsOnlyItsWorkers)
{
    const std::vector<relay_daemon> all { { "a", "dc1", 1 }, { "b", "dc1", 0.25 }, { "c", "dc2", 1 } };
    const std::vector<relay_daemon> rest { { "a", "dc1", 1 }, { "c", "dc2", 1 } };
    for (int number = 0; number < 50; ++number) {
        const auto worker = "w" + std::to_string(number);
        const auto before = chooseRelay(all, worker, "dc1");
        ASSERT_TRUE(before);
        EXPECT_EQ(before->dataCentre, "dc1");
        if (before->endpoint != "b") {
            EXPECT_EQ(chooseRelay(rest, worker, "dc1"), before);
        }
    }
    EXPECT_EQ(chooseRelay({}, "w", "dc1"), std::nullopt);
}

TEST(RelayChoice, WorkersAreDistributedByWeight)
{
    const std::vector<relay_daemon> relays { { "strong", "dc", 0.5 }, { "weak", "dc", 0.125 } };
    int strong = 0;
    for (int number = 0; number < 2000; ++number)
        strong += chooseRelay(relays, "w" + std::to_string(number), "dc")->endpoint == "strong" ? 1 : 0;
    EXPECT_NEAR(strong, 1600, 80);
}
