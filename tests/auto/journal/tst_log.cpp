#include "journal/log.h"

#include <memory>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "journal/record.h"
#include "protocol/journal.pb.h"
#include "recording_observer.h"
#include "standins/fake_store.h"
#include "utils/errors.h"
#include "gtest/gtest.h"

namespace camphorsaddle::journal {

namespace {

    using standins::fake_database;
    using standins::fake_store;
    using standins::virtual_clock;
    using utils::milliseconds;
    using utils::seconds;

    struct participant {
        participant(virtual_clock& clock, fake_database& database, const std::string& writer, double rate = 1000)
            : store(clock, database)
            , budget(rate, 4)
            , journal(store, clock, budget, testOptions(writer), observer)
        {
        }

        static options testOptions(const std::string& writer)
        {
            options result;
            result.name = "test";
            result.writer = writer;
            result.ring = 8;
            result.chunkBytes = 16;
            return result;
        }

        void open()
        {
            journal.open(1, [this](const absl::StatusOr<std::uint64_t>& result) { opened = result; });
        }

        void append(const std::string& entry)
        {
            journal.append(entry, [this](const absl::Status& status) { results.push_back(status.code()); });
        }

        fake_store store;
        write_budget budget;
        recording_observer observer;
        log journal;
        absl::StatusOr<std::uint64_t> opened = absl::UnknownError("not yet");
        std::vector<absl::StatusCode> results;
    };

    class log_test : public testing::Test {
    protected:
        virtual_clock m_clock;
        fake_database m_database { m_clock };
        participant m_first { m_clock, m_database, "first" };
        participant m_second { m_clock, m_database, "second" };
    };

    TEST_F(log_test, SuccessorReadsWhatWasAppendedAcrossSnapshots)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        ASSERT_TRUE(m_first.opened.ok()) << m_first.opened.status();
        for (int index = 0; index < 100; ++index) {
            m_first.append(absl::StrCat("entry-", index));
            m_clock.runFor(milliseconds(50));
        }
        EXPECT_EQ(m_first.results, std::vector<absl::StatusCode>(100, absl::StatusCode::kOk));
        m_second.open();
        m_clock.runFor(seconds(1));
        ASSERT_TRUE(m_second.opened.ok()) << m_second.opened.status();
        EXPECT_GT(*m_second.opened, *m_first.opened);
        EXPECT_EQ(m_second.observer.entries.size(), 100U);
        EXPECT_EQ(m_second.observer.entries, m_first.observer.entries);
    }

