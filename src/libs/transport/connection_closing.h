#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "transport/caller_limits.h"

namespace camphorsaddle::transport {

enum class connection_stage {
    //! Nothing has arrived on the connection.
    Unused,
    //! The last response has been sent and nothing has arrived since.
    Idle,
    ReceivingHeaders,
    ReceivingBody,
    //! The whole request has been passed on; it may have taken effect.
    Handled,
    SendingResponse,
};

//! \brief Why a request was refused or the connection of a caller was closed.
enum class closing_reason {
    BodySize,
    Memory,
    Connections,
    ConnectionsOfAddress,
    HeaderTime,
    RequestTime,
    ResponseTime,
};

inline constexpr std::size_t closingReasonCount = 7;

constexpr absl::string_view toString(closing_reason reason)
{
    constexpr absl::string_view names[closingReasonCount] { "body_size", "memory", "connections", "connections_of_address", "header_time", "request_time", "response_time" };
    return names[static_cast<std::size_t>(reason)];
}

struct connection_state {
    std::uint64_t id = 0;
    //! Address of the caller without its port.
    std::string address;
    connection_stage stage = connection_stage::Unused;
    //! Start of the present request, response or idle time.
    utils::time_point since;
    std::uint64_t heldBytes = 0;

    auto operator<=>(const connection_state&) const = default;
};

struct connection_closing {
    std::uint64_t id = 0;
    closing_reason reason = closing_reason::Memory;

    auto operator<=>(const connection_closing&) const = default;
};

//! \brief Connections to close so that requests and responses fit into the memory limit.
//!
//! The oldest unfinished requests are first, then the oldest responses that are not read. Requests that are handled are never chosen.
std::vector<connection_closing> chooseForMemory(const caller_limits& limits, const std::vector<connection_state>& connections);

//! \brief Connection to close after \a newest was opened, none if the number of connections is within the limits.
//!
//! The oldest connection with an unfinished request or response, or without any request yet, is first, then the one that is idle for
//! the longest time. If all others are handled, \a newest itself is chosen.
std::optional<connection_closing> chooseForNewConnection(const caller_limits& limits, const std::vector<connection_state>& connections, std::uint64_t newest);

//! \brief Connections whose request has not arrived, or whose response has not been read, in time.
std::vector<connection_closing> chooseLate(const caller_limits& limits, const std::vector<connection_state>& connections, utils::time_point now);

} // namespace camphorsaddle::transport
