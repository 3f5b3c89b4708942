#include <gtest/gtest.h>

#include <map>

#include "jobs/job_record.h"
#include "tasks/coordinator/inbox_marks.h"
#include "tasks/coordinator/leader_writer.h"
#include "tasks/coordinator/leadership.h"
#include "tasks/coordinator/prefix_watch.h"
#include "tasks/coordinator/store_calls.h"
#include "tasks/transacting_store.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;

namespace {

constexpr utils::milliseconds shortTime { 200 };
constexpr utils::milliseconds retryTime { 500 };

job_call submission(bool mayBeStored)
{
    job_call call;
    call.ticket = 1;
    call.kind = call_kind::Submit;
    call.subject = "job";
    call.job.id = "job";
    call.job.steps.resize(1);
    call.patience = utils::milliseconds(400);
    call.mayBeStored = mayBeStored;
    return call;
}

} // namespace

struct settlement_case {
    const char* name;
    store_mood mood;
    bool mayBeStored;
    call_outcome outcome;
};

class store_settlement : public testing::TestWithParam<settlement_case> {
};

// A refusal says that the job never runs. Found on lsct-confirm trouble-3 (REFUSED, 96 tasks): the leader's write was
// still to be repeated when the store refused the follower.
INSTANTIATE_TEST_SUITE_P(Moods, store_settlement,
    testing::Values(settlement_case { "stored", store_mood::Answers, false, call_outcome::Done },
        settlement_case { "refusedByTheStore", store_mood::Refuses, false, call_outcome::Refused },
        settlement_case { "refusedAfterTheLeaderHadIt", store_mood::Refuses, true, call_outcome::Unsettled },
        settlement_case { "answersLost", store_mood::LosesAnswers, false, call_outcome::Unsettled }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(store_settlement, RefusesOnlyWhatNothingMayHaveStored)
{
    transport::event_loop loop;
    transacting_store store(loop);
    store.mood = GetParam().mood;
    store_calls calls(loop, store);
    std::optional<call_outcome> outcome;
    calls.settle(submission(GetParam().mayBeStored), [&](const job_reply& reply) { outcome = reply.outcome; });
    runLoop(loop, retryTime);
    EXPECT_EQ(outcome, GetParam().outcome);
}

TEST(StoreCalls, JobThatIsThereAlreadyIsAccepted)
{
    transport::event_loop loop;
    transacting_store store(loop);
    store.put(store_keys::job("job"), "record");
    store_calls calls(loop, store);
    std::optional<call_outcome> outcome;
    calls.settle(submission(false), [&](const job_reply& reply) { outcome = reply.outcome; });
    runLoop(loop, shortTime);
    EXPECT_EQ(outcome, call_outcome::Done);
    EXPECT_EQ(store.content.at(store_keys::job("job")).value, "record");
}

// Found on pregon-unido scale-2 --seed 860677367752 (CONFIG): the watch heard nothing for five seconds.
TEST(PrefixWatch, RefreshFindsWhatAMuteWatchMissed)
{
    transport::event_loop loop;
    transacting_store store(loop);
    std::string seen;
    prefix_watch watch(
        loop, store, "rules", utils::milliseconds(5000), [&](const std::string&, const external::key_value* value) { seen = value == nullptr ? "" : value->value; }, [] {});
    store.put("rules", "1");
    watch.start();
    runLoop(loop, shortTime);
    EXPECT_EQ(seen, "1");
    store.isMute = true;
    store.put("rules", "2");
    runLoop(loop, shortTime);
    EXPECT_EQ(seen, "1");
    watch.refresh();
    runLoop(loop, shortTime);
    EXPECT_EQ(seen, "2");
}

// Found on lsct-confirm trouble-3 --seed 743480878399 (UNASKED, 40 tasks): a cancellation was marked while the leader
// took up the job's own mark, and nobody looked at it again.
TEST(InboxMarks, MarkThatIsWrittenAgainIsTakenUpAgain)
{
    inbox_marks marks;
    EXPECT_TRUE(marks.begin("job", 5));
    EXPECT_FALSE(marks.begin("job", 7));
    EXPECT_EQ(marks.finish("job", 5, 0), external::revision(7));
    EXPECT_TRUE(marks.begin("job", 7));
    EXPECT_EQ(marks.finish("job", 7, 9), external::revision(9));
    EXPECT_TRUE(marks.begin("job", 9));
    EXPECT_EQ(marks.finish("job", 9, 0), std::nullopt);
}

struct write_case {
    const char* name;
    store_mood mood;
    bool endsWhenRefused;
    write_outcome outcome;
};

class leader_write_outcome : public testing::TestWithParam<write_case> {
};

INSTANTIATE_TEST_SUITE_P(Moods, leader_write_outcome,
    testing::Values(write_case { "stored", store_mood::Answers, false, write_outcome::Committed },
        write_case { "callerIsRefusedAtOnce", store_mood::Refuses, true, write_outcome::NotWritten },
        write_case { "ownWriteIsRepeated", store_mood::Refuses, false, write_outcome::NotWritten },
        write_case { "lostAnswerIsSettled", store_mood::LosesAnswers, true, write_outcome::Unsettled }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(leader_write_outcome, IsTrue)
{
    transport::event_loop loop;
    transacting_store store(loop);
    store.put("leader", "me");
    const auto version = store.content.at("leader").version;
    store.mood = GetParam().mood;
    leader_writer writer(loop, store, "leader", version);
    std::optional<write_outcome> outcome;
    writer.submit({ "key", "value", 0, utils::nowIncludingSuspend() + utils::milliseconds(250), GetParam().endsWhenRefused, [&](write_outcome result, external::revision, const external::key_value*) {
                       outcome = result;
                   } },
        true);
    runLoop(loop, retryTime);
    EXPECT_EQ(outcome, GetParam().outcome);
}

TEST(LeaderWriter, LostAnswerIsSettledByTheRepetition)
{
    transport::event_loop loop;
    transacting_store store(loop);
    store.put("leader", "me");
    leader_writer writer(loop, store, "leader", store.content.at("leader").version);
    store.mood = store_mood::LosesAnswers;
    std::optional<write_outcome> outcome;
    writer.submit({ "key", "value", 0, utils::nowIncludingSuspend() + std::chrono::seconds(5), true, [&](write_outcome result, external::revision, const external::key_value*) {
                       outcome = result;
                   } },
        true);
    runLoop(loop, shortTime);
    store.mood = store_mood::Answers;
    runLoop(loop, retryTime);
    EXPECT_EQ(outcome, write_outcome::Committed);
}

TEST(LeaderWriter, FormerLeaderWritesNothing)
{
    transport::event_loop loop;
    transacting_store store(loop);
    store.put("leader", "me");
    leader_writer writer(loop, store, "leader", store.content.at("leader").version);
    store.put("leader", "another");
    std::optional<write_outcome> outcome;
    writer.submit({ "key", "value", 0, utils::nowIncludingSuspend() + std::chrono::seconds(5), false, [&](write_outcome result, external::revision, const external::key_value*) {
                       outcome = result;
                   } },
        true);
    runLoop(loop, shortTime);
    EXPECT_EQ(outcome, write_outcome::Deposed);
    EXPECT_FALSE(store.content.contains("key"));
}

TEST(Leadership, OneOfTwoDaemonsLeadsAndTheOtherFollowsItsResignation)
{
    transport::event_loop loop;
    transacting_store store(loop);
    leadership_settings settings;
    leadership first(loop, store, settings, { "first", 1, "tcp://first", 0 }, [] {});
    leadership second(loop, store, settings, { "second", 1, "tcp://second", 0 }, [] {});
    first.start();
    second.start();
    runLoop(loop, shortTime);
    EXPECT_NE(first.isLeader(), second.isLeader());
    auto& leader = first.isLeader() ? first : second;
    EXPECT_EQ(leader.term(), 1u);
    EXPECT_TRUE(leader.mayOrder(utils::nowIncludingSuspend()));
    EXPECT_FALSE(leader.mayOrder(utils::nowIncludingSuspend() + std::chrono::seconds(8)));
    leader.resign();
    EXPECT_FALSE(leader.isLeader());
}

// Found on lsct-confirm-grown: the entries of 350 workers, renewed every 1.5 s, cost the leader a call each.
TEST(PrefixWatch, ChangesThatComeOneByOneArriveTogether)
{
    transport::event_loop loop;
    transacting_store store(loop);
    std::map<std::string, std::string> seen;
    prefix_watch watch(
        loop, store, "workers/", utils::milliseconds(5000), [&](const std::string& key, const external::key_value* value) { seen[key] = value == nullptr ? "" : value->value; }, [] {});
    watch.setPause(utils::milliseconds(50));
    watch.start();
    runLoop(loop, shortTime);
    const auto before = store.watches;
    unsigned number = 0;
    transport::timer changes(loop, [&] { store.put("workers/" + std::to_string(++number), "1"); });
    changes.startRepeating(utils::milliseconds(4));
    runLoop(loop, shortTime);
    changes.stop();
    watch.refresh();
    runLoop(loop, shortTime);
    EXPECT_EQ(seen.size(), number);
    EXPECT_LE(store.watches, before + 8);
}
