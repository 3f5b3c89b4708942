#include <gtest/gtest.h>

#include <functional>
#include <limits>

#include "tasks/coordinator/call_codec.h"
#include "tasks/coordinator/rules_codec.h"
#include "tasks/coordinator/run_codec.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;

namespace {

constexpr auto largest = std::numeric_limits<std::int64_t>::max();
constexpr auto lowest = std::numeric_limits<std::int64_t>::min();

job_call goodCall()
{
    job_call call;
    call.ticket = 1;
    call.kind = call_kind::Submit;
    call.subject = "job";
    call.timeout = utils::milliseconds(400);
    call.job.id = "job";
    call.job.steps.resize(1);
    call.job.steps[0].count = 1;
    return call;
}

template <typename Message>
struct odd_message {
    const char* name;
    std::function<void(Message&)> change;
};

class odd_call : public testing::TestWithParam<odd_message<protocol::CoordinatorCall>> {
};
class odd_report : public testing::TestWithParam<odd_message<protocol::RunReply>> {
};
class odd_rules : public testing::TestWithParam<odd_message<protocol::RulesUpdate>> {
};

const auto nameOf = [](const auto& info) {
    return std::string(info.param.name);
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Calls, odd_call,
    testing::Values(odd_message<protocol::CoordinatorCall> { "unknownKind", [](auto& call) {
                                                                call.set_kind(static_cast<protocol::CoordinatorCall::Kind>(4));
                                                            } },
        odd_message<protocol::CoordinatorCall> { "negativeKind", [](auto& call) {
                                                    call.set_kind(static_cast<protocol::CoordinatorCall::Kind>(-1));
                                                } },
        odd_message<protocol::CoordinatorCall> { "longestPatience", [](auto& call) {
                                                    call.set_patience_ms(largest);
                                                } },
        odd_message<protocol::CoordinatorCall> { "negativePatience", [](auto& call) {
                                                    call.set_patience_ms(lowest);
                                                } },
        odd_message<protocol::CoordinatorCall> { "billionsOfTasks", [](auto& call) {
                                                    call.mutable_job()->mutable_steps(0)->set_count(4'294'967'295);
                                                } },
        odd_message<protocol::CoordinatorCall> { "dependsOnNoStep", [](auto& call) {
                                                    call.mutable_job()->mutable_steps(0)->add_after(7);
                                                } },
        odd_message<protocol::CoordinatorCall> { "noJob", [](auto& call) {
                                                    call.clear_job();
                                                } }),
    nameOf);

TEST_P(odd_call, IsRejected)
{
    auto envelope = encodeCall(goodCall(), "tcp://10.0.0.1:80");
    ASSERT_TRUE(decodeCall(envelope.call()).ok());
    GetParam().change(*envelope.mutable_call());
    EXPECT_FALSE(decodeCall(envelope.call()).ok());
}

INSTANTIATE_TEST_SUITE_P(Reports, odd_report,
    testing::Values(odd_message<protocol::RunReply> { "largestClock", [](auto& reply) {
                                                         reply.set_clock(largest);
                                                     } },
        odd_message<protocol::RunReply> { "negativeClock", [](auto& reply) {
                                             reply.set_clock(-1);
                                         } },
        odd_message<protocol::RunReply> { "largestIncarnation", [](auto& reply) {
                                             reply.set_life(largest);
                                         } },
        odd_message<protocol::RunReply> { "negativeIncarnation", [](auto& reply) {
                                             reply.set_life(lowest);
                                         } },
        odd_message<protocol::RunReply> { "percentAboveHundred", [](auto& reply) {
                                             reply.mutable_running(0)->set_percent(101);
                                         } },
        odd_message<protocol::RunReply> { "negativePercent", [](auto& reply) {
                                             reply.mutable_running(0)->set_percent(-1);
                                         } },
        odd_message<protocol::RunReply> { "largestLoad", [](auto& reply) {
                                             reply.mutable_running(0)->set_load(largest);
                                         } },
        odd_message<protocol::RunReply> { "negativeLoad", [](auto& reply) {
                                             reply.mutable_running(0)->set_load(-1);
                                         } },
        odd_message<protocol::RunReply> { "paceAboveHundred", [](auto& reply) {
                                             reply.mutable_running(0)->set_pace(101);
                                         } },
        odd_message<protocol::RunReply> { "negativePace", [](auto& reply) {
                                             reply.mutable_running(0)->set_pace(-1);
                                         } }),
    nameOf);

struct odd_target_case {
    const char* name;
    std::int64_t targetMilliseconds;
    std::int64_t readMilliseconds;
};

class odd_target : public testing::TestWithParam<odd_target_case> {
};

INSTANTIATE_TEST_SUITE_P(Targets, odd_target,
    testing::Values(odd_target_case { "sound", 150, 150 }, odd_target_case { "largest", largest, 0 }, odd_target_case { "negative", -1, 0 }),
    nameOf);

TEST_P(odd_target, OutOfBoundsCountsAsNone)
{
    protocol::RunTraits traits;
    traits.set_target_ms(GetParam().targetMilliseconds);
    traits.set_best_effort(true);
    EXPECT_EQ(readTraits(traits), (external::run_traits { utils::milliseconds(GetParam().readMilliseconds), true }));
}

TEST_P(odd_report, IsMalformed)
{
    external::observe_reply report { external::order_outcome::Accepted, { 7, 3, { { { { "job", 0, 0, 1 }, 1 }, "", 40, 12 } }, {} } };
    protocol::RunReply message;
    writeReply(report, message);
    ASSERT_EQ(toString(readObserveReply(message).outcome), "accepted");
    GetParam().change(message);
    const auto read = readObserveReply(message);
    EXPECT_EQ(toString(read.outcome), "malformed");
    EXPECT_TRUE(read.workerState.running.empty());
    // The outcome of an order holds without its clock.
    const auto order = readOrderReply(message);
    EXPECT_EQ(toString(order.outcome), "accepted");
    EXPECT_TRUE(order.clock == 0 || order.clock == 7);
}

INSTANTIATE_TEST_SUITE_P(Rules, odd_rules,
    testing::Values(odd_message<protocol::RulesUpdate> { "largestAge", [](auto& update) {
                                                            update.set_age_ms(largest);
                                                        } },
        odd_message<protocol::RulesUpdate> { "negativeAge", [](auto& update) {
                                                update.set_age_ms(lowest);
                                            } },
        odd_message<protocol::RulesUpdate> { "largestHello", [](auto& update) {
                                                update.set_hello_us(largest);
                                            } },
        odd_message<protocol::RulesUpdate> { "largestBody", [](auto& update) {
                                                update.set_body_limit(std::numeric_limits<std::uint64_t>::max());
                                            } },
        odd_message<protocol::RulesUpdate> { "largestTimeout", [](auto& update) {
                                                update.mutable_changed(0)->set_timeout_ms(largest);
                                            } },
        odd_message<protocol::RulesUpdate> { "negativeTarget", [](auto& update) {
                                                update.mutable_changed(0)->set_target_latency_ms(-1);
                                            } },
        odd_message<protocol::RulesUpdate> { "slackIsNoNumber", [](auto& update) {
                                                update.mutable_changed(0)->set_slack_factor(std::numeric_limits<double>::quiet_NaN());
                                            } },
        odd_message<protocol::RulesUpdate> { "largestSlack", [](auto& update) {
                                                update.mutable_changed(0)->set_slack_factor(1e300);
                                            } }),
    nameOf);

TEST_P(odd_rules, AreRejected)
{
    protocol::RulesUpdate update;
    writeRulesChange({ 1, 2, 3, 1 << 18, { { "q", "h", "/p", "s", 0, 3, 1.5, utils::milliseconds(400), utils::milliseconds(0), false, false } }, {} }, update);
    ASSERT_TRUE(checkRulesUpdate(update).ok());
    GetParam().change(update);
    EXPECT_FALSE(checkRulesUpdate(update).ok());
}

TEST(OddReply, StatesABoundedDelay)
{
    protocol::CoordinatorReply reply;
    reply.set_retry_after_ms(largest);
    EXPECT_EQ(decodeReply(reply).retryAfter, utils::milliseconds(86'400'000));
    reply.set_retry_after_ms(lowest);
    EXPECT_EQ(decodeReply(reply).retryAfter, utils::milliseconds(0));
}
