#include <gtest/gtest.h>

#include "jobs/rules_index.h"
#include "platform/formats.h"
#include "platform/job_format.h"
#include "platform/platform_settings.h"

using namespace camphorsaddle;
using namespace camphorsaddle::platform;

namespace {

const std::string minionEntry = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":1},"Labels":["a","r1-3"],"born":7})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST(Minion, EntryIsDecoded)
{
    const auto worker = parseMinion("i-1", minionEntry);
    ASSERT_TRUE(worker.ok());
    const jobs::worker_description expected { "i-1", "10.0.0.1:80", "s", "z", "r1-3", { "a", "r1-3" }, { 16'000, 32'768, 1 }, false, utils::milliseconds(0), 7 };
    EXPECT_EQ(*worker, expected);
}

class foreign_entry : public testing::TestWithParam<std::string> {
};

// Entries of other writers name no minion, and nothing breaks.
INSTANTIATE_TEST_SUITE_P(Entries, foreign_entry,
    testing::Values("", "{", "[]", "7", "\xff\xfe", "{}", replaced(minionEntry, "\"ready\"", "\"sleeping\""), replaced(minionEntry, "\"ready\"", "7"),
        replaced(minionEntry, "\"10.0.0.1:80\"", "null"), replaced(minionEntry, "16000", "\"much\""), replaced(minionEntry, "[\"a\",\"r1-3\"]", "{}")));

TEST_P(foreign_entry, IsRejected)
{
    EXPECT_EQ(parseMinion("i-1", GetParam()).status().code(), absl::StatusCode::kInvalidArgument);
}

struct job_case {
    const char* name;
    std::string body;
    absl::StatusCode code;
};

class job_body : public testing::TestWithParam<job_case> {
};

INSTANTIATE_TEST_SUITE_P(Bodies, job_body,
    testing::Values(job_case { "plain", R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"After":[]},{"Count":2,"After":[0],"LongRunning":true}]})", absl::StatusCode::kOk },
        job_case { "noSteps", R"({"Spec":"x"})", absl::StatusCode::kInvalidArgument },
        job_case { "noJson", "Steps", absl::StatusCode::kInvalidArgument },
        job_case { "mistyped", R"({"Steps":[{"Count":"four"}]})", absl::StatusCode::kInvalidArgument },
        job_case { "gang", R"({"Steps":[{"Count":4,"Gang":true}]})", absl::StatusCode::kUnimplemented },
        job_case { "timed", R"({"Times":3,"Steps":[{"Count":4}]})", absl::StatusCode::kUnimplemented }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(job_body, IsDecodedOrRefused)
{
    EXPECT_EQ(parseJobBody(GetParam().body).status().code(), GetParam().code);
}

TEST(Configuration, QueueIsChosenByHostAndLongestPrefix)
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

TEST(TaskName, IsReadBack)
{
    const external::task_id task { "5c0e7a21d94b36f8", 0, 1, 17 };
    EXPECT_EQ(taskName(task), "5c0e7a21d94b36f8.0.1.17");
    EXPECT_EQ(*parseTaskName(taskName(task)), task);
    for (const char* wrong : { "", "a.b", "a.0.1.x", "a.0.1.2.3" })
        EXPECT_FALSE(parseTaskName(wrong).ok()) << wrong;
}

TEST(Settings, MissingFieldIsNamed)
{
    const auto settings = parsePlatformSettings(R"({"NodeName":"n"})", "settings.json");
    ASSERT_FALSE(settings.ok());
    EXPECT_NE(std::string(settings.status().message()).find("Zone"), std::string::npos);
}
