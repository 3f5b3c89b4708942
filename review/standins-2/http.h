#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

//! \brief Blocking HTTP/1.1 server and client for the stand-ins. A thread serves each connection.
namespace review {

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

//! status 0: no answer, the connection stays open until the caller gives up; -1: the connection is reset.
struct response {
    int status = 200;
    std::string body;
};

inline std::string percentDecode(const std::string& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at] == '+' ? ' ' : text[at];
        }
    }
    return result;
}

inline std::string lower(std::string text)
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("bad address " + ip);
    return address;
}

//! Reads one message; false if the connection ended. Leaves the rest in the buffer.
inline bool readMessage(int descriptor, std::string& buffer, std::string& head, std::string& body, clock::time_point deadline)
{
    const auto fill = [&] {
        const auto left = std::chrono::duration_cast<ms>(deadline - clock::now()).count();
        pollfd state { descriptor, POLLIN, 0 };
        if (left <= 0 || poll(&state, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const auto count = recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    head = buffer.substr(0, end + 2);
    const auto found = lower(head).find("\r\ncontent-length:");
    const std::size_t length = found == std::string::npos ? 0 : std::stoul(head.substr(found + 17));
    while (buffer.size() < end + 4 + length) {
        if (!fill())
            return false;
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool sendAll(int descriptor, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

class http_server {
public:
    using handler = std::function<response(const request&)>;

    explicit http_server(handler handle)
        : m_handle(std::move(handle))
    {
    }

    ~http_server()
    {
        stop();
    }

    //! Binds to \a port, or to a free one if it is 0.
    int start(const std::string& ip, int port = 0)
    {
        m_stopped = false;
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = addressOf(ip, port);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(m_listener, 512) != 0)
            throw std::runtime_error("cannot listen at " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno));
        socklen_t size = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_acceptor = std::thread([this] { acceptConnections(); });
        return ntohs(address.sin_port);
    }

    //! Closes the listener and all connections, as the end of the process does.
    void stop()
    {
        if (m_listener < 0)
            return;
        m_stopped = true;
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        m_listener = -1;
        {
            const std::lock_guard lock(m_mutex);
            for (const int descriptor : m_connections)
                shutdown(descriptor, SHUT_RDWR);
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(ms(1));
    }

    bool isStopped() const
    {
        return m_stopped;
    }

private:
    void acceptConnections()
    {
        while (!m_stopped) {
            const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const std::lock_guard lock(m_mutex);
            m_connections.insert(descriptor);
            ++m_threads;
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }

    void serve(int descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::string buffer;
        std::string head;
        std::string body;
        while (!m_stopped && readMessage(descriptor, buffer, head, body, clock::now() + std::chrono::hours(1))) {
            const auto answer = m_handle(parse(head, body));
            if (m_stopped)
                break;
            if (answer.status == -1) {
                const linger reset { 1, 0 };
                setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                break;
            }
            if (answer.status == 0)
                continue;
            if (!sendAll(descriptor, "HTTP/1.1 " + std::to_string(answer.status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(descriptor);
        close(descriptor);
        --m_threads;
    }

    static request parse(const std::string& head, const std::string& body)
    {
        request result;
        const auto first = head.find(' ');
        const auto second = head.find(' ', first + 1);
        result.method = head.substr(0, first);
        auto target = head.substr(first + 1, second - first - 1);
        const auto mark = target.find('?');
        result.path = target.substr(0, mark);
        for (std::size_t at = mark; at != std::string::npos;) {
            const auto next = target.find('&', at + 1);
            const auto pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const auto equals = pair.find('=');
            result.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : percentDecode(pair.substr(equals + 1));
            at = next;
        }
        for (auto line = head.find("\r\n"); line != std::string::npos && line + 2 < head.size();) {
            const auto next = head.find("\r\n", line + 2);
            const auto text = head.substr(line + 2, next - line - 2);
            const auto colon = text.find(':');
            if (colon != std::string::npos)
                result.headers[lower(text.substr(0, colon))] = text.substr(text.find_first_not_of(' ', colon + 1));
            line = next;
        }
        result.body = body;
        return result;
    }

    handler m_handle;
    std::atomic<bool> m_stopped = true;
    int m_listener = -1;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<int> m_threads = 0;
};

//! Sends one request over a connection of its own; status 0 if no complete answer came in time.
inline response call(const std::string& ip, int port, const std::string& method, const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, ms timeout)
{
    const auto deadline = clock::now() + timeout;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    response result { 0, {} };
    std::string buffer;
    std::string head;
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && sendAll(descriptor, text) && readMessage(descriptor, buffer, head, result.body, deadline))
        result.status = std::stoi(head.substr(head.find(' ') + 1, 3));
    close(descriptor);
    return result;
}

} // namespace review
