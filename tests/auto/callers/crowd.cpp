#include "callers/crowd.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace camphorsaddle::callers {

namespace {

    // The crowd has sent what it can when no client could send for this time, which is much longer than a daemon's pauses.
    constexpr std::chrono::seconds maximumSilence { 2 };
    // A daemon that takes longer counts as hanging.
    constexpr timeval responseTimeout { 60, 0 };

    sockaddr_in socketAddress(const std::string& ip, std::uint16_t port)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
        return result;
    }

} // namespace

int openConnection(const address& server, const std::string& ownIp)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto own = socketAddress(ownIp, 0);
    const auto peer = socketAddress(server.ip, server.port);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &responseTimeout, sizeof responseTimeout);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &responseTimeout, sizeof responseTimeout);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0 && connect(descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

bool sendAll(int descriptor, const std::string& data)
{
    for (std::size_t sent = 0; sent < data.size();) {
        const auto size = ::send(descriptor, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

crowd::crowd(const std::vector<address>& servers, const std::string& ownIp, client_script script, std::size_t clientCount)
    : m_script(std::move(script))
{
    for (std::size_t index = 0; index < clientCount; ++index) {
        const int descriptor = openConnection(servers[index % servers.size()], ownIp);
        m_connectedCount += descriptor >= 0 ? 1 : 0;
        m_clients.push_back({ descriptor, 0 });
    }
}

crowd::~crowd()
{
    for (const auto& client : m_clients) {
        if (client.descriptor >= 0)
            close(client.descriptor);
    }
}

bool crowd::sendSome(client& sender) const
{
    const auto total = m_script.beginning.size() + m_script.piece.size() * m_script.pieceCount;
    if (sender.descriptor < 0 || sender.sent >= total)
        return false;
    std::string data;
    if (sender.sent < m_script.beginning.size()) {
        data = m_script.beginning.substr(sender.sent);
    } else {
        // Several pieces at a time; the limit keeps the crowd in step.
        constexpr std::size_t bytesAtATime = 32 << 10;
        const auto begin = sender.sent - m_script.beginning.size();
        data = m_script.piece.substr(begin % m_script.piece.size());
        while (data.size() < bytesAtATime)
            data += m_script.piece;
        data.resize(std::min({ data.size(), bytesAtATime, total - sender.sent }));
    }
    const auto size = ::send(sender.descriptor, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size < 0 && errno != EAGAIN) {
        close(sender.descriptor);
        sender.descriptor = -1;
    }
    sender.sent += size > 0 ? static_cast<std::size_t>(size) : 0;
    return size > 0;
}

void crowd::send(const std::function<void()>& afterRound)
{
    auto lastProgressAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < lastProgressAt + maximumSilence) {
        bool hasSent = false;
        for (auto& client : m_clients)
            hasSent = sendSome(client) || hasSent;
        if (hasSent)
            lastProgressAt = std::chrono::steady_clock::now();
        else
            poll(nullptr, 0, 10);
        afterRound();
    }
}

std::string exchange(const address& server, const std::string& ownIp, const std::string& request)
{
    const int descriptor = openConnection(server, ownIp);
    if (descriptor < 0)
        return {};
    // A server that refuses the request may close the connection before all is sent; its response counts all the same.
    sendAll(descriptor, request);
    std::string received;
    std::array<char, 4096> buffer {};
    for (;;) {
        const auto size = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    close(descriptor);
    return received.find("\r\n\r\n") == std::string::npos ? std::string() : received;
}

} // namespace camphorsaddle::callers
