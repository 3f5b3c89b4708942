#include "transport/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <unordered_set>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::transport {

class microhttpd_server;

//! One request between its first header and the end of its answer.
class http_exchange {
public:
    ~http_exchange() = default;

    microhttpd_server* server = nullptr;
    //! Null once the connection has ended.
    MHD_Connection* connection = nullptr;
    http_request request;
    http_response response;
    bool isTooLarge = false;
    bool isDispatched = false;
    bool isSuspended = false;
    bool isAnswered = false;
    bool isCallerGone = false;
};

class microhttpd_server : public http_server {
public:
    microhttpd_server(event_loop& loop, const http_server_options& options, handler handle);
    ~microhttpd_server() override;

    absl::Status start();
    std::uint16_t port() const override;
    void stopAccepting() override;
    void answer(http_exchange& exchange, http_response response);

private:
    static MHD_Result onAccess(void* self, MHD_Connection* connection, const char* url, const char* method, const char* version,
        const char* upload, std::size_t* uploadSize, void** exchange);
    static void onCompleted(void* self, MHD_Connection* connection, void** exchange, MHD_RequestTerminationCode code);
    static std::size_t keepEscapes(void* self, MHD_Connection* connection, char* text);

    MHD_Result begin(MHD_Connection* connection, const char* url, const char* method, void** holder);
    MHD_Result proceed(const std::shared_ptr<http_exchange>& exchange, const char* upload, std::size_t* uploadSize);
    MHD_Result queue(http_exchange& exchange);
    void turn();
    void findGoneCallers();

    http_server_options m_options;
    handler m_handler;
    io_watcher m_watcher;
    timer m_timeout;
    timer m_presence;
    MHD_Daemon* m_daemon = nullptr;
    std::uint16_t m_port = 0;
    bool m_hasResumed = false;
    std::unordered_set<http_exchange*> m_exchanges;
};

namespace {

    // One system call an interval, whatever the number of suspended connections.
    constexpr utils::milliseconds presenceInterval { 250 };

    using exchange_holder = std::shared_ptr<http_exchange>;

    MHD_Result collectHeader(void* target, MHD_ValueKind, const char* key, const char* value)
    {
        auto& headers = *static_cast<http_headers*>(target);
        headers[absl::AsciiStrToLower(key)] = value == nullptr ? "" : value;
        return MHD_YES;
    }

    MHD_Result collectParameter(void* target, MHD_ValueKind, const char* key, const char* value)
    {
        auto& query = *static_cast<http_headers*>(target);
        query[percentDecode(key)] = value == nullptr ? std::string() : percentDecode(value);
        return MHD_YES;
    }

    std::string peerName(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        if (info == nullptr || info->client_addr->sa_family != AF_INET)
            return "unknown";
        const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
        return absl::StrCat(text, ":", ntohs(address->sin_port));
    }

} // namespace

microhttpd_server::microhttpd_server(event_loop& loop, const http_server_options& options, handler handle)
    : m_options(options)
    , m_handler(std::move(handle))
    , m_watcher(loop, [this](int) { turn(); })
    , m_timeout(loop, [this] { turn(); })
    , m_presence(loop, [this] { findGoneCallers(); })
{
}

microhttpd_server::~microhttpd_server()
{
    if (m_daemon == nullptr)
        return;
    // The library forbids to stop while connections are suspended.
    for (auto* exchange : m_exchanges) {
        if (!exchange->isAnswered)
            answer(*exchange, { 503, {}, "the server stops\n" });
    }
    MHD_run(m_daemon);
    m_watcher.stop();
    m_timeout.stop();
    MHD_stop_daemon(m_daemon);
}

absl::Status microhttpd_server::start()
{
    const std::string name = absl::StrCat(m_options.address, ":", m_options.port);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    if (inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr) != 1)
        return utils::makeError(absl::StatusCode::kInvalidArgument, "listen", name, "not an IPv4 address");

    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, m_options.port, nullptr, nullptr,
        &microhttpd_server::onAccess, this,
        MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, m_options.connectionLimit,
        MHD_OPTION_CONNECTION_TIMEOUT, m_options.idleTimeout,
        MHD_OPTION_NOTIFY_COMPLETED, &microhttpd_server::onCompleted, this,
        MHD_OPTION_UNESCAPE_CALLBACK, &microhttpd_server::keepEscapes, this,
        MHD_OPTION_END);
    if (m_daemon == nullptr)
        return utils::makeError(absl::StatusCode::kUnavailable, "listen", name, absl::StrCat("cannot bind: ", std::strerror(errno)));

    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    m_watcher.start(MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, EV_READ);
    return absl::OkStatus();
}

std::uint16_t microhttpd_server::port() const
{
    return m_port;
}

void microhttpd_server::stopAccepting()
{
    const MHD_socket listener = MHD_quiesce_daemon(m_daemon);
    if (listener != MHD_INVALID_SOCKET)
        close(listener);
}

void microhttpd_server::turn()
{
    m_hasResumed = false;
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG delay = 0;
    if (m_hasResumed)
        m_timeout.startOnce(utils::milliseconds(0));
    else if (MHD_get_timeout(m_daemon, &delay) == MHD_YES)
        m_timeout.startOnce(utils::milliseconds(delay));
    else
        m_timeout.stop();
}

std::size_t microhttpd_server::keepEscapes(void*, MHD_Connection*, char* text)
{
    return std::strlen(text);
}

