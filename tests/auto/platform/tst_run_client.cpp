#include <gtest/gtest.h>

#include <optional>

#include "platform/run_client.h"

using namespace camphorsaddle;
using namespace camphorsaddle::platform;
using external::order_outcome;

namespace {

//! HTTP client that answers each call at once with the same response.
class canned_client final : public transport::http_client {
public:
    canned_client(int status, std::string body)
        : m_response { status, {}, std::move(body) }
    {
    }

    transport::http_call_id start(transport::http_call, transport::http_callback callback) override
    {
        callback({ absl::OkStatus(), m_response, true, false });
        return 1;
    }
    void cancel(transport::http_call_id) override { }
    void setMaximumIdleTime(utils::seconds) override { }
    void setMaximumConnectionAge(utils::seconds) override { }

private:
    transport::http_response m_response;
};

const external::worker_address worker { "i-1", "10.0.0.1:80" };
const external::run_id run { { "0123456789abcdef", 0, 0, 1 }, 1 };

struct reply_case {
    const char* name;
    int status;
    const char* body;
    order_outcome outcome;
    external::worker_time clock;
};

class order_reply_body : public testing::TestWithParam<reply_case> {
};

} // namespace

// A reply that can't be read must neither end the process nor claim that the order has not taken effect.
INSTANTIATE_TEST_SUITE_P(Replies, order_reply_body,
    testing::Values(reply_case { "accepted", 200, R"({"ClockMs":7})", order_outcome::Accepted, 7 },
        reply_case { "acceptedWithoutClock", 200, "{}", order_outcome::Accepted, 0 },
        reply_case { "acceptedNotJson", 200, "\xff{", order_outcome::Accepted, 0 },
        reply_case { "acceptedClockIsText", 200, R"({"ClockMs":"7"})", order_outcome::Accepted, 0 },
        reply_case { "acceptedClockIsNegative", 200, R"({"ClockMs":-7})", order_outcome::Accepted, 0 },
        reply_case { "acceptedClockIsTooLarge", 200, R"({"ClockMs":18446744073709551615})", order_outcome::Accepted, 0 },
        reply_case { "acceptedClockIsNull", 200, R"({"ClockMs":null})", order_outcome::Accepted, 0 },
        reply_case { "fenced", 409, R"({"ClockMs":7,"Reason":"fence"})", order_outcome::Fenced, 7 },
        reply_case { "rejectedForUnknownReason", 409, R"({"ClockMs":7,"Reason":"mood"})", order_outcome::Malformed, 7 },
        reply_case { "rejectedReasonIsNumber", 409, R"({"ClockMs":7,"Reason":4})", order_outcome::NoAnswer, 7 },
        reply_case { "rejectedReasonIsMissing", 409, R"({"ClockMs":7})", order_outcome::NoAnswer, 7 },
        reply_case { "rejectedNotJson", 409, "gone", order_outcome::NoAnswer, 0 }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(order_reply_body, IsReadWithoutAssumptions)
{
    canned_client http(GetParam().status, GetParam().body);
    run_client client(http);
    std::optional<external::order_reply> reply;
    client.start(worker, { run, "payload", "", 100, 1 }, [&](const auto& received) { reply = received; });
    ASSERT_TRUE(reply);
    EXPECT_EQ(toString(reply->outcome), toString(GetParam().outcome));
    EXPECT_EQ(reply->clock, GetParam().clock);
}

namespace {

struct observation_case {
    const char* name;
    int status;
    const char* body;
    order_outcome outcome;
};

class observation_body : public testing::TestWithParam<observation_case> {
};

} // namespace

// A wrong number that is taken as it stands would acknowledge ends that nobody has seen or replace the incarnation of a
// worker, whose runs would then start elsewhere.
INSTANTIATE_TEST_SUITE_P(Bodies, observation_body,
    testing::Values(
        observation_case { "valid", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",40,12]],"Finished":[[1,"0123456789abcdef.0.0.2",1,"done",""]]})", order_outcome::Accepted },
        observation_case { "notJson", 200, "[", order_outcome::Malformed },
        observation_case { "listsAreMissing", 200, R"({"ClockMs":7,"born":3})", order_outcome::Malformed },
        observation_case { "clockIsText", 200, R"({"ClockMs":"7","born":3,"Running":[],"Finished":[]})", order_outcome::Malformed },
        observation_case { "bornIsNegative", 200, R"({"ClockMs":7,"born":-3,"Running":[],"Finished":[]})", order_outcome::Malformed },
        observation_case { "bornIsFraction", 200, R"({"ClockMs":7,"born":3.5,"Running":[],"Finished":[]})", order_outcome::Malformed },
        observation_case { "bornIsTooLarge", 200, R"({"ClockMs":7,"born":18446744073709551615,"Running":[],"Finished":[]})", order_outcome::Malformed },
        observation_case { "endNumberIsNegative", 200, R"({"ClockMs":7,"born":3,"Running":[],"Finished":[[-1,"0123456789abcdef.0.0.2",1,"done",""]]})", order_outcome::Malformed },
        observation_case { "runNumberIsNegative", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",-1,"",40,12]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "rowIsShort", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1"]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "rowIsObject", 200, R"({"ClockMs":7,"born":3,"Running":[{}],"Finished":[]})", order_outcome::Malformed },
        observation_case { "taskNameIsWrong", 200, R"({"ClockMs":7,"born":3,"Running":[["x",1,"",40,12]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "loadIsMissing", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",40]],"Finished":[]})", order_outcome::Accepted },
        observation_case { "loadIsNull", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",40,null]],"Finished":[]})", order_outcome::Accepted },
        observation_case { "loadHasFraction", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",40,12.5]],"Finished":[]})", order_outcome::Accepted },
        observation_case { "loadIsNegative", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",40,-1]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "loadIsTooLarge", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",40,1e30]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "loadIsText", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",40,"12"]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "percentIsNegative", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",-1,12]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "percentIsTooLarge", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",101,12]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "percentWrapsToHundred", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef.0.0.1",1,"",4294967396,12]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "clockIsBeyondCenturies", 200, R"({"ClockMs":9223372036854775807,"born":3,"Running":[],"Finished":[]})", order_outcome::Malformed },
        observation_case { "bornIsInTheFuture", 200, R"({"ClockMs":7,"born":9223372036854775807,"Running":[],"Finished":[]})", order_outcome::Malformed },
        observation_case { "runningIsObject", 200, R"({"ClockMs":7,"born":3,"Running":{"a":["0123456789abcdef.0.0.1",1,"",40,12]},"Finished":[]})", order_outcome::Malformed },
        observation_case { "taskNameHasSpaces", 200, R"({"ClockMs":7,"born":3,"Running":[["0123456789abcdef. 0.0.1",1,"",40,12]],"Finished":[]})", order_outcome::Malformed },
        observation_case { "rejectedReasonIsNumber", 409, R"({"Reason":4})", order_outcome::NoAnswer }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(observation_body, IsCheckedBeforeUse)
{
    canned_client http(GetParam().status, GetParam().body);
    run_client client(http);
    std::optional<external::observe_reply> reply;
    client.observe(worker, { 0, 1, 0, utils::milliseconds(0) }, [&](const auto& received) { reply = received; });
    ASSERT_TRUE(reply);
    EXPECT_EQ(toString(reply->outcome), toString(GetParam().outcome));
}

// A copy of a deeply nested reply overflowed the stack.
TEST(NestedReply, IsRejectedWithoutUseOfTheStack)
{
    constexpr std::size_t depth = 1'000'000;
    const std::string nested = "{\"ClockMs\":7,\"x\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
    canned_client http(200, nested);
    run_client client(http);
    std::optional<external::order_reply> reply;
    client.start(worker, { run, "payload", "", 100, 1 }, [&](const auto& received) { reply = received; });
    ASSERT_TRUE(reply);
    EXPECT_EQ(toString(reply->outcome), "accepted");
    EXPECT_EQ(reply->clock, 0);
    std::optional<external::observe_reply> observed;
    client.observe(worker, { 0, 1, 0, utils::milliseconds(0) }, [&](const auto& received) { observed = received; });
    ASSERT_TRUE(observed);
    EXPECT_EQ(toString(observed->outcome), "malformed");
}
