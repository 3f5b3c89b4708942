#include "transport/http_server.h"

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "transport/body_buffer.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::transport {

class microhttpd_server;
class http_exchange;

//! An open connection of a caller.
struct caller_connection {
    microhttpd_server* server = nullptr;
    //! Id in the request_memory_tracker.
    std::uint64_t id = 0;
    int descriptor = -1;
    connection_stage stage = connection_stage::Unused;
    //! Bytes that had arrived when the last response had been sent.
    std::uint64_t bytesBeforeRequest = 0;
    bool isClosing = false;
    //! Null between requests.
    http_exchange* exchange = nullptr;
};

//! State of one request, from its headers until its response has been sent.
class http_exchange {
public:
    ~http_exchange() = default;

    microhttpd_server* server = nullptr;
    //! Null after the connection has ended.
    MHD_Connection* connection = nullptr;
    caller_connection* caller = nullptr;
    http_request request;
    //! Empty after the request has been passed to the handler.
    body_buffer body;
    //! Bytes of the headers, which stay in memory until the response has been sent.
    std::size_t headerBytes = 0;
    http_response response;
    bool isDispatched = false;
    bool isSuspended = false;
    bool hasResponse = false;
    bool isDisconnected = false;
};

class microhttpd_server : public http_server {
public:
    microhttpd_server(event_loop& loop, const http_server_options& options, handler onRequest);
    ~microhttpd_server() override;

    absl::Status start();
    std::uint16_t port() const override;
    void setBodyLimit(std::size_t bytes) override;
    void stopAccepting() override;
    void sendResponse(http_exchange& exchange, http_response response);

private:
    static MHD_Result onAccess(void* self, MHD_Connection* connection, const char* url, const char* method, const char* version,
        const char* upload, std::size_t* uploadSize, void** exchange);
    static void onConnection(void* self, MHD_Connection* connection, void** caller, MHD_ConnectionNotificationCode code);
    static void onCompleted(void* self, MHD_Connection* connection, void** exchange, MHD_RequestTerminationCode code);
    static std::size_t keepPercentEncoding(void* self, MHD_Connection* connection, char* text);

    MHD_Result beginExchange(MHD_Connection* connection, const char* url, const char* method, void** holder);
    MHD_Result continueExchange(const std::shared_ptr<http_exchange>& exchange, const char* upload, std::size_t* uploadSize);
    MHD_Result queueResponse(http_exchange& exchange);
    void runDaemon();
    void detectDisconnectedCallers();
    void openConnection(MHD_Connection* connection, void** caller);
    void checkConnections();
    void updateHeaderBytes(caller_connection& caller);
    void closeChosenConnections();
    void closeConnection(caller_connection& caller, closing_reason reason);
    bool setStage(caller_connection& caller, connection_stage stage);
    void logClosings();
    std::string describeBodyLimit() const;

    event_loop& m_loop;
    http_server_options m_options;
    handler m_handler;
    io_watcher m_watcher;
    timer m_timeoutTimer;
    timer m_disconnectTimer;
    timer m_checkTimer;
    wake_watcher m_closingWatcher;
    utils::metric_registry m_ownMetrics;
    std::shared_ptr<request_memory_tracker> m_tracker;
    std::uint64_t m_trackedServer = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<caller_connection>> m_callers;
    MHD_Daemon* m_daemon = nullptr;
    std::uint16_t m_port = 0;
    bool m_mustRunAgain = false;
    std::unordered_set<http_exchange*> m_exchanges;
};

namespace {

    // A check takes one system call, however many connections are suspended.
    constexpr utils::milliseconds disconnectCheckInterval { 250 };

    // A check takes one system call for each connection without a complete request.
    constexpr utils::milliseconds connectionCheckInterval { 1000 };

    // libmicrohttpd accepts this many connections more than the limit, so that an old one can be closed in favour of a new one.
    constexpr unsigned connectionReserve = 64;

    // Memory of the index entry of a header, beside its text.
    constexpr std::size_t headerOverhead = 96;

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

