#include <gtest/gtest.h>

#include <random>

#include "jobs/carrier_choice.h"
#include "jobs/interference.h"
#include "jobs/serving_arrangement.h"
#include "jobs/worker_trust.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;

namespace {

const utils::time_point start = utils::time_point() + std::chrono::hours(1);

serving_sample sampleOf(double headroom, fill_use use, utils::time_point at)
{
    serving_sample sample;
    sample.headroom = headroom;
    sample.use = std::move(use);
    sample.at = at;
    return sample;
}

} // namespace

struct pressure_case {
    const char* name;
    double truth;
    bool isEnemy;
};

class pair_of_images : public testing::TestWithParam<pressure_case> {
};

INSTANTIATE_TEST_SUITE_P(Pairs, pair_of_images,
    testing::Values(pressure_case { "harmless", 0.5, false }, pressure_case { "mild", 1.5, false }, pressure_case { "heavy", 8, true }),
    [](const auto& info) { return std::string(info.param.name); });

// The swing of the server's own load between two samples has a standard deviation of 0.4.
TEST_P(pair_of_images, LearnsThePressureOfAPairThroughTheSwing)
{
    interference_model model;
    const auto serving = model.number("serving");
    const auto fill = model.number("fill");
    std::mt19937_64 random(7);
    std::normal_distribution<double> swing(0, 0.4);
    fill_use none;
    fill_use some;
    addUse(none, fill, 0);
    addUse(some, fill, 0.2);
    for (int round = 0; round < 60; ++round) {
        const auto at = start + std::chrono::seconds(round);
        const double alone = 3;
        const auto quiet = sampleOf(alone, none, at);
        const auto beside = sampleOf(std::max(0.05, alone - 0.2 * GetParam().truth + swing(random)), some, at + std::chrono::milliseconds(500));
        model.learn(serving, quiet, beside);
    }
    EXPECT_NEAR(model.pressure(serving, fill), GetParam().truth, 1.0);
    model.refresh();
    EXPECT_EQ(!model.enemies(serving).empty(), GetParam().isEnemy);
}

TEST(InterferenceModel, RecoveryFromSaturationTeachesNothing)
{
    interference_model model;
    const auto serving = model.number("serving");
    const auto fill = model.number("fill");
    fill_use some;
    addUse(some, fill, 0.3);
    const double before = model.pressure(serving, fill);
    // The work is gone, but what was waiting still keeps the tail up.
    model.learn(serving, sampleOf(0.2, some, start), sampleOf(0.3, { 0, 0 }, start + std::chrono::milliseconds(500)));
    EXPECT_EQ(model.pressure(serving, fill), before);
}

TEST(InterferenceModel, NextLeaderStartsFromWhatWasLearned)
{
    interference_model first;
    const auto serving = first.number("serving");
    const auto fill = first.number("fill");
    fill_use some;
    addUse(some, fill, 0.2);
    for (int round = 0; round < 20; ++round)
        first.learn(serving, sampleOf(3, {}, start), sampleOf(1.4, some, start + std::chrono::milliseconds(500)));
    interference_model second;
    second.number("another");
    second.restore(first.learned());
    EXPECT_DOUBLE_EQ(second.pressure(second.number("serving"), second.number("fill")), first.pressure(serving, fill));
}

TEST(ServingArrangement, MoveToItsLikePaysAlsoFromAWorkerWithSeveral)
{
    serving_arrangement arrangement;
    arrangement.setDemand({ 1, 1 });
    const std::vector<image_number> enemies { 0 };
    const blocker_counts two { 2, 0 };
    const blocker_counts three { 3, 0 };
    EXPECT_GT(arrangement.gainOfRemoving(two, enemies), arrangement.costOfAdding(three, enemies));
    EXPECT_LT(arrangement.gainOfRemoving({ 4, 0 }, enemies), arrangement.costOfAdding(two, enemies));
}

TEST(ServingArrangement, ChangeOfPlacesPaysWhenEachGoesToItsLike)
{
    serving_arrangement arrangement;
    arrangement.setDemand({ 1, 1 });
    const std::vector<image_number> left { 0 };
    const std::vector<image_number> right { 1 };
    const blocker_counts mostlyRight { 1, 3 };
    const blocker_counts mostlyLeft { 3, 1 };
    EXPECT_GT(arrangement.gainOfSwapping(mostlyRight, left, mostlyLeft, right), 0);
    EXPECT_LT(arrangement.gainOfSwapping(mostlyLeft, left, mostlyRight, right), 0);
}

TEST(WorkerTrust, FailsAllThatItStartsIsSuspendedAfterTwoFirstFailures)
{
    worker_trust trust;
    trust.failed(true, start);
    EXPECT_FALSE(trust.isSuspended(start));
    trust.failed(true, start);
    EXPECT_TRUE(trust.isSuspended(start));
    EXPECT_FALSE(trust.isSuspended(start + std::chrono::seconds(2)));
    EXPECT_TRUE(trust.isOnTrial());
    trust.done(0);
    EXPECT_FALSE(trust.isOnTrial());
}

TEST(WorkerTrust, TaskThatFailsEverywhereSuspendsNobody)
{
    worker_trust trust;
    for (int round = 0; round < 4; ++round)
        trust.failed(false, start);
    EXPECT_FALSE(trust.isSuspended(start));
}

TEST(CarrierChoice, EndOfACarrierMovesOnlyItsWorkers)
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

TEST(CarrierChoice, WorkersAreSpreadByWeight)
{
    const std::vector<relay_daemon> carriers { { "strong", "dc", 0.5 }, { "weak", "dc", 0.125 } };
    int strong = 0;
    for (int number = 0; number < 2000; ++number)
        strong += chooseRelay(carriers, "w" + std::to_string(number), "dc")->endpoint == "strong" ? 1 : 0;
    EXPECT_NEAR(strong, 1600, 80);
}