MHD_Result microhttpd_server::onAccess(void* self, MHD_Connection* connection, const char* url, const char* method, const char*,
    const char* upload, std::size_t* uploadSize, void** holder)
{
    auto* server = static_cast<microhttpd_server*>(self);
    if (*holder == nullptr)
        return server->begin(connection, url, method, holder);
    return server->proceed(*static_cast<exchange_holder*>(*holder), upload, uploadSize);
}

MHD_Result microhttpd_server::begin(MHD_Connection* connection, const char* url, const char* method, void** holder)
{
    auto exchange = std::make_shared<http_exchange>();
    exchange->server = this;
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->request.peer = peerName(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectParameter, &exchange->request.query);
    m_exchanges.insert(exchange.get());
    *holder = new exchange_holder(exchange);

    std::uint64_t announced = 0;
    const std::string length = exchange->request.header("content-length");
    if (!length.empty() && (!absl::SimpleAtoi(length, &announced) || announced > m_options.bodyLimit)) {
        exchange->isDispatched = true;
        exchange->isAnswered = true;
        exchange->response = { 413, { { "connection", "close" } }, absl::StrCat("the body is larger than ", m_options.bodyLimit, " bytes\n") };
        return queue(*exchange);
    }
    return MHD_YES;
}

MHD_Result microhttpd_server::proceed(const std::shared_ptr<http_exchange>& exchange, const char* upload, std::size_t* uploadSize)
{
    if (*uploadSize > 0) {
        if (exchange->request.body.size() + *uploadSize > m_options.bodyLimit)
            exchange->isTooLarge = true;
        else
            exchange->request.body.append(upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    if (!exchange->isDispatched) {
        exchange->isDispatched = true;
        if (exchange->isTooLarge)
            answer(*exchange, { 413, {}, absl::StrCat("the body is larger than ", m_options.bodyLimit, " bytes\n") });
        else
            m_handler(std::move(exchange->request), http_responder(exchange));
    }
    if (exchange->isAnswered)
        return queue(*exchange);
    exchange->isSuspended = true;
    MHD_suspend_connection(exchange->connection);
    if (!m_presence.isActive())
        m_presence.startRepeating(presenceInterval);
    return MHD_YES;
}

// The library does not read from a suspended connection, so that it does not learn of its end.
void microhttpd_server::findGoneCallers()
{
    std::vector<http_exchange*> suspended;
    std::vector<pollfd> descriptors;
    for (auto* exchange : m_exchanges) {
        if (!exchange->isSuspended)
            continue;
        suspended.push_back(exchange);
        descriptors.push_back({ MHD_get_connection_info(exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd, POLLRDHUP, 0 });
    }
    if (suspended.empty()) {
        m_presence.stop();
        return;
    }
    poll(descriptors.data(), descriptors.size(), 0);
    for (std::size_t index = 0; index < suspended.size(); ++index)
        suspended[index]->isCallerGone = (descriptors[index].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

MHD_Result microhttpd_server::queue(http_exchange& exchange)
{
    auto& body = exchange.response.body;
    auto* response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : exchange.response.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    const auto result = MHD_queue_response(exchange.connection, static_cast<unsigned>(exchange.response.status), response);
    MHD_destroy_response(response);
    return result;
}

void microhttpd_server::answer(http_exchange& exchange, http_response response)
{
    if (exchange.isAnswered || exchange.connection == nullptr)
        return;
    exchange.isAnswered = true;
    exchange.response = std::move(response);
    if (!exchange.isSuspended)
        return;
    exchange.isSuspended = false;
    MHD_resume_connection(exchange.connection);
    // With external polling the library does not wake the loop itself.
    m_hasResumed = true;
    m_timeout.startOnce(utils::milliseconds(0));
}

void microhttpd_server::onCompleted(void* self, MHD_Connection*, void** holder, MHD_RequestTerminationCode)
{
    const std::unique_ptr<exchange_holder> owned(static_cast<exchange_holder*>(*holder));
    *holder = nullptr;
    if (owned == nullptr)
        return;
    (*owned)->connection = nullptr;
    static_cast<microhttpd_server*>(self)->m_exchanges.erase(owned->get());
}

namespace {

    //! Answers 500 when the last responder of a request goes without an answer.
    struct responder_guard {
        explicit responder_guard(std::shared_ptr<http_exchange> guarded)
            : exchange(std::move(guarded))
        {
        }

        ~responder_guard()
        {
            if (exchange->connection != nullptr && !exchange->isAnswered)
                exchange->server->answer(*exchange, { 500, {}, "the request was dropped\n" });
        }

        responder_guard(const responder_guard&) = delete;
        responder_guard& operator=(const responder_guard&) = delete;

        std::shared_ptr<http_exchange> exchange;
    };

} // namespace

http_responder::http_responder(std::shared_ptr<http_exchange> exchange)
{
    auto guard = std::make_shared<responder_guard>(std::move(exchange));
    auto* target = guard->exchange.get();
    m_exchange = std::shared_ptr<http_exchange>(std::move(guard), target);
}

void http_responder::respond(http_response response) const
{
    if (m_exchange->connection != nullptr)
        m_exchange->server->answer(*m_exchange, std::move(response));
}

bool http_responder::hasCallerDisconnected() const
{
    return m_exchange->connection == nullptr || m_exchange->isCallerGone;
}

absl::StatusOr<std::unique_ptr<http_server>> http_server::listen(event_loop& loop, const http_server_options& options, handler handle)
{
    auto server = std::make_unique<microhttpd_server>(loop, options, std::move(handle));
    if (auto status = server->start(); !status.ok())
        return status;
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace camphorsaddle::transport
