#include <gtest/gtest.h>

#include <map>
#include <optional>

#include "tasks/coordinator/early_cancellation_sweep.h"
#include "tasks/coordinator/leaderless_call_handler.h"
#include "tasks/leading_daemon.h"

// Guards against a job that runs although its cancellation was acknowledged before the job was stored. Its submission was still under
// way: in the socket of a frozen daemon, in a relay to the leader, in the leader's writer or in a write of the store without an answer
// (review/12, UNASKED).

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;

namespace {

//! A daemon that leads, and another one that handles calls with the store alone.
class cancelling_daemons : public leading_daemon {
protected:
    job_reply callLeaderless(call_kind kind, const std::string& id = jobId)
    {
        std::optional<job_reply> result;
        m_leaderless.handle(makeCall(kind, id), [&](const job_reply& reply) { result = reply; });
        runLoop(m_loop, m_store.replyMode == reply_mode::Succeeds ? settlingTime : callTimeout);
        EXPECT_TRUE(result.has_value());
        return result.value_or(job_reply {});
    }

    static job_call makeCall(call_kind kind, const std::string& id)
    {
        job_call call;
        call.kind = kind;
        call.subject = id;
        call.job = makeJob();
        call.job.id = id;
        call.timeout = callTimeout;
        return call;
    }

    bool isStored(const std::string& id = jobId) const
    {
        return m_store.content.contains(store_keys::job(id));
    }

