#include <gtest/gtest.h>

#include <limits>
#include <optional>

#include "absl/strings/str_cat.h"
#include "jobs/job_record.h"
#include "tasks/coordinator/admission_gate.h"
#include "tasks/coordinator/daemon_reach.h"
#include "tasks/coordinator/leader_election.h"
#include "tasks/coordinator/rules_codec.h"
#include "tasks/memory_store.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;

namespace {

constexpr utils::milliseconds shortRunTime { 50 };
constexpr utils::milliseconds longBacklog { 30'000 };
const utils::time_point helloAt = utils::time_point() + std::chrono::hours(1);

jobs::deployment_rules makeRules()
{
    jobs::queue_rules queue;
    queue.name = "effort";
    queue.priority = 2;
    return { 1, { queue } };
}

job_call makeSubmission()
{
    job_call call;
    call.kind = call_kind::Submit;
    call.subject = "job";
    call.job.id = "job";
    call.job.queue = "effort";
    call.job.steps.resize(1);
    call.job.steps.front().isBestEffort = true;
    call.job.steps.front().estimate = utils::milliseconds(1000);
    return call;
}

class gate_with_backlog : public testing::Test {
protected:
    gate_with_backlog()
    {
        m_gate.setForecast(jobs::published_forecast { { { "effort", { longBacklog, utils::milliseconds(0), 1 } } }, helloAt });
    }

    //! Reply of the gate; nullopt if it passes the call on.
    std::optional<job_reply> decide(const job_call& call, utils::milliseconds age = utils::milliseconds(0), bool hasLeader = true)
    {
        std::optional<job_reply> reply;
        unsigned passedOn = 0;
        unsigned refused = 0;
        m_gate.decide(
            call, &m_rules, hasLeader, helloAt + age, [&] { ++passedOn; }, [&](const job_reply& received) { reply = received; ++refused; });
        runLoop(m_loop, shortRunTime);
        EXPECT_EQ(passedOn + refused, 1U);
        return reply;
    }

    transport::event_loop m_loop;
    memory_store m_store { m_loop };
    jobs::deployment_rules m_rules = makeRules();
    admission_gate m_gate { m_store };
};

} // namespace

TEST_F(gate_with_backlog, RefusesANewJob)
{
    const auto reply = decide(makeSubmission());
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->outcome, call_outcome::Refused);
    EXPECT_EQ(reply->reason, "overload");
    EXPECT_GT(reply->retryAfter.count(), 0);
    EXPECT_EQ(m_store.transactions, 0U);
}

TEST_F(gate_with_backlog, RefusesWithoutALeaderByARecentForecastOnly)
{
    EXPECT_EQ(decide(makeSubmission(), utils::milliseconds(4000), false).value_or(job_reply {}).reason, "overload_without_leader");
    EXPECT_EQ(decide(makeSubmission(), utils::milliseconds(6000), false).value_or(job_reply {}).reason, "no_forecast");
    EXPECT_FALSE(decide(makeSubmission(), utils::milliseconds(4000), true));
}

// A refused job must never run: an earlier attempt of the same job may have been stored, by this daemon or by another one.
TEST_F(gate_with_backlog, RefusesNoJobThatMayBeStored)
{
    m_store.put(store_keys::job("job"), "record");
    EXPECT_FALSE(decide(makeSubmission()));
}