    const sockaddr_in* peerAddress(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        if (info == nullptr || info->client_addr->sa_family != AF_INET)
            return nullptr;
        return reinterpret_cast<const sockaddr_in*>(info->client_addr);
    }

    std::string addressText(const sockaddr_in* address)
    {
        if (address == nullptr)
            return "unknown";
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
        return text;
    }

    std::string peerName(MHD_Connection* connection)
    {
        const auto* address = peerAddress(connection);
        return address == nullptr ? addressText(address) : absl::StrCat(addressText(address), ":", ntohs(address->sin_port));
    }

    caller_connection& callerOf(MHD_Connection* connection)
    {
        return *static_cast<caller_connection*>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
    }

    std::uint64_t receivedBytes(int descriptor)
    {
        tcp_info info {};
        socklen_t size = sizeof info;
        return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_bytes_received : 0;
    }

    std::size_t textBytes(const http_headers& texts)
    {
        std::size_t sum = 0;
        for (const auto& [name, value] : texts)
            sum += name.size() + value.size() + headerOverhead;
        return sum;
    }

    //! Status of the refusal of a request that has not arrived completely.
    http_response refusalOf(closing_reason reason, const std::string& bodyLimit)
    {
        switch (reason) {
        case closing_reason::BodySize:
            return { 413, {}, bodyLimit };
        case closing_reason::HeaderTime:
        case closing_reason::RequestTime:
            return { 408, {}, "the request did not arrive in time\n" };
        default:
            return { 503, { { "retry-after", "1" } }, "the server has too many unfinished requests\n" };
        }
    }

    std::string renderRefusal(const http_response& response)
    {
        const std::string phrase = MHD_get_reason_phrase_for(static_cast<unsigned>(response.status));
        std::string text = absl::StrCat("HTTP/1.1 ", response.status, " ", phrase, "\r\nconnection: close\r\ncontent-length: ", response.body.size(), "\r\n");
        for (const auto& [name, value] : response.headers)
            absl::StrAppend(&text, name, ": ", value, "\r\n");
        return absl::StrCat(text, "\r\n", response.body);
    }

    std::shared_ptr<request_memory_tracker> makeOwnTracker(const http_server_options& options, utils::metric_registry& metrics)
    {
        auto limits = deriveCallerLimits(readHostResources());
        limits.connections = options.connectionLimit;
        limits.connectionsPerAddress = options.connectionLimit;
        return std::make_shared<request_memory_tracker>(limits, metrics);
    }

} // namespace

microhttpd_server::microhttpd_server(event_loop& loop, const http_server_options& options, handler onRequest)
    : m_loop(loop)
    , m_options(options)
    , m_handler(std::move(onRequest))
    , m_watcher(loop, [this](int) { runDaemon(); })
    , m_timeoutTimer(loop, [this] { runDaemon(); })
    , m_disconnectTimer(loop, [this] { detectDisconnectedCallers(); })
    , m_checkTimer(loop, [this] { checkConnections(); })
    , m_closingWatcher(loop, [this] { closeChosenConnections(); })
    , m_tracker(options.tracker ? options.tracker : makeOwnTracker(options, m_ownMetrics))
    , m_trackedServer(m_tracker->addServer([this] { m_closingWatcher.wake(); }))
{
}

microhttpd_server::~microhttpd_server()
{
    m_tracker->removeServer(m_trackedServer);
    if (m_daemon == nullptr)
        return;
    // libmicrohttpd must not be stopped while connections are suspended.
    for (auto* exchange : m_exchanges) {
        if (!exchange->hasResponse)
            sendResponse(*exchange, { 503, {}, "the server is shutting down\n" });
    }
    MHD_run(m_daemon);
    m_watcher.stop();
    m_timeoutTimer.stop();
    m_checkTimer.stop();
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
        MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(m_tracker->limits().connections) + connectionReserve,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory,
        MHD_OPTION_NOTIFY_CONNECTION, &microhttpd_server::onConnection, this,
        MHD_OPTION_CONNECTION_TIMEOUT, m_options.idleTimeout,
        MHD_OPTION_NOTIFY_COMPLETED, &microhttpd_server::onCompleted, this,
        MHD_OPTION_UNESCAPE_CALLBACK, &microhttpd_server::keepPercentEncoding, this,
        MHD_OPTION_END);
    if (m_daemon == nullptr)
        return utils::makeError(absl::StatusCode::kUnavailable, "listen", name, absl::StrCat("cannot bind: ", std::strerror(errno)));

    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    m_watcher.start(MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, EV_READ);
    m_checkTimer.startRepeating(connectionCheckInterval);
    return absl::OkStatus();
}

