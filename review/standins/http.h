// A small HTTP/1.1 server and client for the stand-ins of the review, on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

//! Status of an answer that is lost: the connection is reset instead.
constexpr int lostAnswer = -1;

struct http_response {
    //! 0 if the connection ended without an answer.
    int status = 0;
    std::string body;
};

inline std::string percentDecode(const std::string& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

inline sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

//! A port that is free on the address now.
inline int freePort(const std::string& ip)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress(ip, 0);
    socklen_t size = sizeof address;
    if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("no port is free on " + ip);
    getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
    close(handle);
    return ntohs(address.sin_port);
}

//! Reads one message; returns false if the connection ended first. \a isCancelled is asked every few milliseconds.
inline bool readMessage(int handle, std::string& buffer, std::string& head, std::string& body, const std::function<bool()>& isCancelled)
{
    std::size_t wanted = std::string::npos;
    std::size_t bodyAt = 0;
    for (;;) {
        if (wanted == std::string::npos) {
            if (const auto end = buffer.find("\r\n\r\n"); end != std::string::npos) {
                head = buffer.substr(0, end);
                bodyAt = end + 4;
                std::string lower = head;
                std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
                const auto length = lower.find("content-length:");
                wanted = bodyAt + (length == std::string::npos ? 0 : std::strtoul(lower.c_str() + length + 15, nullptr, 10));
            }
        }
        if (wanted != std::string::npos && buffer.size() >= wanted) {
            body = buffer.substr(bodyAt, wanted - bodyAt);
            buffer.erase(0, wanted);
            return true;
        }
        if (isCancelled())
            return false;
        pollfd state { handle, POLLIN, 0 };
        if (poll(&state, 1, 5) <= 0)
            continue;
        char chunk[65536];
        const auto count = recv(handle, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int handle, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    http_server(const std::string& ip, int port, handler handle)
        : m_handle(std::move(handle))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = socketAddress(ip, port);
        if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(m_listener, 1024) != 0)
            throw std::runtime_error("can't listen on " + ip + ":" + std::to_string(port));
        std::thread([this] { acceptConnections(); }).detach();
    }

    //! Resets all open connections; calls that are being handled get no answer.
    void resetConnections()
    {
        const std::lock_guard lock(m_mutex);
        ++m_generation;
        const int nothing = open("/dev/null", O_RDWR | O_CLOEXEC);
        for (const int connection : m_connections) {
            setResetOnClose(connection);
            // Closes the connection now, and keeps its number until its thread has ended.
            dup2(nothing, connection);
        }
        close(nothing);
    }

    //! Time of a request, and of an answer, on a long link.
    std::atomic<int> oneWayMs { 0 };
    //! Bandwidth of a caller's link in Mbit/s; 0 for no limit. Only the bodies of answers count.
    std::atomic<int> linkMbps { 0 };
    //! Calls get no answer, and what arrives isn't executed, as behind a cut.
    std::atomic<bool> isSilent { false };
    //! New connections are reset at once.
    std::atomic<bool> isDown { false };

private:
    void acceptConnections()
    {
        for (;;) {
            const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            if (isDown) {
                closeWithReset(connection);
                continue;
            }
            const int on = 1;
            setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(m_mutex);
            m_connections.insert(connection);
            std::thread([this, connection, generation = m_generation.load()] { serve(connection, generation); }).detach();
        }
    }

    static void wait(std::int64_t duration, const std::function<bool()>& isCancelled)
    {
        const auto until = nowMs() + duration;
        while (!isCancelled() && nowMs() < until)
            sleepMs(1);
    }

    static void setResetOnClose(int connection)
    {
        const linger reset { 1, 0 };
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    static void closeWithReset(int connection)
    {
        setResetOnClose(connection);
        close(connection);
    }

    void serve(int connection, unsigned generation)
    {
        const auto isReset = [&] {
            return m_generation != generation;
        };
        std::string buffer;
        std::string head;
        std::string body;
        while (readMessage(connection, buffer, head, body, isReset)) {
            wait(oneWayMs, isReset);
            while (isSilent && !isReset())
                sleepMs(5);
            if (isReset())
                break;
            const auto response = m_handle(parse(head, body));
            while (isSilent && !isReset())
                sleepMs(5);
            const auto transferMs = linkMbps == 0 ? 0 : static_cast<std::int64_t>(response.body.size()) * 8 / 1000 / linkMbps;
            wait(oneWayMs + transferMs, isReset);
            if (response.status == lostAnswer)
                setResetOnClose(connection);
            if (isReset() || response.status <= 0)
                break;
            if (!sendAll(connection, "HTTP/1.1 " + std::to_string(response.status) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
        close(connection);
    }

    static http_request parse(const std::string& head, std::string body)
    {
        http_request request;
        request.body = std::move(body);
        auto lineEnd = head.find("\r\n");
        const auto line = head.substr(0, lineEnd);
        const auto space = line.find(' ');
        request.method = line.substr(0, space);
        auto target = line.substr(space + 1, line.rfind(' ') - space - 1);
        if (const auto mark = target.find('?'); mark != std::string::npos) {
            const auto text = target.substr(mark + 1);
            target.resize(mark);
            for (std::size_t from = 0; from < text.size();) {
                const auto to = std::min(text.find('&', from), text.size());
                const auto pair = text.substr(from, to - from);
                const auto equals = pair.find('=');
                request.query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
                from = to + 1;
            }
        }
        request.path = percentDecode(target);
        while (lineEnd != std::string::npos) {
            const auto from = lineEnd + 2;
            lineEnd = head.find("\r\n", from);
            const auto field = head.substr(from, lineEnd == std::string::npos ? std::string::npos : lineEnd - from);
            const auto colon = field.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = field.substr(0, colon);
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = field.find_first_not_of(' ', colon + 1);
            request.headers[name] = value == std::string::npos ? "" : field.substr(value);
        }
        return request;
    }

    handler m_handle;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<unsigned> m_generation { 0 };
};

//! Sends one request on a new connection; status 0 if no complete answer came in time.
inline http_response httpCall(const std::string& ip, int port, const std::string& method, const std::string& path, const std::string& host, const std::string& body, int timeoutMs)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(ip, port);
    http_response response;
    if (connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        const auto deadline = nowMs() + timeoutMs;
        std::string message = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Camphorsaddle-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
        if (!body.empty())
            message += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        std::string buffer;
        std::string head;
        if (sendAll(handle, message + "\r\n" + body) && readMessage(handle, buffer, head, response.body, [&] { return nowMs() >= deadline; }))
            response.status = std::atoi(head.c_str() + head.find(' ') + 1);
    }
    close(handle);
    return response;
}

} // namespace review
