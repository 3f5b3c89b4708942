#include "tasks/coordinator/peer_traffic_report.h"

#include <numeric>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds reportInterval { 1000 };
    // Less is left to the counters.
    constexpr std::uint64_t minimumReportedBytes = 64 * 1024;

    //! "kind:bytes" for each kind that was sent, separated by commas.
    std::string describeBytes(const peer_traffic& sent)
    {
        std::string result;
        for (std::size_t index = 0; index < sent.bytes.size(); ++index) {
            if (sent.bytes[index] > 0)
                absl::StrAppend(&result, result.empty() ? "" : ",", toString(static_cast<peer_message_kind>(index)), ":", sent.bytes[index]);
        }
        return result;
    }

} // namespace

std::optional<peer_message_kind> kindOf(const protocol::CoordinatorEnvelope& envelope)
{
    switch (envelope.content_case()) {
    case protocol::CoordinatorEnvelope::kCall:
        return peer_message_kind::Call;
    case protocol::CoordinatorEnvelope::kReply:
        return peer_message_kind::Reply;
    case protocol::CoordinatorEnvelope::kHello:
        return peer_message_kind::Hello;
    case protocol::CoordinatorEnvelope::kOrders:
        return peer_message_kind::Orders;
    case protocol::CoordinatorEnvelope::kRunReplies:
        return peer_message_kind::RunReplies;
    case protocol::CoordinatorEnvelope::kRules:
        return peer_message_kind::Rules;
    case protocol::CoordinatorEnvelope::kLeaderNotice:
        return peer_message_kind::LeaderNotice;
    case protocol::CoordinatorEnvelope::kFollowerNotice:
        return peer_message_kind::FollowerNotice;
    case protocol::CoordinatorEnvelope::CONTENT_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

peer_traffic_report::peer_traffic_report(utils::metric_registry& registry)
    : m_bytes(registry, "camphorsaddle_peer_bytes_total")
{
}

void peer_traffic_report::recordMessage(peer_message_kind kind, std::uint64_t bytes, bool isSent)
{
    if (!isSent) {
        ++m_sinceReport.dropped;
        return;
    }
    m_bytes.count(kind, bytes);
    m_sinceReport.bytes[static_cast<std::size_t>(kind)] += bytes;
    ++m_sinceReport.messages;
}

peer_traffic peer_traffic_report::recordTick(utils::time_point now)
{
    if (now < m_nextReportAt)
        return {};
    m_nextReportAt = now + reportInterval;
    const auto sent = std::exchange(m_sinceReport, {});
    if (sent.dropped == 0 && std::accumulate(sent.bytes.begin(), sent.bytes.end(), std::uint64_t(0)) < minimumReportedBytes)
        return {};
    utils::logEvent(utils::events::peerTraffic, { { "bytes", describeBytes(sent) }, { "messages", std::to_string(sent.messages) }, { "dropped", std::to_string(sent.dropped) } });
    return sent;
}

} // namespace camphorsaddle::tasks