std::uint16_t microhttpd_server::port() const
{
    return m_port;
}

void microhttpd_server::setBodyLimit(std::size_t bytes)
{
    m_options.bodyLimit = bytes;
}

void microhttpd_server::stopAccepting()
{
    const MHD_socket listener = MHD_quiesce_daemon(m_daemon);
    if (listener != MHD_INVALID_SOCKET)
        close(listener);
}

void microhttpd_server::runDaemon()
{
    m_mustRunAgain = false;
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG delay = 0;
    if (m_mustRunAgain)
        m_timeoutTimer.startOnce(utils::milliseconds(0));
    else if (MHD_get_timeout(m_daemon, &delay) == MHD_YES)
        m_timeoutTimer.startOnce(utils::milliseconds(delay));
    else
        m_timeoutTimer.stop();
}

std::size_t microhttpd_server::keepPercentEncoding(void*, MHD_Connection*, char* text)
{
    return std::strlen(text);
}

MHD_Result microhttpd_server::onAccess(void* self, MHD_Connection* connection, const char* url, const char* method, const char*,
    const char* upload, std::size_t* uploadSize, void** holder)
{
    auto* server = static_cast<microhttpd_server*>(self);
    if (*holder == nullptr)
        return server->beginExchange(connection, url, method, holder);
    return server->continueExchange(*static_cast<exchange_holder*>(*holder), upload, uploadSize);
}

MHD_Result microhttpd_server::beginExchange(MHD_Connection* connection, const char* url, const char* method, void** holder)
{
    auto exchange = std::make_shared<http_exchange>();
    exchange->server = this;
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->request.peer = peerName(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectParameter, &exchange->request.query);
    exchange->headerBytes = textBytes(exchange->request.headers) + textBytes(exchange->request.query) + exchange->request.path.size();
    auto& caller = callerOf(connection);
    exchange->caller = &caller;
    caller.exchange = exchange.get();
    m_exchanges.insert(exchange.get());
    *holder = new exchange_holder(exchange);
    if (!setStage(caller, connection_stage::ReceivingBody))
        return MHD_NO;
    m_tracker->setHeldBytes(caller.id, exchange->headerBytes);
    closeChosenConnections();
    if (caller.isClosing)
        return MHD_NO;

    std::uint64_t declaredLength = 0;
    const std::string length = exchange->request.header("content-length");
    if (!length.empty() && (!absl::SimpleAtoi(length, &declaredLength) || declaredLength > m_options.bodyLimit)) {
        exchange->isDispatched = true;
        exchange->hasResponse = true;
        exchange->response = { 413, { { "connection", "close" } }, describeBodyLimit() };
        m_tracker->countRefusal(closing_reason::BodySize);
        return queueResponse(*exchange);
    }
    return MHD_YES;
}

MHD_Result microhttpd_server::continueExchange(const std::shared_ptr<http_exchange>& exchange, const char* upload, std::size_t* uploadSize)
{
    auto& caller = *exchange->caller;
    if (caller.isClosing)
        return MHD_NO;
    if (*uploadSize > 0) {
        auto& body = exchange->body;
        if (body.size() + *uploadSize > m_options.bodyLimit) {
            m_tracker->countClosing(caller.id, closing_reason::BodySize);
            closeConnection(caller, closing_reason::BodySize);
            return MHD_NO;
        }
        body.append({ upload, *uploadSize });
        *uploadSize = 0;
        m_tracker->setHeldBytes(caller.id, exchange->headerBytes + body.heldBytes());
        closeChosenConnections();
        return caller.isClosing ? MHD_NO : MHD_YES;
    }
    if (!exchange->isDispatched) {
        // Another server may have chosen the connection: a request that is refused must not be handled.
        if (!setStage(caller, connection_stage::Handled))
            return MHD_NO;
        exchange->isDispatched = true;
        exchange->request.body = exchange->body.take();
        m_handler(std::move(exchange->request), http_responder(exchange));
    }
    if (exchange->hasResponse)
        return queueResponse(*exchange);
    exchange->isSuspended = true;
    MHD_suspend_connection(exchange->connection);
    if (!m_disconnectTimer.isActive())
        m_disconnectTimer.startRepeating(disconnectCheckInterval);
    return MHD_YES;
}

