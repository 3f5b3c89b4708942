#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "callers/crowd.h"
#include "callers/daemon_under_test.h"
#include "end_to_end/child_process.h"
#include "nlohmann/json.hpp"

// Guards against a daemon that crowds of callers outside the limits make exceed the memory or the descriptors of its machine, or
// terminate or hang. The limits of the daemon are lowered so that a small crowd reaches them.

using namespace camphorsaddle;

namespace {

// Limits of the daemon; without a crowd it uses 18 MB and some 30 descriptors.
constexpr std::size_t memoryMegabytes = 64;
// Leaves room for the connections of the whole crowd, so that only the memory limits what it may hold.
constexpr std::size_t manyDescriptors = 1300;
// Fewer than the crowd has connections.
constexpr std::size_t fewDescriptors = 400;
constexpr std::size_t clientCount = 450;
// Largest body that the users' limits permit.
constexpr std::size_t permittedBody = 262'144;

std::string head(const std::string& method, const std::string& fields)
{
    return absl::StrCat(method, " /jobs/j1 HTTP/1.1\r\nHost: h\r\n", fields, "\r\n");
}

std::string chunk(std::size_t size)
{
    return absl::StrCat(absl::StrFormat("%x", size), "\r\n", std::string(size, 'x'), "\r\n");
}

callers::client_script announcedBody(std::size_t announced, std::size_t sent)
{
    return { head("POST", absl::StrCat("Content-Length: ", announced, "\r\n")), std::string(1, 'x'), sent };
}

callers::client_script chunkedBody(std::size_t chunkSize, std::size_t chunkCount)
{
    return { head("POST", "Transfer-Encoding: chunked\r\n"), chunk(chunkSize), chunkCount };
}

enum class daemon_kind {
    Platform,
    //! The product's own interface.
    Own,
};

enum class crowd_target {
    Callers,
    //! Metrics page of the platform's daemon, or administration of the own interface.
    Operators,
    //! Half of the clients call each of the two.
    Both,
};

struct crowd_case {
    const char* name;
    std::size_t descriptors;
    callers::client_script script;
    crowd_target target = crowd_target::Callers;
    daemon_kind kind = daemon_kind::Platform;
};

std::ostream& operator<<(std::ostream& stream, const crowd_case& value)
{
    return stream << value.name;
}

//! \brief A daemon without a store, on a loopback address of its own.
class lone_daemon {
public:
    lone_daemon(daemon_kind kind, std::size_t descriptors)
        : m_ip(absl::StrCat("127.", 64 + getpid() / 65'536 % 64, ".", getpid() / 256 % 256, ".", getpid() % 256))
        , m_folder(std::filesystem::temp_directory_path() / absl::StrCat("callers-", getpid()))
    {
        std::filesystem::create_directories(m_folder);
        const auto settings = kind == daemon_kind::Platform ? callers::platformSettings({ "n", m_ip, front().port, operators().port, absl::StrCat(m_ip, ":1"), memoryMegabytes, descriptors }) : ownSettings(descriptors);
        const auto path = m_folder / "settings.json";
        std::ofstream(path) << settings.dump();
        setenv("CAMPHORSADDLE_SETTINGS", path.c_str(), 1);
        m_process = std::make_unique<end_to_end::child_process>(kind == daemon_kind::Platform ? std::vector<std::string> { DAEMON_PROGRAM, "platform" } : std::vector<std::string> { DAEMON_PROGRAM, "serve", "--settings", path.string() }, (m_folder / "log").string());
        while (m_process->isRunning() && callers::exchange(operators(), m_ip, "GET /v1/health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").empty())
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }

    ~lone_daemon()
    {
        m_process->kill();
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_folder);
    }

    lone_daemon(const lone_daemon&) = delete;
    lone_daemon& operator=(const lone_daemon&) = delete;

    callers::address front() const
    {
        return { m_ip, 8001 };
    }

    callers::address operators() const
    {
        return { m_ip, 9464 };
    }

    std::vector<callers::address> addresses(crowd_target target) const
    {
        switch (target) {
        case crowd_target::Callers:
            return { front() };
        case crowd_target::Operators:
            return { operators() };
        case crowd_target::Both:
            break;
        }
        return { front(), operators() };
    }

    const std::string& ip() const
    {
        return m_ip;
    }

    bool isRunning()
    {
        return m_process->isRunning();
    }

    std::size_t descriptorCount() const
    {
        return callers::descriptorCount(m_process->id());
    }

    //! \brief Largest resident memory that the process has had.
    std::size_t peakMemoryKilobytes() const
    {
        return callers::peakMemoryKilobytes(m_process->id());
    }

private:
    //! The settings name what the daemon of the platform derives from the memory and the descriptors.
    nlohmann::json ownSettings(std::size_t descriptors) const
    {
        const nlohmann::json dataCentre { { "name", "z" }, { "region", "r" } };
        return {
            { "deployment", "d" }, { "daemon_id", "n" }, { "data_centre", "z" }, { "region", "r" },
            { "store_url", absl::StrCat("http://", m_ip, ":1") }, { "host_list_url", absl::StrCat("http://", m_ip, ":1") },
            { "gateway", { { "address", m_ip }, { "port", front().port } } }, { "administration", { { "address", m_ip }, { "port", operators().port } } },
            { "peer", { { "address", m_ip }, { "port", 7000 } } }, { "cluster", { { "data_centres", nlohmann::json::array({ dataCentre }) } } },
            { "limits", { { "request_memory_bytes", (memoryMegabytes << 20) / 4 }, { "maximum_connections", (descriptors - 200) / 2 } } }
        };
    }

    std::string m_ip;
    std::filesystem::path m_folder;
    std::unique_ptr<end_to_end::child_process> m_process;
};

class crowds : public testing::TestWithParam<crowd_case> {
};

void expectOrdinaryRequestIsAnswered(daemon_kind kind, const lone_daemon& daemon, const std::string& ownIp)
{
    const auto request = head("POST", absl::StrCat("Connection: close\r\nContent-Length: ", permittedBody, "\r\n")) + std::string(permittedBody, 'x');
    const auto response = callers::exchange(daemon.front(), ownIp, request);
    // The daemon has no configuration, and the gateway has no such path. These answers come from the handlers of requests; a refusal by
    // the server has another text.
    EXPECT_TRUE(absl::StrContains(response, kind == daemon_kind::Platform ? "no configuration yet" : "unknown_path")) << "response: " << response;
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Patterns, crowds,
    testing::Values(
        crowd_case { "bodiesThatStopShortOfTheirEnd", manyDescriptors, announcedBody(permittedBody, permittedBody - 1) },
        crowd_case { "largeChunksThatStopShortOfTheEnd", manyDescriptors, chunkedBody(16 << 10, 15) },
        crowd_case { "verySmallChunks", manyDescriptors, chunkedBody(4, 30'000) },
        crowd_case { "chunksFarBeyondTheLimit", manyDescriptors, chunkedBody(16 << 10, 96) },
        crowd_case { "announcedBodiesFarBeyondTheLimit", manyDescriptors, announcedBody(1 << 30, 2 << 20) },
        crowd_case { "unfinishedHeaders", fewDescriptors, { absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nX: ", std::string(13'000, 'x')), "y", 1 } },
        crowd_case { "silentConnections", fewDescriptors, {} },
        crowd_case { "unreadResponsesToPipelinedRequests", fewDescriptors, { "", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 3000 }, crowd_target::Operators },
        crowd_case { "bodiesForTheOwnInterface", manyDescriptors, announcedBody(permittedBody, permittedBody - 1), crowd_target::Both, daemon_kind::Own },
        crowd_case { "chunksBeyondTheLimitForTheOwnInterface", manyDescriptors, chunkedBody(16 << 10, 96), crowd_target::Both, daemon_kind::Own },
        crowd_case { "silentConnectionsToTheOwnInterface", fewDescriptors, {}, crowd_target::Both, daemon_kind::Own }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(crowds, LeaveTheDaemonWithinItsMachineAndAnsweringOthers)
{
    const auto& param = GetParam();
    lone_daemon daemon(param.kind, param.descriptors);
    ASSERT_TRUE(daemon.isRunning());
    const auto memoryBefore = daemon.peakMemoryKilobytes();
    std::size_t mostDescriptors = daemon.descriptorCount();
    const auto countDescriptors = [&] {
        mostDescriptors = std::max(mostDescriptors, daemon.descriptorCount());
    };
    {
        callers::crowd crowd(daemon.addresses(param.target), daemon.ip(), param.script, clientCount);
        countDescriptors();
        EXPECT_EQ(crowd.connectedCount(), clientCount);
        crowd.send(countDescriptors);
        // Many ordinary callers have the same address as the crowd, that of the load balancer.
        expectOrdinaryRequestIsAnswered(param.kind, daemon, daemon.ip());
        expectOrdinaryRequestIsAnswered(param.kind, daemon, "127.0.0.1");
        countDescriptors();
    }
    expectOrdinaryRequestIsAnswered(param.kind, daemon, daemon.ip());
    ASSERT_TRUE(daemon.isRunning());
    std::cout << "memory in kB before " << memoryBefore << ", at most " << daemon.peakMemoryKilobytes() << "; descriptors at most " << mostDescriptors << "\n";
    EXPECT_LE(daemon.peakMemoryKilobytes(), memoryMegabytes << 10);
    EXPECT_LE(mostDescriptors, param.descriptors);
}
