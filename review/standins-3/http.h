// A small blocking HTTP/1.1 server and client for the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace standins {

using steady = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline std::string percentDecode(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string parameter(const std::string& name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    }
};

struct response {
    int status = 200;
    std::string body;
};

//! Reads one message; returns false if the connection ended or the deadline passed.
class message_reader {
public:
    explicit message_reader(int fd)
        : m_fd(fd)
    {
    }

    bool read(std::string& firstLine, std::map<std::string, std::string>& headers, std::string& body, std::int64_t deadline)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        std::string head = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 4);
        std::size_t pos = head.find("\r\n");
        firstLine = head.substr(0, pos);
        headers.clear();
        while (pos != std::string::npos) {
            const auto next = head.find("\r\n", pos + 2);
            const auto line = head.substr(pos + 2, next == std::string::npos ? std::string::npos : next - pos - 2);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                headers[lower(line.substr(0, colon))] = value;
            }
            pos = next;
        }
        const auto length = headers.find("content-length");
        const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
        while (m_buffer.size() < size) {
            if (!fill(deadline))
                return false;
        }
        body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

private:
    bool fill(std::int64_t deadline)
    {
        const auto left = deadline - nowMs();
        if (left <= 0)
            return false;
        pollfd state { m_fd, POLLIN, 0 };
        if (poll(&state, 1, static_cast<int>(left)) <= 0)
            return false;
        char data[65536];
        const auto count = recv(m_fd, data, sizeof data, 0);
        if (count <= 0)
            return false;
        m_buffer.append(data, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

inline bool sendAll(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool isPortFree(const std::string& ip, std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    const bool isFree = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    return isFree;
}

//! Serves each connection in a thread. The handler returns false to close the connection without an answer.
class http_server {
public:
    using handler = std::function<bool(const request&, response&)>;

    http_server(std::string ip, handler handle)
        : m_ip(std::move(ip))
        , m_handle(std::move(handle))
    {
    }

    ~http_server() { stop(); }

    //! Listens, on the port of before if there was one.
    bool start()
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        auto address = addressOf(m_ip, m_port);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(m_listener, 512) != 0)
            return false;
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_isRunning = true;
        m_thread = std::thread([this, listener = m_listener] { acceptAll(listener); });
        return true;
    }

    //! Stops listening and resets all connections, as the end of a process does.
    void stop()
    {
        if (!m_isRunning.exchange(false))
            return;
        shutdown(m_listener, SHUT_RDWR);
        if (m_thread.joinable())
            m_thread.join();
        close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_connections)
            shutdown(fd, SHUT_RDWR);
    }

    std::string endpoint() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void acceptAll(int listener)
    {
        while (m_isRunning) {
            pollfd state { listener, POLLIN, 0 };
            if (poll(&state, 1, 50) <= 0)
                continue;
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
            }
            // The servers live as long as the process.
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        message_reader reader(fd);
        request received;
        std::string line;
        while (reader.read(line, received.headers, received.body, nowMs() + 120'000)) {
            const auto first = line.find(' ');
            const auto second = line.find(' ', first + 1);
            received.method = line.substr(0, first);
            const auto target = line.substr(first + 1, second - first - 1);
            const auto mark = target.find('?');
            received.path = target.substr(0, mark);
            received.query.clear();
            std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
            while (!rest.empty()) {
                const auto separator = rest.find('&');
                const auto pair = rest.substr(0, separator);
                rest = separator == std::string::npos ? "" : rest.substr(separator + 1);
                const auto equals = pair.find('=');
                received.query[percentDecode(pair.substr(0, equals))] = equals == std::string::npos ? "" : percentDecode(pair.substr(equals + 1));
            }
            response answer;
            if (!m_handle(received, answer))
                break;
            if (!sendAll(fd, "HTTP/1.1 " + std::to_string(answer.status) + " X\r\ncontent-type: application/json\r\ncontent-length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(fd);
        close(fd);
    }

    std::string m_ip;
    std::uint16_t m_port = 0;
    handler m_handle;
    int m_listener = -1;
    std::atomic<bool> m_isRunning = false;
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

//! Sends one request on a connection of its own. The status is 0 without a complete answer in time.
inline response callHttp(const std::string& ip, std::uint16_t port, const std::string& method, const std::string& path, const std::string& host, const std::string& body, std::int64_t timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    response answer;
    answer.status = 0;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval wait { static_cast<time_t>(timeoutMs / 1000), static_cast<suseconds_t>(timeoutMs % 1000 * 1000) };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    const auto address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Camphorsaddle-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
        if (!body.empty())
            text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n" + body;
        std::string line;
        std::map<std::string, std::string> headers;
        if (sendAll(fd, text) && message_reader(fd).read(line, headers, answer.body, deadline) && line.size() > 12)
            answer.status = std::stoi(line.substr(9, 3));
    }
    close(fd);
    return answer;
}

} // namespace standins