    TEST_F(log_test, FormerOwnerIsDeposedAtItsNextAppend)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        m_second.open();
        m_clock.runFor(seconds(1));
        m_first.append("late");
        m_clock.runFor(seconds(1));
        m_first.append("later");
        EXPECT_EQ(m_first.results, std::vector<absl::StatusCode>(2, absl::StatusCode::kFailedPrecondition));
        EXPECT_EQ(m_first.journal.state(), log_state::OwnershipLost);
        EXPECT_EQ(m_first.observer.depositions, 1);
        EXPECT_TRUE(m_first.observer.entries.empty());
    }

    TEST_F(log_test, LostAnswerIsSettledByReadingBack)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        m_first.store.faults.lostResponsePercent = 100;
        m_first.append("entry");
        m_clock.runFor(milliseconds(10));
        m_first.store.faults.lostResponsePercent = 0;
        m_clock.runFor(seconds(5));
        EXPECT_EQ(m_first.results, std::vector<absl::StatusCode> { absl::StatusCode::kOk });
        EXPECT_EQ(m_first.observer.entries, std::vector<std::string> { "entry" });
    }

    TEST_F(log_test, EntriesGatherWhileTheBudgetIsSpent)
    {
        participant slow(m_clock, m_database, "slow", 2);
        slow.open();
        m_clock.runFor(seconds(5));
        const auto before = slow.journal.writes();
        for (int index = 0; index < 1000; ++index) {
            slow.append(absl::StrCat(index));
            m_clock.runFor(milliseconds(2));
        }
        m_clock.runFor(seconds(5));
        EXPECT_EQ(slow.results, std::vector<absl::StatusCode>(1000, absl::StatusCode::kOk));
        // Two seconds at two writes a second after a burst of four.
        EXPECT_LE(slow.journal.writes() - before, 10U);
    }

    TEST_F(log_test, WaitsOutAnOutage)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        m_first.store.faults.isUnavailable = true;
        m_first.append("entry");
        m_clock.runFor(seconds(60));
        EXPECT_FALSE(m_first.journal.isStoreReachable());
        EXPECT_TRUE(m_first.results.empty());
        EXPECT_LE(m_first.journal.writes(), 100U);
        m_first.store.faults.isUnavailable = false;
        m_clock.runFor(seconds(3));
        EXPECT_TRUE(m_first.journal.isStoreReachable());
        EXPECT_EQ(m_first.results, std::vector<absl::StatusCode> { absl::StatusCode::kOk });
    }

    TEST_F(log_test, CorruptSlotIsReportedAndNotApplied)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        const auto slot = *m_database.read(slotKey("test", 1, 8));
        auto bytes = slot.value;
        bytes.back() = static_cast<char>(bytes.back() ^ 1);
        ASSERT_TRUE(m_database.write({ slot.key, bytes, slot.version, 0 }).ok());
        m_second.open();
        m_clock.runFor(seconds(1));
        EXPECT_TRUE(absl::IsDataLoss(m_second.opened.status())) << m_second.opened.status();
    }

    TEST_F(log_test, TakeoversWithoutEntriesLeaveTheLogReadable)
    {
        for (int index = 0; index < 30; ++index) {
            participant next(m_clock, m_database, absl::StrCat("next-", index));
            next.open();
            m_clock.runFor(seconds(1));
            ASSERT_TRUE(next.opened.ok()) << index << ": " << next.opened.status();
        }
    }

    TEST_F(log_test, TakeoversThatDieBeforeTheirSnapshotNeverFillTheLog)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        m_first.append("entry");
        m_clock.runFor(seconds(1));
        for (int index = 0; index < 40; ++index) {
            participant next(m_clock, m_database, absl::StrCat("next-", index));
            next.journal.open(1, [&next](const absl::StatusOr<std::uint64_t>& result) {
                next.opened = result;
                next.store.faults.isUnavailable = true;
            });
            m_clock.runFor(seconds(2));
            ASSERT_TRUE(next.opened.ok()) << index << ": " << next.opened.status();
            EXPECT_EQ(next.observer.entries, std::vector<std::string> { "entry" });
        }
    }

    TEST_F(log_test, RecordThatTheStoreRefusesIsSplitAndOneEntryRefused)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        m_first.store.faults.maximumValueSize = 300;
        for (int index = 0; index < 16; ++index)
            m_first.append(std::string(40, static_cast<char>('a' + index)));
        m_first.append(std::string(400, 'x'));
        m_first.append("last");
        m_clock.runFor(seconds(60));
        std::vector<absl::StatusCode> expected(18, absl::StatusCode::kOk);
        expected[16] = absl::StatusCode::kInvalidArgument;
        EXPECT_EQ(m_first.results, expected);
        EXPECT_EQ(m_first.journal.state(), log_state::Open);
        ASSERT_EQ(m_first.observer.entries.size(), 17U);
        for (std::size_t index = 0; index < 16; ++index)
            EXPECT_EQ(m_first.observer.entries[index].front(), static_cast<char>('a' + index)) << "the order is kept";
    }

    TEST_F(log_test, SuccessorOfAnOwnerThatReleasedStartsWithinASecond)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        m_first.append("entry");
        bool isReleased = false;
        m_first.journal.release([&](const absl::Status& status) {
            EXPECT_TRUE(status.ok()) << status;
            isReleased = true;
            m_second.open();
        });
        m_first.append("after");
        m_clock.runFor(seconds(1));
        EXPECT_TRUE(isReleased);
        EXPECT_EQ(m_first.results, (std::vector { absl::StatusCode::kFailedPrecondition, absl::StatusCode::kOk }));
        EXPECT_EQ(m_first.journal.state(), log_state::Released);
        ASSERT_TRUE(m_second.opened.ok()) << m_second.opened.status();
        EXPECT_TRUE(m_second.journal.wasReleased());
        EXPECT_FALSE(m_first.journal.wasReleased());
        EXPECT_EQ(m_second.observer.entries, std::vector<std::string> { "entry" });
        EXPECT_EQ(m_first.observer.depositions, 0);
    }

    struct corruption {
        std::string key;
        //! Replaces the value; returns an empty text to delete the key.
        std::string (*change)(const std::string& value);
        std::string slot;
    };

    std::string changeRecord(const std::string& value, void (*change)(protocol::JournalRecord& record))
    {
        protocol::JournalRecord record;
        EXPECT_TRUE(decodeEnvelope("", value, record).ok());
        change(record);
        return encodeEnvelope(record);
    }

    class log_corruption_test : public log_test, public testing::WithParamInterface<corruption> { };

    TEST_P(log_corruption_test, IsReportedWithKeyAndSlotAndNeverApplied)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        for (int index = 0; index < 7; ++index) {
            m_first.append(absl::StrCat("entry-with-some-length-", index));
            m_clock.runFor(seconds(1));
        }
        const auto& [key, change, slot] = GetParam();
        const auto stored = *m_database.read(key);
        const auto changed = change(stored.value);
        ASSERT_TRUE((changed.empty() ? m_database.erase(key, stored.version) : m_database.write({ key, changed, stored.version, 0 })).ok());
        m_second.open();
        m_clock.runFor(seconds(5));
        EXPECT_TRUE(absl::IsDataLoss(m_second.opened.status())) << m_second.opened.status();
        EXPECT_EQ(utils::errorPeer(m_second.opened.status()), key);
        EXPECT_TRUE(absl::StrContains(m_second.opened.status().message(), slot)) << m_second.opened.status();
        EXPECT_TRUE(m_second.observer.entries.empty());
    }

    const corruption corruptions[] = {
        { "journal/test/slot/6", [](const std::string& value) { return value.substr(0, value.size() - 1) + "?"; }, "checksum" },
        { "journal/test/slot/6", [](const std::string& value) { return changeRecord(value, [](auto& record) { record.set_entry_version(2); }); }, "slot 6" },
        { "journal/test/slot/6", [](const std::string& value) { return changeRecord(value, [](auto& record) { record.set_journal("other"); }); }, "slot 6" },
        { "journal/test/slot/6", [](const std::string& value) { return changeRecord(value, [](auto& record) { record.set_slot(11); }); }, "slot 11" },
        { "journal/test/slot/7", [](const std::string&) { return std::string(); }, "slot 7 is missing" },
        { "journal/test/snapshot/1.1", [](const std::string&) { return std::string(); }, "covers slot" },
        { "journal/test/snapshot/1.0", [](const std::string& value) { return value.substr(0, value.size() / 2); }, "not a journal value" },
        { "journal/test/snapshot/head", [](const std::string& value) { return "x" + value; }, "not a journal value" },
    };

    INSTANTIATE_TEST_SUITE_P(Values, log_corruption_test, testing::ValuesIn(corruptions));

    TEST_F(log_test, SnapshotOfElevenHundredTasksIsReadInFewCalls)
    {
        m_first.open();
        m_clock.runFor(seconds(1));
        for (int index = 0; index < 1100; ++index)
            m_first.append(absl::StrCat("task-", index, std::string(200, 'x')));
        m_clock.runFor(seconds(600));
        ASSERT_EQ(m_first.observer.entries.size(), 1100U);
        auto settings = participant::testOptions("third");
        recording_observer seen;
        fake_store store(m_clock, m_database);
        write_budget budget(1000, 4);
        log third(store, m_clock, budget, settings, seen);
        third.open(1, [](const absl::StatusOr<std::uint64_t>& result) { EXPECT_TRUE(result.ok()) << result.status(); });
        while (third.state() == log_state::Opening)
            m_clock.runFor(milliseconds(1));
        EXPECT_EQ(seen.entries, m_first.observer.entries);
        // The state once, not its stale half beside it, and at most the slots.
        EXPECT_LE(store.readBytes, 1100U * 210 * 3);
    }

    TEST_F(log_test, RefusesWhatDoesNotFit)
    {
        m_first.append("closed");
        m_first.open();
        m_clock.runFor(seconds(1));
        m_first.append(std::string(300 * 1024, 'x'));
        EXPECT_EQ(m_first.results, (std::vector { absl::StatusCode::kFailedPrecondition, absl::StatusCode::kInvalidArgument }));
    }

} // namespace

} // namespace camphorsaddle::journal
