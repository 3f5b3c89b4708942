#include <gtest/gtest.h>

#include <optional>

#include "absl/strings/str_cat.h"
#include "external/http_host_directory.h"
#include "external/http_key_value_store.h"
#include "external/http_worker_control.h"

using namespace camphorsaddle;
using namespace camphorsaddle::external;

namespace {

constexpr utils::milliseconds timeout { 100 };

//! HTTP client that answers each call at once with the same body.
class canned_client final : public transport::http_client {
public:
    explicit canned_client(std::string body)
        : m_body(std::move(body))
    {
    }

    transport::http_call_id start(transport::http_call, transport::http_callback callback) override
    {
        callback({ absl::OkStatus(), { 200, {}, m_body }, true, false });
        return 1;
    }
    void cancel(transport::http_call_id) override { }
    void setMaximumIdleTime(utils::seconds) override { }
    void setMaximumConnectionAge(utils::seconds) override { }

private:
    std::string m_body;
};

std::string hostText(const std::string& id, const std::string& name, const std::string& value)
{
    const std::vector<std::pair<std::string, std::string>> fields { { "role", R"("worker")" }, { "state", R"("live")" }, { "url", R"("http://10.0.0.1:80")" }, { "data_centre", R"("d")" }, { "rack", R"("r")" }, { "slots", "1" }, { "connections", "1" }, { "processors", "16000" }, { "memory", "1" }, { "accelerators", "0" } };
    auto text = R"({"id":")" + id + "\"";
    for (const auto& [key, content] : fields)
        absl::StrAppend(&text, ",\"", key, "\":", key == name ? value : content);
    return text + "}";
}

absl::StatusOr<std::vector<model::host>> hostsOf(const std::string& body)
{
    canned_client http(body);
    http_host_directory directory(http, "http://10.0.0.9:80", timeout);
    absl::StatusOr<std::vector<model::host>> result = absl::UnknownError("no answer");
    directory.hosts([&](auto hosts) { result = std::move(hosts); });
    return result;
}

struct odd_field {
    const char* name;
    const char* value;
};

std::ostream& operator<<(std::ostream& stream, const odd_field& field)
{
    return stream << field.name << " " << field.value;
}

class odd_host : public testing::TestWithParam<odd_field> {
};

std::vector<odd_field> crossed(const std::vector<const char*>& names, const std::vector<const char*>& values)
{
    std::vector<odd_field> fields;
    for (const auto* name : names) {
        for (const auto* value : values)
            fields.push_back({ name, value });
    }
    return fields;
}

class odd_report : public testing::TestWithParam<const char*> {
};

std::string nestedLists()
{
    constexpr std::size_t depth = 1'000'000;
    return std::string(depth, '[') + std::string(depth, ']');
}

absl::StatusOr<worker_report> reportOf(const std::string& body)
{
    canned_client http(body);
    http_worker_control control(http, timeout);
    model::host worker;
    worker.id = "w";
    worker.url = "http://10.0.0.1:80";
    absl::StatusOr<worker_report> result = absl::UnknownError("no answer");
    control.renew(worker, { "s", 1, timeout, {} }, [&](auto report) { result = std::move(report); });
    return result;
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Numbers, odd_host,
    testing::ValuesIn(crossed({ "slots", "connections", "processors", "memory", "accelerators" }, { "-1", "0.5", "1e30", "4294967297", "9223372036854775808", "18446744073709551615", "\"1\"", "null", "[]", "{}" })));
INSTANTIATE_TEST_SUITE_P(Texts, odd_host, testing::ValuesIn(crossed({ "role", "state", "url", "data_centre", "rack" }, { "7", "null", "[]", "{}", R"("a\u0000b")", R"("a\r\nb")" })));
INSTANTIATE_TEST_SUITE_P(Names, odd_host, testing::ValuesIn(crossed({ "role", "state" }, { R"("")", R"("other")" })));
INSTANTIATE_TEST_SUITE_P(Addresses, odd_host,
    testing::ValuesIn(crossed({ "url" }, { R"("")", R"("10.0.0.1:80")", R"("http://10.0.0.1")", R"("http://10.0.0.1:0")", R"("http://10.0.0.1:65536")", R"("http://10.0.0.1:-1")", R"("http://:80")", R"("http://a b:80")", R"("file:///x:80")" })));

// One host that can't be read must not hide the others.
TEST_P(odd_host, LeavesTheOthers)
{
    const auto hosts = hostsOf(R"({"hosts":[)" + hostText("a", "", "") + "," + hostText("b", GetParam().name, GetParam().value) + "," + hostText("c", "", "") + "]}");
    ASSERT_TRUE(hosts.ok()) << hosts.status();
    ASSERT_EQ(hosts->size(), 2u);
    EXPECT_EQ((*hosts)[0].id, "a");
    EXPECT_EQ((*hosts)[1].id, "c");
}

TEST(OddHostList, IsAnError)
{
    for (const std::string body : { "", "{", "[]", "7", "{}", R"({"hosts":7})", R"({"hosts":{}})" }) {
        EXPECT_FALSE(hostsOf(body).ok()) << body;
        EXPECT_LE(hostsOf(body).status().message().size(), 400u);
    }
    EXPECT_FALSE(hostsOf(R"({"hosts":)" + nestedLists() + "}").ok());
}

INSTANTIATE_TEST_SUITE_P(Reports, odd_report,
    testing::Values(R"({"tasks":{}})", R"({"tasks":[7]})", R"({"tasks":[{"task":"t","attempt":-1,"epoch":1,"state":"running"}]})", R"({"tasks":[{"task":"t","attempt":4294967296,"epoch":1,"state":"running"}]})", R"({"tasks":[{"task":"t","attempt":1.5,"epoch":1,"state":"running"}]})",
        R"({"tasks":[{"task":"t","attempt":1,"epoch":-1,"state":"running"}]})", R"({"tasks":[{"task":"t","attempt":1,"epoch":1,"state":"asleep"}]})", R"({"tasks":[{"task":"t","attempt":1,"epoch":1,"state":"running","usage":{"processors":-5}}]})",
        R"({"tasks":[{"task":"t","attempt":1,"epoch":1,"state":"running","usage":{"memory":18446744073709551615}}]})", R"({"tasks":[{"task":"t","attempt":1,"epoch":1,"state":"running","usage":7}]})", R"({"tasks":[],"measured_ms_ago":-1})", R"({"tasks":[],"measured_ms_ago":9223372036854775807})",
        R"({"tasks":[],"measured_ms_ago":1e30})", R"({"tasks":[],"services":{}})", R"({"tasks":[],"services":[{"service":"s","latency_ms":-1}]})", R"({"tasks":[],"services":[{"service":"s","load":1e300}]})"));

TEST_P(odd_report, IsRejected)
{
    ASSERT_TRUE(reportOf(R"({"tasks":[{"task":"t","attempt":1,"epoch":1,"state":"running","usage":{"processors":5}}],"services":[{"service":"s","latency_ms":1.5}],"measured_ms_ago":5})").ok());
    const auto report = reportOf(GetParam());
    EXPECT_FALSE(report.ok());
    EXPECT_LE(report.status().message().size(), 400u);
}

// A copy of a deeply nested answer overflowed the stack.
TEST(NestedReport, IsRejectedWithoutUseOfTheStack)
{
    EXPECT_FALSE(reportOf(R"({"tasks":[],"services":)" + nestedLists() + "}").ok());
    EXPECT_FALSE(reportOf(R"({"tasks":[{"task":"t","attempt":1,"epoch":1,"state":"running","usage":)" + nestedLists() + "}]}").ok());
}
