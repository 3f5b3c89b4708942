#include "callers/complete_requests.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace camphorsaddle::callers {

namespace {

    //! \brief A connection that is opened anew after a failure.
    class client_connection {
    public:
        client_connection(address server, std::string ownIp)
            : m_server(std::move(server))
            , m_ownIp(std::move(ownIp))
        {
        }

        ~client_connection()
        {
            disconnect();
        }

        client_connection(const client_connection&) = delete;
        client_connection& operator=(const client_connection&) = delete;

        //! \brief Returns the status of the response; 0 if there is none.
        int call(const std::string& request)
        {
            if (m_descriptor < 0)
                m_descriptor = openConnection(m_server, m_ownIp);
            const int status = m_descriptor >= 0 && sendAll(m_descriptor, request) ? readResponse() : 0;
            if (status == 0)
                disconnect();
            return status;
        }

    private:
        int readResponse()
        {
            std::string received;
            std::array<char, 4096> buffer {};
            for (;;) {
                const auto headEnd = received.find("\r\n\r\n");
                if (headEnd != std::string::npos && received.size() >= headEnd + 4 + contentLength(received.substr(0, headEnd))) {
                    if (hasClosingHeader(received.substr(0, headEnd)))
                        disconnect();
                    return statusOf(received);
                }
                const auto size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
                if (size <= 0)
                    return 0;
                received.append(buffer.data(), static_cast<std::size_t>(size));
            }
        }

        static std::size_t contentLength(const std::string& head)
        {
            for (absl::string_view line : absl::StrSplit(head, "\r\n")) {
                std::size_t length = 0;
                const auto lower = absl::AsciiStrToLower(line);
                absl::string_view value = lower;
                if (absl::ConsumePrefix(&value, "content-length:") && absl::SimpleAtoi(value, &length))
                    return length;
            }
            return 0;
        }

        static bool hasClosingHeader(const std::string& head)
        {
            return absl::AsciiStrToLower(head).find("connection: close") != std::string::npos;
        }

        void disconnect()
        {
            if (m_descriptor >= 0)
                close(m_descriptor);
            m_descriptor = -1;
        }

        address m_server;
        std::string m_ownIp;
        int m_descriptor = -1;
    };

} // namespace

std::vector<int> sendCompleteRequests(const std::vector<address>& servers, const std::string& ownIp, std::size_t count, std::size_t clientCount, const std::function<std::string(std::size_t)>& makeRequest)
{
    std::vector<int> statuses(count, 0);
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < clientCount; ++index) {
        clients.emplace_back([&, server = servers[index % servers.size()]] {
            client_connection connection(server, ownIp);
            for (auto number = next++; number < count; number = next++)
                statuses[number] = connection.call(makeRequest(number));
        });
    }
    for (auto& client : clients)
        client.join();
    return statuses;
}

int statusOf(const std::string& response)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(response, absl::MaxSplits(' ', 2));
    int status = 0;
    return parts.size() > 1 && absl::SimpleAtoi(parts[1], &status) ? status : 0;
}

} // namespace camphorsaddle::callers
