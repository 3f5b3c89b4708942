#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
    //! After this time the call ends, and a request that hasn't left yet isn't sent.
    utils::milliseconds timeout { 5000 };
    utils::milliseconds connectTimeout { 1000 };
    //! If set, a response that keeps arriving is read to its end. When the timeout passes after some of the body has come, the call gets this time more, and
    //! again as long as it brings a further part, up to \a maximumDuration. A response that stops ends the call after once to twice this time.
    std::optional<utils::milliseconds> idleTimeout;
    utils::milliseconds maximumDuration { 30'000 };
    //! Whether to open a new connection. libcurl repeats a request by itself if it fails on a reused connection.
    bool requiresNewConnection = false;
    //! Whether the request must never be sent again after a byte of it was sent. Connections are reused all the same; a call whose
    //! connection breaks before the response ends with an error that says it may have been sent.
    bool isSentAtMostOnce = false;
    //! Whether to close the connection after the call instead of keeping it for later calls.
    bool closesConnection = false;
    //! Maximum size of the response body in bytes; larger responses fail.
    std::size_t responseLimit = 16 << 20;
};

struct http_result {
    //! An error with step and peer if no complete response arrived.
    absl::Status status;
    http_response response;
    //! Whether any byte of the request may have been sent.
    bool mayHaveBeenSent = false;
    bool isConnectionReused = false;
};

using http_callback = std::function<void(http_result)>;
using http_call_id = std::uint64_t;

//! \brief HTTP client on an event loop (libcurl's multi interface).
class http_client {
public:
    //! \brief Creates a client; \a connectionsPerHost limits the parallel connections to one host, 0 means no limit.
    //!
    //! Returns null when libcurl cannot be initialized.
    static std::unique_ptr<http_client> create(event_loop& loop, long connectionsPerHost = 0);

    virtual ~http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    virtual http_call_id start(http_call call, http_callback callback) = 0;

    //! \brief Aborts the call without running its callback; its connection is closed.
    virtual void cancel(http_call_id id) = 0;

    //! \brief Sets the idle time after which a connection is not reused. Applies to calls started later.
    virtual void setMaximumIdleTime(utils::seconds age) = 0;
    //! \brief Sets the time since its opening after which a connection is not reused. Applies to calls started later.
    virtual void setMaximumConnectionAge(utils::seconds age) = 0;

protected:
    http_client() = default;
};

} // namespace camphorsaddle::transport