std::string microhttpd_server::describeBodyLimit() const
{
    return absl::StrCat("the body is larger than ", m_options.bodyLimit, " bytes\n");
}

bool microhttpd_server::setStage(caller_connection& caller, connection_stage stage)
{
    if (caller.isClosing || !m_tracker->setStage(caller.id, stage, m_loop.now()))
        return false;
    caller.stage = stage;
    return true;
}

void microhttpd_server::onConnection(void* self, MHD_Connection* connection, void** caller, MHD_ConnectionNotificationCode code)
{
    auto* server = static_cast<microhttpd_server*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        server->openConnection(connection, caller);
        return;
    }
    const auto id = static_cast<caller_connection*>(*caller)->id;
    server->m_tracker->close(id);
    server->m_callers.erase(id);
    *caller = nullptr;
    // At its limit, libmicrohttpd accepts connections again only in the run after one has been closed.
    server->m_mustRunAgain = true;
}

void microhttpd_server::openConnection(MHD_Connection* connection, void** caller)
{
    auto opened = std::make_unique<caller_connection>();
    opened->server = this;
    opened->descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    opened->id = m_tracker->open(m_trackedServer, addressText(peerAddress(connection)), m_loop.now());
    *caller = opened.get();
    m_callers[opened->id] = std::move(opened);
    closeChosenConnections();
}

void microhttpd_server::checkConnections()
{
    for (const auto& [id, caller] : m_callers)
        updateHeaderBytes(*caller);
    m_tracker->checkTimes(m_trackedServer, m_loop.now());
    closeChosenConnections();
    logClosings();
}

// libmicrohttpd reports a request when its headers are complete. How much of them has arrived before is known to the socket only.
void microhttpd_server::updateHeaderBytes(caller_connection& caller)
{
    const bool isBetweenRequests = caller.stage == connection_stage::Unused || caller.stage == connection_stage::Idle;
    if (caller.isClosing || (!isBetweenRequests && caller.stage != connection_stage::ReceivingHeaders))
        return;
    const auto received = receivedBytes(caller.descriptor);
    if (received <= caller.bytesBeforeRequest)
        return;
    if (isBetweenRequests)
        setStage(caller, connection_stage::ReceivingHeaders);
    m_tracker->setHeldBytes(caller.id, std::min<std::uint64_t>(received - caller.bytesBeforeRequest, connectionMemory));
}

void microhttpd_server::closeChosenConnections()
{
    for (const auto& closing : m_tracker->takeClosings(m_trackedServer)) {
        if (const auto found = m_callers.find(closing.id); found != m_callers.end())
            closeConnection(*found->second, closing.reason);
    }
}

