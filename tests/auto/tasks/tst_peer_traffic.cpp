#include <gtest/gtest.h>

#include "tasks/coordinator/peer_traffic_report.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;

namespace {

constexpr std::uint64_t largeMessage = 100'000;
constexpr std::uint64_t smallMessage = 100;

utils::time_point at(int time)
{
    return utils::time_point() + std::chrono::hours(1) + utils::milliseconds(time);
}

struct traffic_case {
    const char* name;
    std::uint64_t bytes;
    bool isSent;
    bool isReported;
};

class peer_traffic_of : public testing::TestWithParam<traffic_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Messages, peer_traffic_of,
    testing::Values(traffic_case { "aLargeMessage", largeMessage, true, true }, traffic_case { "aSmallMessage", smallMessage, true, false }, traffic_case { "aDroppedMessage", smallMessage, false, true }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(peer_traffic_of, IsReportedOnceASecond)
{
    const auto& parameters = GetParam();
    utils::metric_registry registry;
    peer_traffic_report report(registry);
    EXPECT_EQ(report.recordTick(at(0)), peer_traffic());
    report.recordMessage(peer_message_kind::Orders, parameters.bytes, parameters.isSent);
    EXPECT_EQ(report.recordTick(at(950)), peer_traffic());
    const auto reported = report.recordTick(at(1000));
    EXPECT_EQ(reported != peer_traffic(), parameters.isReported);
    const auto sentBytes = parameters.isReported && parameters.isSent ? parameters.bytes : 0;
    EXPECT_EQ(reported.bytes[static_cast<std::size_t>(peer_message_kind::Orders)], sentBytes);
    EXPECT_EQ(reported.dropped, parameters.isSent ? 0u : 1u);
    EXPECT_EQ(report.recordTick(at(2000)), peer_traffic());
}

TEST(PeerTraffic, KindIsThatOfTheContent)
{
    protocol::CoordinatorEnvelope envelope;
    EXPECT_FALSE(kindOf(envelope));
    envelope.mutable_run_replies();
    EXPECT_EQ(kindOf(envelope), peer_message_kind::RunReplies);
    envelope.mutable_orders();
    EXPECT_EQ(kindOf(envelope), peer_message_kind::Orders);
}