    static constexpr utils::milliseconds callTimeout { 800 };
    leaderless_call_handler m_leaderless { m_loop, m_store };
};

struct late_submission_case {
    const char* name;
    bool isByLeader;
    //! The store gets the write before the cancellation and executes it afterwards.
    bool isHeldByStore;
};

class late_submission : public cancelling_daemons, public testing::WithParamInterface<late_submission_case> {
protected:
    void submit()
    {
        const auto ignoreReply = [](const job_reply&) {
        };
        if (GetParam().isByLeader)
            m_term->handleCall(makeCall(call_kind::Submit, jobId), ignoreReply);
        else
            m_leaderless.handle(makeCall(call_kind::Submit, jobId), ignoreReply);
    }
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Ways, late_submission,
    testing::Values(late_submission_case { "readByADaemonWithoutLeader", false, false },
        late_submission_case { "readByTheLeader", true, false },
        late_submission_case { "lateWriteOfADaemonWithoutLeader", false, true },
        late_submission_case { "lateWriteOfTheLeader", true, true }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(late_submission, StoresNothingAfterTheCancellation)
{
    if (GetParam().isHeldByStore) {
        m_store.heldKey = store_keys::job(jobId);
        submit();
        runLoop(m_loop, utils::milliseconds(50));
        ASSERT_TRUE(m_store.heldKey.empty());
    }
    EXPECT_EQ(callLeaderless(call_kind::Cancel).outcome, call_outcome::NotFound);
    if (GetParam().isHeldByStore)
        m_store.executeHeldTransaction();
    else
        submit();
    runLoop(m_loop, settlingTime);
    EXPECT_FALSE(isStored());
    EXPECT_FALSE(m_store.content.contains(store_keys::inboxPrefix + jobId));
    EXPECT_EQ(call(call_kind::Status).outcome, call_outcome::NotFound);
}

// A refusal promises that the job never runs, so that each further attempt with the id gets it too.
TEST_F(cancelling_daemons, RefuseEachSubmissionOfTheCancelledId)
{
    EXPECT_EQ(callLeaderless(call_kind::Cancel).outcome, call_outcome::NotFound);
    for (int attempt = 0; attempt < 2; ++attempt) {
        for (const auto& reply : { callLeaderless(call_kind::Submit), call(call_kind::Submit) }) {
            EXPECT_EQ(reply.outcome, call_outcome::Refused);
            EXPECT_EQ(reply.reason, "cancelled");
        }
    }
    EXPECT_FALSE(isStored());
    EXPECT_EQ(callLeaderless(call_kind::Submit, "other").outcome, call_outcome::Done);
}

// An ended job is erased key by key.
TEST_F(cancelling_daemons, KeepAnIdOutOfTheStoreWhoseJobIsHalfErased)
{
    m_store.put(store_keys::progress(jobId), jobs::encodeProgress({ jobs::job_phase::Completed, {} }));
    EXPECT_EQ(callLeaderless(call_kind::Cancel).outcome, call_outcome::NotFound);
    EXPECT_EQ(callLeaderless(call_kind::Submit).outcome, call_outcome::Refused);
    EXPECT_FALSE(isStored());
}

// The job is stored after the listing of its keys and before the write of the cancellation.
TEST_F(cancelling_daemons, CancelAJobThatIsStoredMeanwhile)
{
    std::optional<job_reply> reply;
    m_leaderless.handle(makeCall(call_kind::Cancel, jobId), [&](const job_reply& received) { reply = received; });
    // The listing has been executed, and its reply waits in the event loop.
    m_store.put(store_keys::job(jobId), jobs::encodeJob(makeJob()));
    runLoop(m_loop, settlingTime);
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->outcome, call_outcome::Done);
    EXPECT_TRUE(m_store.content.contains(store_keys::cancellation(jobId)));
}

namespace {

struct failing_store_case {
    const char* name;
    reply_mode mode;
    call_outcome outcome;
};

class cancellation_beside_failing_store : public cancelling_daemons, public testing::WithParamInterface<failing_store_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Stores, cancellation_beside_failing_store,
    testing::Values(failing_store_case { "refusing", reply_mode::Refuses, call_outcome::Refused },
        failing_store_case { "losingReplies", reply_mode::LosesReplies, call_outcome::Indeterminate }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against an acknowledgement of a cancellation that isn't known to be stored.
TEST_P(cancellation_beside_failing_store, IsNotAcknowledged)
{
    m_store.replyMode = GetParam().mode;
    EXPECT_EQ(callLeaderless(call_kind::Cancel).outcome, GetParam().outcome);
}

// Guards against callers that fill the store with cancellations of jobs that nobody has submitted.
TEST(EarlyCancellationBudget, RefusesCancellationsOfUnknownJobsBeyondIt)
{
    transport::event_loop loop;
    memory_store store(loop);
    leaderless_call_handler handler(loop, store, { .burst = 3, .perSecond = 0 });
    std::map<call_outcome, int> outcomes;
    const auto cancel = [&](const std::string& id) {
        job_call call;
        call.kind = call_kind::Cancel;
        call.subject = id;
        call.timeout = utils::milliseconds(800);
        handler.handle(call, [&](const job_reply& reply) { ++outcomes[reply.outcome]; });
    };
    for (int number = 0; number < 10; ++number)
        cancel("unknown-" + std::to_string(number));
    runLoop(loop, settlingTime);
    EXPECT_EQ(outcomes[call_outcome::NotFound], 3);
    EXPECT_EQ(outcomes[call_outcome::Refused], 7);
    EXPECT_EQ(store.content.size(), 3U);
    EXPECT_EQ(store.transactions, 1U);
    // Cancellations of jobs that exist need no budget.
    store.put(store_keys::job("known"), "record");
    cancel("known");
    runLoop(loop, settlingTime);
    EXPECT_EQ(outcomes[call_outcome::Done], 1);
}

namespace {

constexpr early_cancellation_settings sweepSettings { .retention = utils::milliseconds(300'000), .sweepInterval = utils::milliseconds(30'000) };

struct sweep_case {
    const char* name;
    //! Time from the listing that shows the entry first to the one that is examined.
    utils::milliseconds age;
    bool isErased;
};

class early_cancellation_age : public testing::TestWithParam<sweep_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Ages, early_cancellation_age,
    testing::Values(sweep_case { "new", utils::milliseconds(0), false },
        sweep_case { "beforeTheRetention", utils::milliseconds(299'000), false },
        sweep_case { "afterTheRetention", utils::milliseconds(300'000), true }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against an entry that is erased while a submission of its job may still be under way.
TEST_P(early_cancellation_age, IsErasedAfterTheRetention)
{
    early_cancellation_sweep sweep(sweepSettings);
    const utils::time_point start { utils::milliseconds(1'000'000) };
    const external::key_listing listing { 7, { { store_keys::earlyCancellation("old"), 5, store_keys::cancelledMark } } };
    sweep.handlePage(listing, start);
    // An entry that was written again since has a higher version.
    auto later = listing;
    later.at = 9;
    later.entries.push_back({ store_keys::earlyCancellation("renewed"), 8, store_keys::cancelledMark });
    const auto erasable = sweep.handlePage(later, start + GetParam().age);
    ASSERT_EQ(erasable.size(), GetParam().isErased ? 1U : 0U);
    for (const auto& entry : erasable)
        EXPECT_EQ(entry, listing.entries.front());
}

// A failed listing begins the search anew, and the next one is due after the interval.
TEST(EarlyCancellationSweep, ContinuesPageByPage)
{
    early_cancellation_sweep sweep(sweepSettings);
    utils::time_point now { utils::milliseconds(1'000'000) };
    EXPECT_TRUE(sweep.beginPage(now));
    EXPECT_FALSE(sweep.beginPage(now));
    external::key_listing fullPage { 200, {} };
    for (std::size_t number = 0; number <= early_cancellation_sweep::pageSize; ++number)
        fullPage.entries.push_back({ store_keys::earlyCancellation(std::to_string(1000 + number)), 1, store_keys::cancelledMark });
    sweep.handlePage(fullPage, now);
    EXPECT_EQ(sweep.previousKey(), fullPage.entries[early_cancellation_sweep::pageSize - 1].key);
    EXPECT_TRUE(sweep.beginPage(now));
    sweep.handlePage(absl::UnavailableError("refused"), now);
    EXPECT_EQ(sweep.previousKey(), "");
    EXPECT_FALSE(sweep.beginPage(now));
    now += sweepSettings.sweepInterval;
    EXPECT_TRUE(sweep.beginPage(now));
    EXPECT_TRUE(sweep.handlePage(fullPage, now).empty());
    now += sweepSettings.retention;
    EXPECT_EQ(sweep.handlePage(fullPage, now).size(), early_cancellation_sweep::pageSize);
}

namespace {

class short_retention : public leading_daemon {
protected:
    short_retention()
        : leading_daemon({}, {}, { .retention = utils::milliseconds(500), .sweepInterval = utils::milliseconds(100) })
    {
    }
};

} // namespace

TEST_F(short_retention, LeaderErasesOldEarlyCancellations)
{
    m_store.put(store_keys::earlyCancellation(jobId), store_keys::cancelledMark);
    runLoop(m_loop, utils::milliseconds(4000));
    EXPECT_FALSE(m_store.content.contains(store_keys::earlyCancellation(jobId)));
}
