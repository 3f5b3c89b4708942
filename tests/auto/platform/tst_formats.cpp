#include <gtest/gtest.h>

#include "jobs/rules_index.h"
#include "platform/formats.h"
#include "platform/job_format.h"
#include "platform/platform_adapter.h"
#include "platform/platform_settings.h"

using namespace camphorsaddle;
using namespace camphorsaddle::platform;

namespace {

const utils::wall_time_point now { utils::milliseconds(1'800'000'000'000) };
const std::string minionEntry = R"({"ClockMs":482113,"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":1},"Labels":["a","r1-3"],"born":7})";

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST(MinionEntry, IsDecoded)
{
    const auto worker = parseMinion("i-1", minionEntry, now);
    ASSERT_TRUE(worker.ok());
    const jobs::worker_description expected { "i-1", "10.0.0.1:80", "s", "z", "r1-3", { "a", "r1-3" }, { 16'000, 32'768, 1 }, false, utils::milliseconds(0), 7, 482'113 };
    EXPECT_EQ(*worker, expected);
}

// A minion that doesn't tell whether it is cold must not count as warm.
TEST(MinionEntry, TellsHowLongItIsCold)
{
    EXPECT_EQ(parseMinion("i-1", minionEntry, now)->coldTime, std::nullopt);
    for (const auto& [text, time] : { std::pair(std::string("0"), 0), std::pair(std::string("8000"), 8000), std::pair(std::string("1234.5"), 1234) })
        EXPECT_EQ(parseMinion("i-1", replaceFirst(minionEntry, "\"Service\"", "\"ColdLeftMs\":" + text + ",\"Service\""), now)->coldTime, utils::milliseconds(time)) << text;
    EXPECT_FALSE(parseMinion("i-1", replaceFirst(minionEntry, "\"Service\"", "\"ColdLeftMs\":-1,\"Service\""), now).ok());
}

class invalid_minion_entry : public testing::TestWithParam<std::string> {
};

// Entries that do not describe a minion are rejected with an error.
INSTANTIATE_TEST_SUITE_P(Entries, invalid_minion_entry,
    testing::Values("", "{", "[]", "7", "\xff\xfe", "{}", replaceFirst(minionEntry, "\"ready\"", "\"sleeping\""), replaceFirst(minionEntry, "\"ready\"", "7"),
        replaceFirst(minionEntry, "\"10.0.0.1:80\"", "null"), replaceFirst(minionEntry, "16000", "\"much\""), replaceFirst(minionEntry, "[\"a\",\"r1-3\"]", "{}")));

TEST_P(invalid_minion_entry, IsRejected)
{
    EXPECT_EQ(parseMinion("i-1", GetParam(), now).status().code(), absl::StatusCode::kInvalidArgument);
}

// A request for a data centre without a name would close the workers whose data centre isn't known.
TEST(EvacuatedZone, IsTheRestOfTheKey)
{
    const platform_adapter adapter("127.0.0.1:1");
    EXPECT_EQ(adapter.evacuationKeyPrefix(), "op/evacuate/");
    EXPECT_EQ(*adapter.parseEvacuation("op/evacuate/z-1"), "z-1");
    for (const std::string& key : { std::string("op/evacuate/"), std::string("op/evacuate/a\nb"), "op/evacuate/" + std::string(201, 'z') })
        EXPECT_EQ(adapter.parseEvacuation(key).status().code(), absl::StatusCode::kInvalidArgument) << key;
}

struct job_body_case {
    const char* name;
    std::string body;
    absl::StatusCode code;
};

class job_body : public testing::TestWithParam<job_body_case> {
};

INSTANTIATE_TEST_SUITE_P(Bodies, job_body,
    testing::Values(job_body_case { "plain", R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"After":[]},{"Count":2,"After":[0],"LongRunning":true}]})", absl::StatusCode::kOk },
        job_body_case { "noSteps", R"({"Spec":"x"})", absl::StatusCode::kInvalidArgument },
        job_body_case { "notJson", "Steps", absl::StatusCode::kInvalidArgument },
        job_body_case { "mistyped", R"({"Steps":[{"Count":"four"}]})", absl::StatusCode::kInvalidArgument },
        job_body_case { "longestSpec", R"({"Spec":")" + std::string(4000, 's') + R"(","Steps":[{"Count":4}]})", absl::StatusCode::kOk },
        // The text of a job is kept as long as the job; longer ones filled the memory of the leader.
        job_body_case { "tooLongSpec", R"({"Spec":")" + std::string(4001, 's') + R"(","Steps":[{"Count":4}]})", absl::StatusCode::kInvalidArgument },
        job_body_case { "gang", R"({"Steps":[{"Count":4,"Gang":true}]})", absl::StatusCode::kUnimplemented },
        job_body_case { "timed", R"({"Times":3,"Steps":[{"Count":4}]})", absl::StatusCode::kUnimplemented }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(job_body, IsDecodedOrRejected)
{
    EXPECT_EQ(parseJobBody(GetParam().body).status().code(), GetParam().code);
}

// A body of legal size can repeat a dependency a hundred thousand times.
TEST(JobBody, KeepsEachDependencyOnce)
{
    const auto job = parseJobBody(R"({"Spec":"x","Steps":[{"Count":1},{"Count":1},{"Count":1,"After":[1,0,1,1,0]}]})");
    ASSERT_TRUE(job.ok());
    EXPECT_EQ(job->steps[2].after, (std::vector<unsigned> { 0, 1 }));
}

TEST(Configuration, QueueIsMatchedByHostAndLongestPrefix)
{
    const auto rules = parseConfiguration(R"({"Version":7,"Routes":[
        {"Name":"a","Host":"h","Prefix":"/x/","Service":"s","MaxAttempts":3,"SlackFactor":1.5,"TargetLatencyMs":400},
        {"Name":"b","Host":"h","Prefix":"/x/y/","Service":"s"}],"Limits":{"MaxBodyBytes":9}})");
    ASSERT_TRUE(rules.ok());
    EXPECT_EQ(rules->version, 7u);
    EXPECT_EQ(rules->bodyLimit, 9u);
    const jobs::rules_index index(std::make_shared<jobs::deployment_rules>(*rules));
    EXPECT_EQ(index.match("h", "/x/y/1")->name, "b");
    EXPECT_EQ(index.match("h", "/x/1")->name, "a");
    EXPECT_EQ(index.match("h", "/y"), nullptr);
    EXPECT_EQ(index.match("other", "/x/1"), nullptr);
    EXPECT_EQ(index.find("a")->maxAttempts, 3u);
    EXPECT_EQ(index.find("c"), nullptr);
    EXPECT_FALSE(parseConfiguration("{}").ok());
}

