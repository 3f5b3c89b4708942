#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"
#include "protocol/jobs.pb.h"
#include "utils/clock.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

//! \brief Kinds of messages between daemons.
enum class peer_message_kind {
    Call,
    Reply,
    Hello,
    Orders,
    RunReplies,
    Rules,
    LeaderNotice,
    FollowerNotice,
};

inline constexpr std::size_t peerMessageKindCount = 8;

constexpr absl::string_view toString(peer_message_kind kind)
{
    constexpr absl::string_view names[peerMessageKindCount] { "call", "reply", "hello", "orders", "run_replies", "rules", "leader_notice", "follower_notice" };
    return names[static_cast<std::size_t>(kind)];
}

//! \brief Kind of a message; nullopt if it has no content.
std::optional<peer_message_kind> kindOf(const protocol::CoordinatorEnvelope& envelope);

//! Sent since the last report.
struct peer_traffic {
    std::array<std::uint64_t, peerMessageKindCount> bytes {};
    std::uint64_t messages = 0;
    //! Messages that were not sent because too many waited for the same daemon.
    std::uint64_t dropped = 0;

    auto operator<=>(const peer_traffic&) const = default;
};

//! \brief Counts the bytes of the messages to other daemons and logs at most once a second what was sent.
class peer_traffic_report {
public:
    explicit peer_traffic_report(utils::metric_registry& registry);

    void recordMessage(peer_message_kind kind, std::uint64_t bytes, bool isSent);
    //! \brief Must be called regularly. Returns what was logged, or zeros.
    peer_traffic recordTick(utils::time_point now);

private:
    utils::reason_counters<peer_message_kind, peerMessageKindCount> m_bytes;
    peer_traffic m_sinceReport;
    utils::time_point m_nextReportAt;
};

} // namespace camphorsaddle::tasks
