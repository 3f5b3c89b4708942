#include "external/guarded_store.h"

#include <algorithm>
#include <map>
#include <vector>

#include "standins/fake_store.h"
#include "gtest/gtest.h"

namespace camphorsaddle::external {

namespace {

    using utils::milliseconds;
    using utils::seconds;

    struct client {
        client(standins::virtual_clock& clock, standins::fake_database& database, unsigned seed)
            : store(clock, database, seed)
            , guard(store, clock, metrics, { .seed = seed })
        {
        }

        standins::fake_store store;
        utils::metric_registry metrics;
        guarded_store guard;
    };

    class guarded_store_test : public testing::Test {
    protected:
        standins::virtual_clock m_clock;
        standins::fake_database m_database { m_clock };
        client m_client { m_clock, m_database, 1 };
    };

    TEST_F(guarded_store_test, OutageOfAnHourCostsFewCallsAndTheRecoveryIsSpread)
    {
        // 200 clients that each want to read every 100 ms, during the long part of the outage every 500 ms.
        std::vector<std::unique_ptr<client>> clients;
        for (unsigned index = 0; index < 200; ++index)
            clients.push_back(std::make_unique<client>(m_clock, m_database, index + 1));
        const auto total = [&clients] {
            std::uint64_t sum = 0;
            for (const auto& each : clients)
                sum += each->guard.calls(store_call::Read);
            return sum;
        };
        const auto runFor = [&](milliseconds duration, milliseconds step = milliseconds(100)) {
            std::uint64_t most = 0;
            for (milliseconds passed { 0 }; passed < duration; passed += step) {
                const auto before = total();
                for (const auto& each : clients)
                    each->guard.read("key", [](const absl::StatusOr<key_value>&) {});
                m_clock.runFor(step);
                most = std::max(most, total() - before);
            }
            return most;
        };
        for (const auto& each : clients)
            each->store.faults.isUnavailable = true;
        runFor(seconds(10));
        const auto before = total();
        runFor(seconds(3600), milliseconds(500));
        // One probe each per 1 to 2 seconds.
        EXPECT_LE(total() - before, 200U * 3600);
        EXPECT_GE(total() - before, 200U * 1500);
        for (const auto& each : clients)
            each->store.faults.isUnavailable = false;
        // Spread over 2 s, so that no tenth of a second sees all; then at the clients' own rate.
        EXPECT_LE(runFor(milliseconds(500)), 120U);
        runFor(seconds(10));
        for (const auto& each : clients)
            EXPECT_EQ(each->guard.state(), breaker_state::Closed);
    }

    TEST_F(guarded_store_test, LostAnswersForMinutesEndInTimeAndAreNeverCalledNotDone)
    {
        m_client.store.faults.lostResponsePercent = 100;
        m_client.store.faults.timeout = seconds(30);
        std::map<absl::StatusCode, int> answers;
        for (int index = 0; index < 300; ++index) {
            m_client.guard.write({ "key", "value", 0, 0 }, [&answers](const absl::StatusOr<revision>& answer) { ++answers[answer.status().code()]; });
            m_clock.runFor(seconds(1));
        }
        m_clock.runFor(seconds(60));
        EXPECT_EQ(answers[absl::StatusCode::kDeadlineExceeded], static_cast<int>(m_client.guard.calls(store_call::Write)));
        EXPECT_EQ(answers[absl::StatusCode::kUnavailable], static_cast<int>(m_client.guard.events(guard_event::RefusedByBreaker)));
        EXPECT_EQ(answers[absl::StatusCode::kDeadlineExceeded] + answers[absl::StatusCode::kUnavailable], 300);
        EXPECT_EQ(m_client.guard.events(guard_event::LateAnswer), m_client.guard.calls(store_call::Write));
        EXPECT_EQ(m_client.guard.events(guard_event::BreakerOpened), 1U);
    }

    TEST_F(guarded_store_test, SilentWatchEndsAfterItsWaitAndLeavesTheBreakerClosed)
    {
        m_client.store.faults.isPaused = true;
        std::vector<absl::StatusCode> answers;
        for (int index = 0; index < 10; ++index)
            m_client.guard.watch("key", 0, seconds(5), [&answers](const absl::StatusOr<watch_result>& answer) { answers.push_back(answer.status().code()); });
        m_clock.runFor(milliseconds(5999));
        EXPECT_TRUE(answers.empty());
        m_clock.runFor(milliseconds(1));
        EXPECT_EQ(answers, std::vector<absl::StatusCode>(10, absl::StatusCode::kDeadlineExceeded));
        EXPECT_EQ(m_client.guard.events(guard_event::SilentWatch), 10U);
        EXPECT_EQ(m_client.guard.state(), breaker_state::Closed);
    }

    TEST_F(guarded_store_test, EqualReadsCollapseButNotAcrossAnOwnWrite)
    {
        std::vector<revision> versions;
        const auto read = [&] {
            m_client.guard.read("key", [&versions](const absl::StatusOr<key_value>& answer) { versions.push_back(answer.ok() ? answer->version : 0); });
        };
        m_client.store.faults.maximumDelay = milliseconds(0);
        read();
        read();
        m_client.guard.write({ "key", "value", 0, 0 }, [](const absl::StatusOr<revision>& answer) { EXPECT_TRUE(answer.ok()); });
        read();
        read();
        m_clock.runFor(seconds(1));
        EXPECT_EQ(versions, (std::vector<revision> { 0, 0, 1, 1 }));
        EXPECT_EQ(m_client.guard.calls(store_call::Read), 2U);
        EXPECT_EQ(m_client.guard.events(guard_event::CollapsedRead), 2U);
    }

    TEST_F(guarded_store_test, RefusalsOfTheStoreAreAnswersAndLeaveTheBreakerClosed)
    {
        for (int index = 0; index < 20; ++index) {
            m_client.guard.write({ "key", "value", 9, 0 }, [](const absl::StatusOr<revision>& answer) { EXPECT_TRUE(absl::IsAborted(answer.status())); });
            m_client.guard.renewLease(77, [](const absl::Status& answer) { EXPECT_TRUE(absl::IsFailedPrecondition(answer)); });
            m_clock.runFor(milliseconds(10));
        }
        EXPECT_EQ(m_client.guard.state(), breaker_state::Closed);
    }

} // namespace

} // namespace camphorsaddle::external
