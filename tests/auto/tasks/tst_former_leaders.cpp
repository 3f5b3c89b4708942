#include <gtest/gtest.h>

#include "tasks/coordinator/former_leaders.h"
#include "tasks/coordinator/leader_election.h"
#include "tasks/memory_store.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;

namespace {

constexpr std::uint64_t ownTerm = 5 * jobs::fencesPerTerm;
constexpr std::uint64_t termBefore = 4 * jobs::fencesPerTerm;
constexpr std::uint64_t earlierTerm = 3 * jobs::fencesPerTerm;
constexpr utils::milliseconds settlingTime { 300 };
const jobs::leader_record own { "a", 2, "tcp://a", ownTerm };

struct follower {
    std::string endpoint;
    std::uint64_t term = ownTerm;
};

struct former_leaders_case {
    const char* name;
    std::vector<jobs::leader_record> leaders;
    std::vector<follower> followers;
    bool haveEnded;
};

class leaders_before_a_term : public testing::TestWithParam<former_leaders_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Proofs, leaders_before_a_term,
    testing::Values(former_leaders_case { "earlierProcessOfTheSameDaemon", { { "a", 1, "tcp://a", termBefore } }, {}, true },
        former_leaders_case { "earlierTermOfTheSameProcess", { { "a", 2, "tcp://a", termBefore } }, {}, true },
        former_leaders_case { "otherDaemonIsSilent", { { "b", 1, "tcp://b", termBefore } }, {}, false },
        former_leaders_case { "otherDaemonFollows", { { "b", 1, "tcp://b", termBefore } }, { { "tcp://b" } }, true },
        former_leaders_case { "otherDaemonFollowedAnEarlierLeader", { { "b", 1, "tcp://b", termBefore } }, { { "tcp://b", earlierTerm } }, false },
        former_leaders_case { "anotherDaemonFollows", { { "b", 1, "tcp://b", termBefore } }, { { "tcp://c" } }, false },
        former_leaders_case { "oneOfTwoFollows", { { "c", 1, "tcp://c", earlierTerm }, { "b", 1, "tcp://b", termBefore } }, { { "tcp://b" } }, false },
        former_leaders_case { "bothFollow", { { "c", 1, "tcp://c", earlierTerm }, { "b", 1, "tcp://b", termBefore } }, { { "tcp://b" }, { "tcp://c" } }, true },
        former_leaders_case { "leaderOfTheTermBeforeIsUnknown", { { "a", 1, "tcp://a", earlierTerm } }, {}, false },
        former_leaders_case { "noneIsKnown", {}, { { "tcp://b" } }, false }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against tasks that wait for a former leader which is known to have ended (LOST on the large site), and against a second run
// beside one that isn't.
TEST_P(leaders_before_a_term, HaveEndedWhenEachIsProven)
{
    former_leaders leaders(GetParam().leaders, own);
    for (const auto& follower : GetParam().followers)
        leaders.noteFollower(follower.endpoint, follower.term);
    EXPECT_EQ(leaders.haveEnded(), GetParam().haveEnded);
}

TEST(LeaderElection, LeaderKnowsTheLeadersBeforeIt)
{
    transport::event_loop loop;
    memory_store store(loop);
    const leader_election_settings settings;
    leader_election first(loop, store, settings, { "first", 1, "tcp://first", 0 }, [] {});
    first.start();
    runLoop(loop, settlingTime);
    ASSERT_TRUE(first.isLeader());
    EXPECT_TRUE(first.formerLeaders().empty());
    first.resign();
    store.content.erase(store_keys::leader);
    leader_election second(loop, store, settings, { "second", 1, "tcp://second", 0 }, [] {});
    const auto startedAt = utils::nowIncludingSuspend();
    second.start();
    runLoop(loop, settlingTime);
    ASSERT_TRUE(second.isLeader());
    ASSERT_EQ(second.formerLeaders().size(), 1u);
    EXPECT_EQ(second.formerLeaders().front(), (jobs::leader_record { "first", 1, "tcp://first", jobs::fencesPerTerm }));
    EXPECT_EQ(second.ownRecord().term, 2 * jobs::fencesPerTerm);
    EXPECT_GE(second.lastFormerRenewal(), startedAt - settings.leaseDuration);
    EXPECT_LE(second.lastFormerRenewal(), utils::nowIncludingSuspend() - settings.leaseDuration);
}

struct announced_term_case {
    const char* name;
    std::uint64_t term;
    bool leadsOn;
};

class announced_term : public testing::TestWithParam<announced_term_case> {
};

INSTANTIATE_TEST_SUITE_P(Terms, announced_term,
    testing::Values(announced_term_case { "earlier", 0, true }, announced_term_case { "own", jobs::fencesPerTerm, true }, announced_term_case { "laterByAnOlderDaemon", jobs::fencesPerTerm + 1, false },
        announced_term_case { "later", 2 * jobs::fencesPerTerm, false }),
    [](const auto& info) { return std::string(info.param.name); });

// A leader that is cut off from the store ends its term at the notice of the next leader, instead of after its grace period.
TEST_P(announced_term, EndsAnEarlierTerm)
{
    transport::event_loop loop;
    memory_store store(loop);
    leader_election election(loop, store, {}, { "first", 1, "tcp://first", 0 }, [] {});
    election.start();
    runLoop(loop, settlingTime);
    ASSERT_EQ(election.term(), jobs::fencesPerTerm);
    election.noteLaterTerm(GetParam().term);
    EXPECT_EQ(election.isLeader(), GetParam().leadsOn);
    EXPECT_EQ(election.maySendOrders(utils::nowIncludingSuspend()), GetParam().leadsOn);
}
