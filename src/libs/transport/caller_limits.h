#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "utils/clock.h"

namespace camphorsaddle::transport {

//! Memory that libmicrohttpd may use for the headers of a connection. It holds the largest permitted headers (16 KiB) and their index.
inline constexpr std::size_t connectionMemory = 32 << 10;

//! \brief Memory and descriptors of the machine that a process runs on.
struct host_resources {
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;

    auto operator<=>(const host_resources&) const = default;
};

//! \brief Limits of what all callers of a process together may use.
struct caller_limits {
    //! Bytes of unfinished and unanswered requests and of responses that have not been sent.
    std::uint64_t memoryBytes = 0;
    std::size_t connections = 0;
    //! Connections from one address.
    std::size_t connectionsPerAddress = 0;
    //! Time from the first byte of a request to the end of its headers.
    utils::milliseconds headerTime { 6'000 };
    //! Time from the first byte of a request to its last one, and for the caller to read the response.
    utils::milliseconds requestTime { 60'000 };

    auto operator<=>(const caller_limits&) const = default;
};

//! \brief Limits that leave enough memory and descriptors for the other work of the process.
caller_limits deriveCallerLimits(const host_resources& resources);

//! \brief Connections from one address out of \a connections in all.
std::size_t deriveConnectionsPerAddress(std::size_t connections);

//! \brief Memory of this machine and the number of descriptors that this process may open.
host_resources readHostResources();

} // namespace camphorsaddle::transport
