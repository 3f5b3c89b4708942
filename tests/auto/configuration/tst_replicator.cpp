#include "configuration/replicator.h"

#include <algorithm>

#include "gtest/gtest.h"

namespace camphorsaddle::configuration {

namespace {

    const utils::time_point begin { utils::seconds(100) };

    settings::configuration_record recordAt(std::uint64_t revision)
    {
        settings::configuration_record record;
        record.revision = revision;
        return record;
    }

    replicator makeReplicator(std::uint64_t rejected = 0)
    {
        replicator_settings settings;
        settings.localDaemonId = "b";
        replicator subject(settings, [rejected](const auto& record) {
            return record.revision == rejected ? absl::InvalidArgumentError("wrong") : absl::OkStatus();
        });
        subject.setMembers({ "a", "b", "c" });
        return subject;
    }

    template <typename Action>
    std::size_t count(const replicator_actions& actions)
    {
        return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const auto& action) { return std::holds_alternative<Action>(action); }));
    }

    struct acceptance_case {
        const char* name;
        std::vector<std::uint64_t> offered;
        std::uint64_t rejected;
        std::uint64_t activeRevision;
        std::size_t applied;
        std::size_t reported;
    };

    class record_acceptance : public testing::TestWithParam<acceptance_case> { };

    TEST_P(record_acceptance, ActivatesOnlyNewerValidRevisions)
    {
        auto subject = makeReplicator(GetParam().rejected);
        std::size_t applied = 0;
        std::size_t reported = 0;
        for (const auto revision : GetParam().offered) {
            const auto actions = subject.handleRecord(recordAt(revision), record_source::Peer, begin);
            applied += count<apply_record>(actions);
            reported += count<reject_record>(actions);
        }
        EXPECT_EQ(subject.activeRecord().revision, GetParam().activeRevision);
        EXPECT_EQ(applied, GetParam().applied);
        EXPECT_EQ(reported, GetParam().reported);
    }

    INSTANTIATE_TEST_SUITE_P(All, record_acceptance,
        testing::Values(
            acceptance_case { "Growing", { 1, 2, 5 }, 0, 5, 3, 0 },
            acceptance_case { "LesserAndEqual", { 5, 5, 3 }, 0, 5, 1, 0 },
            acceptance_case { "RejectedOnceReported", { 1, 2, 2, 2 }, 2, 1, 1, 1 },
            acceptance_case { "AfterRejected", { 2, 3, 2 }, 2, 3, 1, 1 }),
        [](const auto& info) { return info.param.name; });

    TEST(replicator, SendsOnlyLocalEditsAtOnce)
    {
        auto subject = makeReplicator();
        EXPECT_EQ(count<send_record>(subject.handleRecord(recordAt(1), record_source::LocalEdit, begin)), 2U);
        EXPECT_EQ(count<send_record>(subject.handleRecord(recordAt(2), record_source::Watch, begin)), 0U);
    }

    TEST(replicator, SendsALocalEditThatTheWatchReportedFirst)
    {
        auto subject = makeReplicator();
        subject.handleRecord(recordAt(1), record_source::Watch, begin);
        subject.handleHeartbeat("c", 1, begin);
        EXPECT_EQ(count<send_record>(subject.handleRecord(recordAt(1), record_source::LocalEdit, begin)), 1U);
        EXPECT_EQ(count<send_record>(subject.handleRecord(recordAt(1), record_source::LocalEdit, begin)), 0U);
    }

    TEST(replicator, ReadsEarlyWhenAPeerHasANewerRevision)
    {
        auto subject = makeReplicator();
        subject.handleTick(begin);
        subject.handleReadReply(recordAt(1), 10, begin);
        subject.handleHeartbeat("a", 2, begin + utils::seconds(2));
        EXPECT_EQ(count<read_record>(subject.handleTick(begin + utils::milliseconds(2999))), 0U);
        EXPECT_EQ(count<read_record>(subject.handleTick(begin + utils::seconds(3))), 1U);
    }

    struct lagging_peer_case {
        const char* name;
        std::string peer;
        std::uint64_t reported;
        //! Time after which the record is due to be sent.
        utils::milliseconds due;
    };

    class lagging_peer : public testing::TestWithParam<lagging_peer_case> { };

    TEST_P(lagging_peer, IsSentTheRecordAfterItsRankDelay)
    {
        auto subject = makeReplicator();
        subject.handleRecord(recordAt(3), record_source::Watch, begin);
        subject.handleHeartbeat(GetParam().peer, GetParam().reported, begin);
        EXPECT_EQ(count<send_record>(subject.handleTick(begin + GetParam().due - utils::milliseconds(1))), 0U);
        EXPECT_EQ(count<send_record>(subject.handleTick(begin + GetParam().due)), 1U);
        EXPECT_EQ(count<send_record>(subject.handleTick(begin + GetParam().due + utils::milliseconds(1))), 0U);
    }

    INSTANTIATE_TEST_SUITE_P(All, lagging_peer,
        testing::Values(
            lagging_peer_case { "Next", "a", 2, utils::milliseconds(1000) },
            lagging_peer_case { "Second", "c", 2, utils::milliseconds(1500) },
            lagging_peer_case { "WithoutAny", "c", 0, utils::milliseconds(500) },
            lagging_peer_case { "NoMemberYet", "aa", 0, utils::milliseconds(0) }),
        [](const auto& info) { return info.param.name; });

    TEST(replicator, SendsNothingToSilentOrUpToDatePeers)
    {
        auto subject = makeReplicator();
        subject.handleRecord(recordAt(3), record_source::Watch, begin);
        subject.handleHeartbeat("a", 3, begin);
        subject.handleHeartbeat("c", 1, begin);
        EXPECT_EQ(count<send_record>(subject.handleTick(begin + utils::seconds(6))), 0U);
    }

    TEST(replicator, ResendsWithIncreasingDelays)
    {
        auto subject = makeReplicator();
        subject.handleRecord(recordAt(3), record_source::Watch, begin);
        std::size_t sent = 0;
        for (utils::milliseconds time { 0 }; time < utils::seconds(60); time += utils::milliseconds(500)) {
            subject.handleHeartbeat("a", 2, begin + time);
            sent += count<send_record>(subject.handleTick(begin + time));
        }
        // Sends at 1 s, then after further delays of 1.5, 3, 6, 12 and 24 s.
        EXPECT_EQ(sent, 6U);
    }

    TEST(replicator, ReadsAgainAndReportsAStalledWatch)
    {
        auto subject = makeReplicator();
        EXPECT_EQ(count<read_record>(subject.handleTick(begin)), 1U);
        EXPECT_EQ(count<watch_record>(subject.handleReadReply(recordAt(1), 10, begin)), 1U);
        EXPECT_EQ(count<read_record>(subject.handleTick(begin + utils::milliseconds(29999))), 0U);
        EXPECT_EQ(count<read_record>(subject.handleTick(begin + utils::seconds(30))), 1U);
        const auto found = subject.handleReadReply(recordAt(2), 11, begin + utils::seconds(30));
        EXPECT_EQ(count<apply_record>(found), 1U);
        EXPECT_EQ(count<report_stalled_watch>(found), 0U);
        subject.handleTick(begin + utils::seconds(60));
        EXPECT_EQ(count<report_stalled_watch>(subject.handleReadReply(recordAt(2), 11, begin + utils::seconds(60))), 1U);
    }

    TEST(replicator, ReportsACorruptStoredRecordOnce)
    {
        auto subject = makeReplicator();
        subject.handleTick(begin);
        EXPECT_EQ(count<reject_record>(subject.handleReadReply(absl::DataLossError("torn"), 1, begin)), 1U);
        EXPECT_EQ(count<reject_record>(subject.handleReadReply(absl::DataLossError("torn"), 1, begin)), 0U);
        EXPECT_EQ(count<reject_record>(subject.handleReadReply(recordAt(1), 2, begin)), 0U);
        EXPECT_EQ(count<reject_record>(subject.handleReadReply(absl::DataLossError("torn"), 3, begin)), 1U);
    }

    TEST(replicator, RetriesReadAndWatchAfterFailures)
    {
        auto subject = makeReplicator();
        subject.handleTick(begin);
        EXPECT_TRUE(subject.handleReadReply(absl::UnavailableError("refused"), 0, begin).empty());
        EXPECT_TRUE(subject.handleTick(begin + utils::milliseconds(499)).empty());
        EXPECT_EQ(count<read_record>(subject.handleTick(begin + utils::milliseconds(500))), 1U);
        EXPECT_EQ(count<watch_record>(subject.handleReadReply(absl::NotFoundError("none"), 7, begin + utils::seconds(1))), 1U);
        EXPECT_TRUE(subject.handleWatchReply(absl::OutOfRangeError("forgotten"), nullptr, begin + utils::seconds(1)).empty());
        const auto actions = subject.handleTick(begin + utils::milliseconds(1500));
        EXPECT_EQ(count<read_record>(actions), 1U);
        EXPECT_EQ(count<watch_record>(actions), 0U);
        const auto watched = subject.handleReadReply(recordAt(1), 90, begin + utils::milliseconds(1600));
        ASSERT_EQ(count<watch_record>(watched), 1U);
        EXPECT_EQ(std::get<watch_record>(watched.back()).after, 90U);
    }

} // namespace

} // namespace camphorsaddle::configuration
