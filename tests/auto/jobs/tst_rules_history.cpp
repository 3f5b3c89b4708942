#include <gtest/gtest.h>

#include "jobs/rules_history.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;

namespace {

queue_rules queueNamed(const std::string& name, unsigned attempts = 1)
{
    queue_rules queue;
    queue.name = name;
    queue.maxAttempts = attempts;
    return queue;
}

// Queues of six versions one after the other: one is added, changed, removed, all return, none is left.
const std::vector<std::vector<queue_rules>> versions {
    { queueNamed("b"), queueNamed("a") },
    { queueNamed("b"), queueNamed("a"), queueNamed("c") },
    { queueNamed("a", 3), queueNamed("b"), queueNamed("c") },
    { queueNamed("a", 3), queueNamed("c") },
    { queueNamed("c", 2), queueNamed("b", 5), queueNamed("a", 3) },
    {},
};

external::revision revisionOf(std::size_t number)
{
    return 10 + 5 * number;
}

deployment_rules rulesOf(std::size_t number)
{
    return { number + 1, versions.at(number), 100 + number };
}

class change_since : public ::testing::TestWithParam<std::size_t> { };

} // namespace

INSTANTIATE_TEST_SUITE_P(Versions, change_since, ::testing::Range(std::size_t(0), versions.size()));

TEST_P(change_since, LeadsToThePresentRules)
{
    rules_history leader;
    rules_history follower;
    ASSERT_TRUE(follower.replaceRules(rulesOf(GetParam()), revisionOf(GetParam())));
    for (std::size_t number = 0; number < versions.size(); ++number)
        ASSERT_TRUE(leader.replaceRules(rulesOf(number), revisionOf(number)));
    const auto change = leader.changesSince(follower.revision());
    ASSERT_TRUE(change);
    EXPECT_EQ(follower.applyChange(*change), GetParam() + 1 < versions.size());
    EXPECT_EQ(*follower.rules(), *leader.rules());
    EXPECT_EQ(follower.revision(), leader.revision());
}

TEST(RulesHistory, FollowerTellsOthersWhatItWasTold)
{
    rules_history leader;
    rules_history second;
    rules_history third;
    for (auto* history : { &leader, &second, &third })
        ASSERT_TRUE(history->replaceRules(rulesOf(0), revisionOf(0)));
    ASSERT_TRUE(leader.replaceRules(rulesOf(1), revisionOf(1)));
    ASSERT_TRUE(second.applyChange(*leader.changesSince(revisionOf(0))));
    ASSERT_TRUE(third.applyChange(*second.changesSince(revisionOf(0))));
    EXPECT_EQ(*third.rules(), *leader.rules());
}

TEST(RulesHistory, OlderRulesAndUnknownRevisionsAreRejected)
{
    rules_history history;
    EXPECT_FALSE(history.changesSince(0));
    ASSERT_TRUE(history.replaceRules(rulesOf(1), revisionOf(1)));
    EXPECT_FALSE(history.replaceRules(rulesOf(0), revisionOf(2)));
    EXPECT_FALSE(history.replaceRules(rulesOf(1), revisionOf(2)));
    EXPECT_FALSE(history.changesSince(revisionOf(0)));
    EXPECT_FALSE(history.applyChange({ revisionOf(0), revisionOf(2), 9, 1, {}, {} }));
    EXPECT_FALSE(history.applyChange({ revisionOf(1), revisionOf(2), 2, 1, {}, {} }));
    EXPECT_EQ(history.revision(), revisionOf(1));
}

TEST(RulesHistory, QueuesOfOneNameAreOnlyReadInFull)
{
    rules_history history;
    ASSERT_TRUE(history.replaceRules({ 1, { queueNamed("a"), queueNamed("a", 2) }, 1 }, 1));
    ASSERT_TRUE(history.replaceRules({ 2, { queueNamed("a"), queueNamed("a", 3) }, 1 }, 2));
    EXPECT_FALSE(history.changesSince(1));
    EXPECT_TRUE(history.changesSince(2));
}