// libmicrohttpd notices that the socket is shut down and then ends the request and the connection.
void microhttpd_server::closeConnection(caller_connection& caller, closing_reason reason)
{
    if (caller.isClosing)
        return;
    caller.isClosing = true;
    if (caller.stage == connection_stage::ReceivingHeaders || caller.stage == connection_stage::ReceivingBody) {
        // No part of another response can be under way, and the request has not been and won't be handled.
        const auto refusal = renderRefusal(refusalOf(reason, describeBodyLimit()));
        send(caller.descriptor, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (caller.exchange != nullptr)
            caller.exchange->body = {};
    }
    shutdown(caller.descriptor, SHUT_RDWR);
}

void microhttpd_server::logClosings()
{
    const auto counts = m_tracker->takeReport(m_loop.now());
    if (!counts)
        return;
    const auto countOf = [&counts](closing_reason reason) {
        return absl::StrCat((*counts)[static_cast<std::size_t>(reason)]);
    };
    utils::logEvent(utils::events::callersClosed,
        { { "body_size", countOf(closing_reason::BodySize) }, { "memory", countOf(closing_reason::Memory) }, { "connections", countOf(closing_reason::Connections) },
            { "connections_of_address", countOf(closing_reason::ConnectionsOfAddress) }, { "header_time", countOf(closing_reason::HeaderTime) },
            { "request_time", countOf(closing_reason::RequestTime) }, { "response_time", countOf(closing_reason::ResponseTime) } });
}

// libmicrohttpd does not read from suspended connections and therefore does not notice when the caller closes one.
void microhttpd_server::detectDisconnectedCallers()
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
        m_disconnectTimer.stop();
        return;
    }
    poll(descriptors.data(), descriptors.size(), 0);
    for (std::size_t index = 0; index < suspended.size(); ++index)
        suspended[index]->isDisconnected = (descriptors[index].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

MHD_Result microhttpd_server::queueResponse(http_exchange& exchange)
{
    auto& body = exchange.response.body;
    auto* response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : exchange.response.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    const auto result = MHD_queue_response(exchange.connection, static_cast<unsigned>(exchange.response.status), response);
    MHD_destroy_response(response);
    // libmicrohttpd has a copy until the caller has read the response.
    const auto size = body.size();
    body = std::string();
    if (setStage(*exchange.caller, connection_stage::SendingResponse))
        m_tracker->setHeldBytes(exchange.caller->id, exchange.headerBytes + size);
    return result;
}

void microhttpd_server::sendResponse(http_exchange& exchange, http_response response)
{
    if (exchange.hasResponse || exchange.connection == nullptr)
        return;
    exchange.hasResponse = true;
    exchange.response = std::move(response);
    if (!exchange.isSuspended)
        return;
    exchange.isSuspended = false;
    MHD_resume_connection(exchange.connection);
    // With external polling, resuming a connection does not wake the event loop.
    m_mustRunAgain = true;
    m_timeoutTimer.startOnce(utils::milliseconds(0));
}

void microhttpd_server::onCompleted(void* self, MHD_Connection*, void** holder, MHD_RequestTerminationCode)
{
    const std::unique_ptr<exchange_holder> owned(static_cast<exchange_holder*>(*holder));
    *holder = nullptr;
    if (owned == nullptr)
        return;
    auto* server = static_cast<microhttpd_server*>(self);
    auto& caller = *(*owned)->caller;
    caller.exchange = nullptr;
    caller.bytesBeforeRequest = receivedBytes(caller.descriptor);
    if (server->setStage(caller, connection_stage::Idle))
        server->m_tracker->setHeldBytes(caller.id, 0);
    (*owned)->connection = nullptr;
    (*owned)->caller = nullptr;
    server->m_exchanges.erase(owned->get());
}

namespace {

    //! Responds with status 500 if the last responder of a request is destroyed without a response.
    struct responder_guard {
        explicit responder_guard(std::shared_ptr<http_exchange> guarded)
            : exchange(std::move(guarded))
        {
        }

        ~responder_guard()
        {
            if (exchange->connection != nullptr && !exchange->hasResponse)
                exchange->server->sendResponse(*exchange, { 500, {}, "the server sent no response to the request\n" });
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
        m_exchange->server->sendResponse(*m_exchange, std::move(response));
}

bool http_responder::hasCallerDisconnected() const
{
    return m_exchange->connection == nullptr || m_exchange->isDisconnected;
}

absl::StatusOr<std::unique_ptr<http_server>> http_server::listen(event_loop& loop, const http_server_options& options, handler onRequest)
{
    auto server = std::make_unique<microhttpd_server>(loop, options, std::move(onRequest));
    if (auto status = server->start(); !status.ok())
        return status;
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace camphorsaddle::transport
