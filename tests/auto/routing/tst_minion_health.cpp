#include "routing/minion_health.h"

#include "absl/strings/str_cat.h"
#include "routing/connection_reuse_policy.h"
#include "routing/minion_choice.h"
#include "utils/token_bucket.h"

#include "gtest/gtest.h"

namespace camphorsaddle::routing {

namespace {

    using utils::milliseconds;

    const utils::time_point start { milliseconds(1000000) };

    std::string minionName(int index)
    {
        return absl::StrCat("minion-", index);
    }

    minion_health healthOf(int minions)
    {
        minion_health health;
        for (int index = 0; index < minions; ++index)
            health.add(minionName(index));
        return health;
    }

    TEST(minionHealth, EjectsASlowMinionAndRestoresItsWeightGradually)
    {
        auto health = healthOf(10);
        ejection_reason reason = ejection_reason::Failures;
        int ejections = 0;
        for (int round = 0; round < 20; ++round) {
            for (int index = 0; index < 10; ++index)
                ejections += health.onResponse(minionName(index), milliseconds(index == 9 ? 100 : 10), start, reason) ? 1 : 0;
        }
        EXPECT_EQ(ejections, 1);
        EXPECT_EQ(reason, ejection_reason::Slow);
        EXPECT_EQ(health.weight(minionName(9), start), 0);
        EXPECT_EQ(health.weight(minionName(0), start), 1);
        EXPECT_DOUBLE_EQ(health.weight(minionName(9), start + milliseconds(5000)), 0.1);
        EXPECT_DOUBLE_EQ(health.weight(minionName(9), start + milliseconds(7500)), 0.5);
        EXPECT_DOUBLE_EQ(health.weight(minionName(9), start + milliseconds(11000)), 1);
    }

    // Fails if the share of ejected minions is not limited.
    TEST(minionHealth, EjectsAtMostTheMaximumShare)
    {
        auto health = healthOf(10);
        ejection_reason reason = ejection_reason::Slow;
        int ejections = 0;
        for (int round = 0; round < 50; ++round) {
            for (int index = 0; index < 10; ++index)
                ejections += health.onFailure(minionName(index), start, reason) ? 1 : 0;
        }
        EXPECT_EQ(ejections, 3);
        EXPECT_EQ(reason, ejection_reason::Failures);
    }

    // Fails if an ejection considers only the failures of its own minion.
    TEST(minionHealth, EjectsNoneWhileMostAttemptsFail)
    {
        auto health = healthOf(50);
        ejection_reason reason = ejection_reason::Slow;
        int ejections = 0;
        for (int round = 0; round < 20; ++round) {
            for (int index = 0; index < 50; ++index)
                ejections += health.onFailure(minionName(index), start, reason) ? 1 : 0;
        }
        EXPECT_EQ(ejections, 0);
    }

    TEST(minionHealth, GivesNoWeightToALeavingMinion)
    {
        auto health = healthOf(2);
        health.onLeaving(minionName(0), start);
        EXPECT_EQ(health.weight(minionName(0), start), 0);
        EXPECT_EQ(health.weight(minionName(0), start + milliseconds(30000)), 1);
    }

    // Fails if the balance can exceed the burst size.
    TEST(tokenBucket, LimitsTheRate)
    {
        utils::token_bucket budget(1000, 500, start);
        int taken = 0;
        for (int step = 0; step <= 10000; ++step)
            taken += budget.tryConsume(100, start + milliseconds(step)) ? 100 : 0;
        EXPECT_LE(taken, 10500);
        EXPECT_GE(taken, 10300);
        EXPECT_FALSE(budget.tryConsume(501, start + milliseconds(60000)));
        EXPECT_TRUE(budget.tryConsume(500, start + milliseconds(60000)));
        budget.consume(1000);
        EXPECT_FALSE(budget.tryConsume(1, start + milliseconds(61000)));
        EXPECT_TRUE(budget.tryConsume(1, start + milliseconds(61002)));
    }

    TEST(connectionReusePolicy, RetiresOlderConnectionsAfterAnAnsweredProbe)
    {
        connection_reuse_policy policy;
        const connection_state old { start, start + milliseconds(1000) };
        const auto now = start + milliseconds(1500);
        EXPECT_TRUE(policy.mayReuse(old, true, now));
        EXPECT_TRUE(policy.onRequestTimeout(now));
        EXPECT_FALSE(policy.onRequestTimeout(now + milliseconds(499)));
        policy.onProbeEnded(false);
        EXPECT_TRUE(policy.mayReuse(old, true, now));
        EXPECT_TRUE(policy.onRequestTimeout(now));
        policy.onProbeEnded(true);
        EXPECT_FALSE(policy.mayReuse(old, true, now));
        EXPECT_TRUE(policy.mayReuse({ now, now }, true, now));
    }

    TEST(connectionReusePolicy, LimitsIdleTimeAndAge)
    {
        const connection_reuse_policy policy;
        const auto lastResponseAt = start + milliseconds(100);
        EXPECT_TRUE(policy.mayReuse({ start, lastResponseAt }, false, start + milliseconds(2099)));
        EXPECT_FALSE(policy.mayReuse({ start, lastResponseAt }, false, start + milliseconds(2100)));
        EXPECT_TRUE(policy.mayReuse({ start, lastResponseAt }, true, start + milliseconds(10099)));
        EXPECT_FALSE(policy.mayReuse({ start, lastResponseAt }, true, start + milliseconds(10100)));
        EXPECT_FALSE(policy.mayReuse({ start, start + milliseconds(300000) }, true, start + milliseconds(300000)));
    }

    minion_candidate minionAt(int index, const std::string& dataCentre)
    {
        minion_candidate candidate;
        candidate.host.id = minionName(index);
        candidate.host.dataCentre = dataCentre;
        candidate.usableSlots = 8;
        return candidate;
    }

    TEST(chooseMinion, ChoosesByDistanceWeightAndLoad)
    {
        const gateway_location location { "a", { { "a", "x" }, { "b", "x" }, { "c", "y" } } };
        std::vector<minion_candidate> minions { minionAt(0, "c"), minionAt(1, "b"), minionAt(2, "a") };
        random_generator random(1);
        EXPECT_EQ(chooseMinion(minions, location, {}, random)->host.id, minionName(2));
        minions[2].weight = 0;
        EXPECT_EQ(chooseMinion(minions, location, {}, random)->host.id, minionName(1));
        minions[1].inFlight = 8;
        EXPECT_EQ(chooseMinion(minions, location, {}, random)->host.id, minionName(0));
        EXPECT_EQ(chooseMinion(minions, location, {}, random, 1), nullptr);
        EXPECT_EQ(chooseMinion(minions, location, { minionName(0) }, random), nullptr);
    }

} // namespace

} // namespace camphorsaddle::routing