TEST_F(gate_with_backlog, RefusesNoJobThatWasPassedOnBefore)
{
    m_gate.setForecast(std::nullopt);
    EXPECT_FALSE(decide(makeSubmission()));
    m_gate.setForecast(jobs::published_forecast { { { "effort", { longBacklog, utils::milliseconds(0), 1 } } }, helloAt });
    EXPECT_FALSE(decide(makeSubmission()));
    // The attempt is forgotten in the end, which bounds the memory.
    EXPECT_TRUE(decide(makeSubmission(), utils::milliseconds(61'000), false));
}

namespace {

struct refusal_without_room_case {
    const char* name;
    bool isStored;
    bool isPassedOn;
    call_outcome outcome;
};

class refusal_without_room : public gate_with_backlog, public testing::WithParamInterface<refusal_without_room_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Jobs, refusal_without_room,
    testing::Values(refusal_without_room_case { "new", false, false, call_outcome::Refused },
        refusal_without_room_case { "stored", true, false, call_outcome::Indeterminate },
        refusal_without_room_case { "passedOn", false, true, call_outcome::Indeterminate }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a refusal of a job that an earlier attempt has stored or may still store.
TEST_P(refusal_without_room, IsTrue)
{
    if (GetParam().isStored)
        m_store.put(store_keys::job("job"), "record");
    if (GetParam().isPassedOn)
        m_gate.noteAttempt("job", helloAt);
    std::optional<job_reply> reply;
    m_gate.refuseIfAbsent(makeSubmission(), "no_room", utils::milliseconds(1000), helloAt, [&](const job_reply& received) { reply = received; });
    runLoop(m_loop, shortRunTime);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->outcome, GetParam().outcome);
    EXPECT_EQ(reply->reason, "no_room");
    EXPECT_EQ(m_store.transactions, 0U);
}

TEST_F(gate_with_backlog, LooksAtNewJobsOnly)
{
    auto call = makeSubmission();
    call.kind = call_kind::Cancel;
    EXPECT_FALSE(decide(call));
    call = makeSubmission();
    call.job.queue = "another";
    EXPECT_FALSE(decide(call));
}

namespace {

struct reach_case {
    const char* name;
    int silenceMilliseconds;
    int unconfirmedMilliseconds;
    bool isLeaderWatchFailing;
    bool isRulesWatchFailing;
    bool isDisconnected;
};

class reach_of_daemon : public testing::TestWithParam<reach_case> {
};

} // namespace

// Guards against callers that wait for a leader and a store that their daemon doesn't reach, and against a daemon that is taken out of
// service although it reaches one of them.
INSTANTIATE_TEST_SUITE_P(Ways, reach_of_daemon,
    testing::Values(
        reach_case { "both", 400, 600, false, false, false },
        reach_case { "leaderOnly", 1500, 60'000, true, true, false },
        reach_case { "storeOnly", 60'000, 1000, false, false, false },
        reach_case { "neither", 1501, 1600, true, true, true },
        reach_case { "storeRefusesACall", 2000, 3000, false, true, false },
        reach_case { "silentLink", 3001, 3001, false, true, true }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(reach_of_daemon, IsLostWithoutLeaderAndStore)
{
    const auto now = helloAt + std::chrono::hours(1);
    const daemon_reach reach { now - utils::milliseconds(GetParam().silenceMilliseconds), now - utils::milliseconds(GetParam().unconfirmedMilliseconds), GetParam().isLeaderWatchFailing, GetParam().isRulesWatchFailing };
    EXPECT_EQ(isDisconnected(reach, now), GetParam().isDisconnected);
}

namespace {

struct odd_forecast_case {
    const char* name;
    std::int64_t helloMicroseconds;
    std::int64_t ageMilliseconds;
    std::int64_t backlogMilliseconds;
    double ratio;
    unsigned queues;
    bool isRead;
};

class forecast_of_leader : public testing::TestWithParam<odd_forecast_case> {
};

} // namespace

// A message from another daemon may hold anything.
INSTANTIATE_TEST_SUITE_P(Messages, forecast_of_leader,
    testing::Values(
        odd_forecast_case { "sound", 1'000'000, 200, 5000, 1, 3, true },
        odd_forecast_case { "withoutHello", 0, 200, 5000, 1, 3, false },
        odd_forecast_case { "negativeAge", 1'000'000, -1, 5000, 1, 3, false },
        odd_forecast_case { "hugeAge", 1'000'000, std::numeric_limits<std::int64_t>::max(), 5000, 1, 3, false },
        odd_forecast_case { "negativeBacklog", 1'000'000, 200, -1, 1, 3, false },
        odd_forecast_case { "hugeBacklog", 1'000'000, 200, 60'001, 1, 3, false },
        odd_forecast_case { "ratioIsNoNumber", 1'000'000, 200, 5000, std::numeric_limits<double>::quiet_NaN(), 3, false },
        odd_forecast_case { "negativeRatio", 1'000'000, 200, 5000, -1, 3, false },
        odd_forecast_case { "tooManyQueues", 1'000'000, 200, 5000, 1, 65, false }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(forecast_of_leader, IsReadIfItsNumbersAreSound)
{
    const auto& value = GetParam();
    protocol::RulesUpdate update;
    update.set_hello_us(value.helloMicroseconds);
    update.mutable_forecast()->set_age_ms(value.ageMilliseconds);
    for (unsigned number = 0; number < value.queues; ++number) {
        auto& queue = *update.mutable_forecast()->add_queues();
        queue.set_queue(absl::StrCat("queue", number));
        queue.set_best_effort_ms(value.backlogMilliseconds);
        queue.set_duration_ratio(value.ratio);
    }
    EXPECT_EQ(readForecast(update).has_value(), value.isRead);
}

TEST(ForecastCodec, KeepsTheForecastWithItsAge)
{
    const jobs::published_forecast forecast { { { "effort", { utils::milliseconds(5000), utils::milliseconds(700), 1.5 } } }, helloAt };
    protocol::RulesUpdate update;
    EXPECT_FALSE(readForecast(update));
    update.set_hello_us(std::chrono::duration_cast<utils::microseconds>(helloAt.time_since_epoch()).count());
    EXPECT_FALSE(readForecast(update));
    writeForecast(forecast, helloAt + utils::milliseconds(150), update);
    const auto read = readForecast(update);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->queues, forecast.queues);
    EXPECT_EQ(read->at, helloAt - utils::milliseconds(150));
}
