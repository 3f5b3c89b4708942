#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

namespace camphorsaddle::transport {

struct http_call {
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    utils::milliseconds timeout { 5000 };
    utils::milliseconds connectTimeout { 1000 };
    //! Opens a new connection, so that the library can't send the request a second time on a stale one.
    bool requiresNewConnection = false;
    //! Forbids later calls to use this call's connection.
    bool closeAfter = false;
    //! Answers larger than this fail, bytes.
    std::size_t responseLimit = 16 << 20;
};

struct http_result {
    //! Not ok when no whole answer arrived; carries step and peer.
    absl::Status status;
    http_response response;
    //! Whether any byte of the request may have left this host.
    bool mayHaveBeenSent = false;
    bool connectionReused = false;
};

using http_callback = std::function<void(http_result)>;
using http_call_id = std::uint64_t;

//! \brief HTTP client on an event loop (libcurl's multi interface).
class http_client {
public:
    //! \a connectionsPerHost bounds parallel connections to one host; 0 leaves them unbounded.
    static std::unique_ptr<http_client> create(event_loop& loop, long connectionsPerHost = 0);

    virtual ~http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    virtual http_call_id start(http_call call, http_callback callback) = 0;

    //! \brief Ends the call without calling back; its connection is closed.
    virtual void cancel(http_call_id id) = 0;

    //! \brief Idle connections older than \a age are not used again. Applies to calls started later.
    virtual void setMaximumIdleTime(utils::seconds age) = 0;
    //! \brief Connections older than \a age since they were opened are not used again.
    virtual void setMaximumConnectionAge(utils::seconds age) = 0;

protected:
    http_client() = default;
};

} // namespace camphorsaddle::transport
