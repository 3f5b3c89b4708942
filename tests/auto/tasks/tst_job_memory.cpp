#include <gtest/gtest.h>

#include <optional>

#include "jobs/job_memory.h"
#include "tasks/coordinator/job_memory_budget.h"
#include "tasks/coordinator/job_memory_limits.h"
#include "tasks/coordinator/leaderless_call_handler.h"
#include "tasks/coordinator/open_submissions.h"
#include "tasks/coordinator/stored_jobs.h"
#include "tasks/leading_daemon.h"

// Guards against daemons whose accepted jobs take more memory than the machine has, with and without a leader and at the next leader.

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;

namespace {

const utils::time_point start { utils::milliseconds(1'000'000) };

jobs::job_spec jobOfTasks(const std::string& id, unsigned count)
{
    jobs::job_spec job;
    job.id = id;
    job.queue = "queue";
    job.steps.resize(1);
    job.steps.front().count = count;
    return job;
}

struct budget_case {
    const char* name;
    std::vector<std::uint64_t> followers;
    utils::milliseconds age;
    std::uint64_t limit;
    std::uint64_t allowance;
};

class memory_budget : public testing::TestWithParam<budget_case> {
};

} // namespace

// The smallest daemon may lead next. What all daemons together store without a leader stays within what the leader has left.
INSTANTIATE_TEST_SUITE_P(Followers, memory_budget,
    testing::Values(budget_case { "none", {}, utils::milliseconds(0), 1000, 600 },
        budget_case { "larger", { 4000 }, utils::milliseconds(0), 1000, 300 },
        budget_case { "smaller", { 4000, 700 }, utils::milliseconds(0), 700, 100 },
        budget_case { "ofAnOlderVersion", { 0 }, utils::milliseconds(0), 1000, 300 },
        budget_case { "gone", { 700 }, utils::milliseconds(70'000), 1000, 600 },
        budget_case { "tooSmallForTheJobs", { 300 }, utils::milliseconds(0), 300, 0 }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(memory_budget, CountsTheSmallestDaemon)
{
    constexpr std::uint64_t held = 400;
    job_memory_budget budget(1000);
    for (std::size_t index = 0; index < GetParam().followers.size(); ++index)
        budget.noteFollower("follower-" + std::to_string(index), GetParam().followers[index], start);
    const auto now = start + GetParam().age;
    EXPECT_EQ(budget.limit(now), GetParam().limit);
    EXPECT_EQ(budget.allowanceWithoutLeader(held, now), GetParam().allowance);
    const auto left = GetParam().limit - std::min(GetParam().limit, held);
    EXPECT_EQ(budget.admits(left, held, now), GetParam().limit >= held);
    EXPECT_FALSE(budget.admits(left + 1, held, now));
}

TEST(JobMemoryLimits, LeaveMostOfTheMachine)
{
    const auto limits = deriveJobMemoryLimits({ 160 << 20, 4100 });
    EXPECT_EQ(limits.jobs, 40U << 20);
    // 128 daemons without a leader, and the submissions of 64 daemons at one leader.
    EXPECT_EQ(limits.jobsWithoutLeader * 128, limits.jobs);
    EXPECT_EQ(limits.openSubmissions * 64, limits.jobs);
}

TEST(OpenSubmissions, HandleOneWhateverItsSize)
{
    open_submissions open(100);
    EXPECT_TRUE(open.open(1, 1000, start, start + utils::milliseconds(500)));
    EXPECT_FALSE(open.open(2, 1, start, start + utils::milliseconds(500)));
    open.close(1);
    EXPECT_TRUE(open.open(3, 60, start, start + utils::milliseconds(500)));
    EXPECT_TRUE(open.open(4, 40, start, start + utils::milliseconds(500)));
    EXPECT_FALSE(open.open(5, 1, start, start + utils::milliseconds(500)));
    // Submissions whose reply is lost don't count for ever.
    EXPECT_TRUE(open.open(6, 100, start + utils::milliseconds(501), start + utils::milliseconds(900)));
}

namespace {

struct refused_job_case {
    const char* name;
    //! Another daemon has stored the job.
    bool isStored;
    reply_mode replyMode;
    call_outcome outcome;
};

//! A leader whose memory holds one job of ten tasks.
class full_leader : public leading_daemon, public testing::WithParamInterface<refused_job_case> {
protected:
    full_leader()
        : leading_daemon({}, {}, {}, jobs::jobMemory(jobOfTasks("large", 10)) + 1)
    {
    }

    std::optional<job_reply> submit(const jobs::job_spec& job)
    {
        std::optional<job_reply> reply;
        m_term->handleCall({ 0, call_kind::Submit, job.id, job, utils::milliseconds(1000) }, [&](const job_reply& received) { reply = received; });
        runLoop(m_loop, settlingTime);
        return reply;
    }
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Jobs, full_leader,
    testing::Values(refused_job_case { "new", false, reply_mode::Succeeds, call_outcome::Refused },
        refused_job_case { "storedByAnotherDaemon", true, reply_mode::Succeeds, call_outcome::Indeterminate }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(full_leader, RefusesOnlyJobsThatAreNotStored)
{
    EXPECT_EQ(submit(jobOfTasks("large", 10))->outcome, call_outcome::Done);
    const auto job = jobOfTasks("other", 1);
    if (GetParam().isStored)
        m_store.put(store_keys::job(job.id), jobs::encodeJob(job));
    const auto reply = submit(job);
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->outcome, GetParam().outcome);
    if (!GetParam().isStored) {
        EXPECT_EQ(reply->reason, jobMemoryReason);
        EXPECT_GT(reply->retryAfter.count(), 0);
        EXPECT_FALSE(m_store.content.contains(store_keys::job(job.id)));
    }
    // A job that the leader knows is never refused.
    EXPECT_EQ(submit(jobOfTasks("large", 10))->outcome, call_outcome::Done);
}

namespace {

struct memory_without_leader_case {
    const char* name;
    bool mayBeStored;
    bool isStored;
    call_outcome outcome;
};

class memory_without_leader : public testing::TestWithParam<memory_without_leader_case> {
};

} // namespace

// A daemon without a leader stores no more than what it was told, and its refusals are true.
INSTANTIATE_TEST_SUITE_P(Submissions, memory_without_leader,
    testing::Values(memory_without_leader_case { "new", false, false, call_outcome::Refused },
        memory_without_leader_case { "passedOnToALeader", true, false, call_outcome::Indeterminate },
        memory_without_leader_case { "stored", false, true, call_outcome::Done }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(memory_without_leader, IsLimited)
{
    transport::event_loop loop;
    memory_store store(loop);
    leaderless_call_handler handler(loop, store);
    handler.setJobMemory(jobs::jobMemory(jobOfTasks("first", 10)));
    const auto submit = [&](const jobs::job_spec& job, bool mayBeStored) {
        std::optional<job_reply> reply;
        handler.handle({ 0, call_kind::Submit, job.id, job, utils::milliseconds(1000), mayBeStored }, [&](const job_reply& received) { reply = received; });
        runLoop(loop, settlingTime);
        return reply.value_or(job_reply {}).outcome;
    };
    // A job that is stored already takes nothing.
    store.put(store_keys::job("known"), "record");
    EXPECT_EQ(submit(jobOfTasks("known", 5), false), call_outcome::Done);
    EXPECT_EQ(submit(jobOfTasks("first", 10), false), call_outcome::Done);
    if (GetParam().isStored)
        store.put(store_keys::job("second"), "record");
    EXPECT_EQ(submit(jobOfTasks("second", 1), GetParam().mayBeStored), GetParam().outcome);
    EXPECT_EQ(store.content.contains(store_keys::job("second")), GetParam().isStored);
}

// The keys of a job may stand on two pages.
TEST(StoredJobs, AreReadPageByPage)
{
    std::map<std::string, external::key_value> content;
    const auto put = [&](const std::string& key, const std::string& value) {
        content[key] = { key, content.size() + 1, value };
    };
    constexpr int count = 600;
    for (int number = 0; number < count; ++number) {
        const auto id = std::to_string(1000 + number);
        put(store_keys::job(id), jobs::encodeJob(jobOfTasks(id, 1)));
        put(store_keys::progress(id), jobs::encodeProgress({ jobs::job_phase::Completed, {} }));
        if (number % 3 == 0)
            put(store_keys::cancellation(id), store_keys::cancelledMark);
    }
    put(store_keys::progress("without a job"), jobs::encodeProgress({}));
    std::map<std::string, stored_job> read;
    std::size_t progressCount = 0;
    stored_jobs reader([&](const stored_job& job) { EXPECT_TRUE(read.emplace(job.spec.id, job).second); }, [&](const std::string&, external::revision) { ++progressCount; });
    bool hasMore = true;
    unsigned pages = 0;
    while (hasMore) {
        external::key_listing page { 1, {} };
        for (auto entry = content.lower_bound(reader.previousKey()); entry != content.end() && page.entries.size() < stored_jobs::pageSize; ++entry)
            page.entries.push_back(entry->second);
        hasMore = reader.readPage(page);
        ++pages;
    }
    EXPECT_EQ(pages, 3U);
    EXPECT_EQ(progressCount, count + 1U);
    ASSERT_EQ(read.size(), static_cast<std::size_t>(count));
    for (const auto& [id, job] : read) {
        EXPECT_EQ(job.progress.phase, jobs::job_phase::Completed);
        EXPECT_EQ(job.isCancelled, (std::stoi(id) - 1000) % 3 == 0);
    }
}

// A page ends exactly with the last key.
TEST(StoredJobs, EndWithAFullPage)
{
    external::key_listing page { 1, {} };
    for (std::size_t number = 0; number < stored_jobs::pageSize; ++number)
        page.entries.push_back({ store_keys::job(std::to_string(1000 + number)), 1, jobs::encodeJob(jobOfTasks(std::to_string(1000 + number), 1)) });
    std::size_t count = 0;
    stored_jobs reader([&](const stored_job&) { ++count; }, [](const std::string&, external::revision) {});
    EXPECT_TRUE(reader.readPage(page));
    EXPECT_FALSE(reader.readPage({ 1, {} }));
    EXPECT_EQ(count, stored_jobs::pageSize);
}