// A service that isn't listed, or doesn't say so, is assumed to start whatever it is ordered to.
TEST(Configuration, ServiceWithoutOverloadProtectionIsTakenForProtected)
{
    const auto rules = parseConfiguration(R"({"Version":7,"Routes":[
        {"Name":"a","Host":"h","Prefix":"/a/","Service":"guarded"},{"Name":"b","Host":"h","Prefix":"/b/","Service":"open"},
        {"Name":"c","Host":"h","Prefix":"/c/","Service":"silent"},{"Name":"d","Host":"h","Prefix":"/d/","Service":"unlisted"}],
        "Services":[{"Name":"guarded","RejectsOverload":true},{"Name":"open","RejectsOverload":false},{"Name":"silent"}]})");
    ASSERT_TRUE(rules.ok());
    const jobs::rules_index index(std::make_shared<jobs::deployment_rules>(*rules));
    EXPECT_TRUE(index.rejectsOverload("guarded"));
    for (const char* service : { "open", "silent", "unlisted", "unknown" })
        EXPECT_FALSE(index.rejectsOverload(service)) << service;
}

TEST(TaskName, ParsesWhatWasFormatted)
{
    const external::task_id task { "5c0e7a21d94b36f8", 0, 1, 17 };
    EXPECT_EQ(formatTaskName(task), "5c0e7a21d94b36f8.0.1.17");
    EXPECT_EQ(*parseTaskName(formatTaskName(task)), task);
    for (const char* invalidName : { "", "a.b", "a.0.1.x", "a.0.1.2.3" })
        EXPECT_FALSE(parseTaskName(invalidName).ok()) << invalidName;
}

TEST(PlatformSettings, ErrorNamesMissingField)
{
    const auto settings = parsePlatformSettings(R"({"NodeName":"n"})", "settings.json");
    ASSERT_FALSE(settings.ok());
    EXPECT_NE(std::string(settings.status().message()).find("Zone"), std::string::npos);
}
