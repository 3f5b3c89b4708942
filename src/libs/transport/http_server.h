#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"
#include "transport/request_memory_tracker.h"

namespace camphorsaddle::transport {

struct http_server_options {
    std::string address = "127.0.0.1";
    //! 0 selects any free port.
    std::uint16_t port = 0;
    //! Maximum size of a request body in bytes.
    std::size_t bodyLimit = 1 << 20;
    //! Maximum number of connections if there is no tracker.
    unsigned connectionLimit = 4096;
    //! Idle time in seconds after which a connection is closed.
    unsigned idleTimeout = 30;
    //! Account that the server shares with the others of the process; without it, the server has one of its own.
    std::shared_ptr<request_memory_tracker> tracker;
};

class http_exchange;

//! \brief Sends the response to one request.
//!
//! May be stored and used later on the thread of the event loop; only the first response is sent. If the last copy is destroyed
//! before respond() was called, the caller gets status 500.
class http_responder {
public:
    explicit http_responder(std::shared_ptr<http_exchange> exchange);

    void respond(http_response response) const;

    //! \brief Whether the caller has closed its connection; detected within 250 ms while the response is pending.
    bool hasCallerDisconnected() const;

private:
    std::shared_ptr<http_exchange> m_exchange;
};

//! \brief HTTP server on an event loop (libmicrohttpd with external epoll).
class http_server {
public:
    using handler = std::function<void(http_request, http_responder)>;

    //! \brief Binds the address and calls \a onRequest for each request on the thread of the event loop.
    static absl::StatusOr<std::unique_ptr<http_server>> listen(event_loop& loop, const http_server_options& options, handler onRequest);

    virtual ~http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    virtual std::uint16_t port() const = 0;

    //! \brief Sets the maximum size of the bodies of requests that have not been passed on yet.
    virtual void setBodyLimit(std::size_t bytes) = 0;

    //! \brief Closes the listening socket; open connections are still served.
    virtual void stopAccepting() = 0;

protected:
    http_server() = default;
};

} // namespace camphorsaddle::transport
