#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

namespace camphorsaddle::transport {

struct http_server_options {
    std::string address = "127.0.0.1";
    //! 0 takes any free port.
    std::uint16_t port = 0;
    //! Largest accepted request body, bytes.
    std::size_t bodyLimit = 1 << 20;
    unsigned connectionLimit = 4096;
    //! Idle time after which a connection is closed, seconds.
    unsigned idleTimeout = 30;
};

class http_exchange;

//! \brief Answers one request. May be kept and used later on the loop's thread; the first answer counts.
//!
//! When the last copy goes without an answer the caller gets 500.
class http_responder {
public:
    explicit http_responder(std::shared_ptr<http_exchange> exchange);

    void respond(http_response response) const;

    //! \brief Whether the caller has closed its connection; noticed within 250 ms while the answer is awaited.
    bool hasCallerDisconnected() const;

private:
    std::shared_ptr<http_exchange> m_exchange;
};

//! \brief HTTP server on an event loop (libmicrohttpd with external epoll).
class http_server {
public:
    using handler = std::function<void(http_request, http_responder)>;

    static absl::StatusOr<std::unique_ptr<http_server>> listen(event_loop& loop, const http_server_options& options, handler handle);

    virtual ~http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    virtual std::uint16_t port() const = 0;

    //! \brief Closes the listening socket; open connections go on.
    virtual void stopAccepting() = 0;

protected:
    http_server() = default;
};

} // namespace camphorsaddle::transport
