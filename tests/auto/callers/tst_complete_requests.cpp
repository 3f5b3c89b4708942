#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "callers/complete_requests.h"
#include "callers/crowd.h"
#include "callers/daemon_under_test.h"
#include "callers/platform_store.h"
#include "end_to_end/child_process.h"
#include "nlohmann/json.hpp"

// Guards against daemons that exceed the memory of their machine by what they keep of complete requests: of those that they handle, of
// the jobs that they accept with and without a leader, and of the jobs that the next leader loads. The memory of the daemons is lowered
// so that a small crowd reaches it.

using namespace camphorsaddle;

namespace {

using nlohmann::json;

constexpr std::size_t daemonCount = 3;
constexpr std::size_t memoryMegabytes = 64;
constexpr std::size_t descriptors = 1300;
constexpr std::size_t clientCount = 24;
constexpr std::size_t permittedBody = 262'144;
constexpr std::size_t permittedSpec = 4'000;
constexpr std::uint16_t frontPort = 8001;
constexpr std::uint16_t metricsPort = 9464;
constexpr std::chrono::seconds longestWait { 60 };
constexpr std::chrono::milliseconds pollInterval { 50 };
const std::string queuePrefix = "/jobs/";

std::string jobId(std::size_t number)
{
    return absl::StrFormat("%016x", number + 1);
}

json plainStep()
{
    return { { "Count", 1 }, { "Cpu", 1000 }, { "MemMb", 100 }, { "EstimateMs", 1000 } };
}

std::string jobBody(std::size_t specBytes, const json& steps)
{
    return json { { "Spec", std::string(specBytes, 's') }, { "Steps", steps } }.dump();
}

std::string stepsOfManyTasks()
{
    auto step = plainStep();
    step["Count"] = 1000;
    return jobBody(permittedSpec, json(8, step));
}

std::string manySteps()
{
    auto step = plainStep();
    for (const auto* field : { "Constraints", "Affinity", "Image" })
        step[field] = std::string(200, 'n');
    return jobBody(permittedSpec, json(100, step));
}

std::string repeatedDependencies()
{
    auto step = plainStep();
    step["After"] = json(100'000, 0);
    return jobBody(permittedSpec, { plainStep(), step });
}

enum class incident {
    None,
    //! 100 unfinished bodies are open all the while.
    BesideUnfinishedBodies,
    //! The leader is killed after the crowd, so that the next one loads what is stored.
    NextLeader,
    //! No daemon can be elected before the crowd has gone.
    NoLeader,
    //! The crowd cancels each job at about the time of its submission.
    Cancellations,
};

struct request_case {
    const char* name;
    std::string body;
    std::size_t count;
    incident beside = incident::None;
};

std::ostream& operator<<(std::ostream& stream, const request_case& value)
{
    return stream << value.name;
}

//! \brief Daemons with a store and no workers, each on a loopback address of its own.
class daemon_group {
public:
    explicit daemon_group(bool hasLeader)
        : m_network(absl::StrCat("127.", 128 + getpid() / 65'536 % 64, ".", getpid() / 256 % 256, "."))
        , m_folder(std::filesystem::temp_directory_path() / absl::StrCat("requests-", getpid()))
        , m_store(ip(daemonCount))
    {
        std::filesystem::create_directories(m_folder);
        m_store.setGrantsLeases(hasLeader);
        m_store.put("op/config", configuration().dump());
        for (std::size_t index = 0; index < daemonCount; ++index)
            startDaemon(index);
        for (std::size_t index = 0; index < daemonCount; ++index)
            waitFor([&] { return callers::statusOf(callers::exchange({ ip(index), callers::readinessPort }, ip(index), "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")) == 200; });
        if (hasLeader)
            waitFor([this] { return leader() < daemonCount; });
    }

    ~daemon_group()
    {
        for (auto& daemon : m_daemons)
            daemon->kill();
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_folder);
    }

    daemon_group(const daemon_group&) = delete;
    daemon_group& operator=(const daemon_group&) = delete;

    //! \brief Returns false if the condition isn't met in a minute.
    static bool waitFor(const std::function<bool()>& isMet)
    {
        const auto deadline = std::chrono::steady_clock::now() + longestWait;
        while (!isMet()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
        return true;
    }

    std::string ip(std::size_t index) const
    {
        return absl::StrCat(m_network, 1 + (static_cast<std::size_t>(getpid()) % 60) * 4 + index);
    }

    std::vector<callers::address> fronts() const
    {
        std::vector<callers::address> result;
        for (std::size_t index = 0; index < daemonCount; ++index) {
            if (m_daemons[index]->isRunning())
                result.push_back({ ip(index), frontPort });
        }
        return result;
    }

    //! \brief Index of the daemon that leads; daemonCount if there is none.
    std::size_t leader() const
    {
        const auto record = m_store.value("camphorsaddle/lead/leader");
        std::size_t index = 0;
        while (index < daemonCount && !absl::StrContains(record, daemonName(index)))
            ++index;
        return index;
    }

    callers::platform_store& store()
    {
        return m_store;
    }

    end_to_end::child_process& daemon(std::size_t index)
    {
        return *m_daemons[index];
    }

private:
    static std::string daemonName(std::size_t index)
    {
        return absl::StrCat("daemon-", index);
    }

    void startDaemon(std::size_t index)
    {
        const auto path = m_folder / absl::StrCat("settings-", index, ".json");
        std::ofstream(path) << callers::platformSettings({ daemonName(index), ip(index), frontPort, metricsPort, m_store.address(), memoryMegabytes, descriptors }).dump();
        setenv("CAMPHORSADDLE_SETTINGS", path.c_str(), 1);
        m_daemons.push_back(std::make_unique<end_to_end::child_process>(std::vector<std::string> { DAEMON_PROGRAM, "platform" }, (m_folder / absl::StrCat("log-", index)).string()));
    }

    static json configuration()
    {
        const json route { { "Name", "queue" }, { "Host", "h" }, { "Prefix", queuePrefix }, { "Kind", "non_idempotent" }, { "TimeoutMs", 3000 }, { "TargetLatencyMs", 2500 }, { "Priority", 0 }, { "Service", "service" }, { "MaxAttempts", 3 }, { "SlackFactor", 2.2 } };
        const json service { { "Name", "service" }, { "HealthPath", "/health" }, { "MaxConns", 64 }, { "Protocol", "h1" }, { "Tls", false }, { "RejectsOverload", true }, { "Standby", false } };
        const json limits { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", permittedBody }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } };
        return { { "Version", 7 }, { "Routes", { route } }, { "Services", { service } }, { "Limits", limits } };
    }

    std::string m_network;
    std::filesystem::path m_folder;
    callers::platform_store m_store;
    std::vector<std::unique_ptr<end_to_end::child_process>> m_daemons;
};

std::string request(const std::string& method, const std::string& id, const std::string& body, bool closes)
{
    return absl::StrCat(method, " ", queuePrefix, id, " HTTP/1.1\r\nHost: h\r\nContent-Length: ", body.size(), "\r\n", closes ? "Connection: close\r\n" : "", "\r\n", body);
}

int call(const callers::address& server, const std::string& method, const std::string& id, const std::string& body = {})
{
    return callers::statusOf(callers::exchange(server, server.ip, request(method, id, body, true)));
}

void expectAnswersAreTrue(daemon_group& group, const std::vector<int>& statuses)
{
    for (std::size_t number = 0; number < statuses.size(); ++number) {
        const bool isStored = group.store().contains(absl::StrCat("camphorsaddle/job/", jobId(number), "/record"));
        const bool isRefused = statuses[number] / 100 == 4 || statuses[number] == 503;
        EXPECT_FALSE(isRefused && isStored) << "a refused job is stored, status " << statuses[number];
        EXPECT_FALSE(statuses[number] == 200 && !isStored) << "an accepted job isn't stored";
    }
}

class complete_requests : public testing::TestWithParam<request_case> {
protected:
    //! Returns the statuses of the submissions.
    static std::vector<int> sendCrowd(daemon_group& group)
    {
        const auto& param = GetParam();
        const std::size_t callsPerJob = param.beside == incident::Cancellations ? 2 : 1;
        const auto makeRequest = [&](std::size_t number) {
            const auto id = jobId(number / callsPerJob);
            return number % callsPerJob == 0 ? request("POST", id, param.body, false) : request("DELETE", id, {}, false);
        };
        const auto statuses = callers::sendCompleteRequests(group.fronts(), group.ip(0), param.count * callsPerJob, clientCount, makeRequest);
        std::vector<int> submissions;
        for (std::size_t number = 0; number < statuses.size(); number += callsPerJob)
            submissions.push_back(statuses[number]);
        return submissions;
    }
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Patterns, complete_requests,
    testing::Values(
        request_case { "longSpecs", jobBody(262'000, json::array({ plainStep() })), 400 },
        request_case { "longSpecsBesideUnfinishedBodies", jobBody(262'000, json::array({ plainStep() })), 400, incident::BesideUnfinishedBodies },
        request_case { "manyTasks", stepsOfManyTasks(), 200 },
        request_case { "manyTasksAndTheNextLeader", stepsOfManyTasks(), 200, incident::NextLeader },
        request_case { "manyTasksWithoutLeader", stepsOfManyTasks(), 200, incident::NoLeader },
        request_case { "manyCancelledTasks", stepsOfManyTasks(), 200, incident::Cancellations },
        request_case { "manySteps", manySteps(), 600 },
        request_case { "manyStepsAndTheNextLeader", manySteps(), 600, incident::NextLeader },
        request_case { "repeatedDependencies", repeatedDependencies(), 300 },
        request_case { "manyJobs", jobBody(permittedSpec, json::array({ plainStep() })), 16'000 },
        request_case { "manyJobsAndTheNextLeader", jobBody(permittedSpec, json::array({ plainStep() })), 16'000, incident::NextLeader },
        request_case { "manyJobsWithoutLeader", jobBody(permittedSpec, json::array({ plainStep() })), 16'000, incident::NoLeader }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(complete_requests, LeaveEachDaemonWithinItsMachineAndAnsweringOthers)
{
    const auto& param = GetParam();
    daemon_group group(param.beside != incident::NoLeader);
    ASSERT_EQ(group.fronts().size(), daemonCount);
    std::vector<std::size_t> mostDescriptors(daemonCount, 0);
    const auto countDescriptors = [&] {
        for (std::size_t index = 0; index < daemonCount; ++index)
            mostDescriptors[index] = std::max(mostDescriptors[index], callers::descriptorCount(group.daemon(index).id()));
    };
    std::unique_ptr<callers::crowd> unfinished;
    if (param.beside == incident::BesideUnfinishedBodies) {
        const auto whole = request("POST", "unfinished", std::string(permittedBody, 'x'), false);
        unfinished = std::make_unique<callers::crowd>(group.fronts(), group.ip(0), callers::client_script { whole.substr(0, whole.size() - 1), {}, 0 }, 100);
        unfinished->send(countDescriptors);
    }
    const auto statuses = sendCrowd(group);
    countDescriptors();
    const auto formerLeader = group.leader();
    if (param.beside == incident::NextLeader)
        group.daemon(formerLeader).kill();
    group.store().setGrantsLeases(true);
    EXPECT_TRUE(daemon_group::waitFor([&] { return group.leader() < daemonCount && (param.beside != incident::NextLeader || group.leader() != formerLeader); }));
    for (const auto& front : group.fronts()) {
        const auto number = static_cast<std::size_t>(std::ranges::find(statuses, 200) - statuses.begin());
        if (number < statuses.size()) {
            EXPECT_TRUE(daemon_group::waitFor([&] { return call(front, "GET", jobId(number)) == 200; })) << "an accepted job isn't known";
        }
        EXPECT_NE(call(front, "POST", absl::StrCat("ordinary-", front.ip), jobBody(100, json::array({ plainStep() }))), 0);
    }
    std::cout << "accepted " << std::ranges::count(statuses, 200) << ", refused " << std::ranges::count_if(statuses, [](int status) { return status / 100 == 4 || status == 503; }) << ", of " << statuses.size() << "; peak kB";
    for (std::size_t index = 0; index < daemonCount; ++index) {
        if (param.beside == incident::NextLeader && index == formerLeader)
            continue;
        ASSERT_TRUE(group.daemon(index).isRunning());
        const auto peak = callers::peakMemoryKilobytes(group.daemon(index).id());
        std::cout << " " << peak << (index == group.leader() ? " (leader)" : "");
        EXPECT_LE(peak, memoryMegabytes << 10);
        EXPECT_LE(mostDescriptors[index], descriptors);
    }
    std::cout << "\n";
    expectAnswersAreTrue(group, statuses);
}

// A single request inside the users' limits is served in calm, whatever its size.
TEST(CompleteRequests, AreServedInCalm)
{
    daemon_group group(true);
    std::size_t number = 0;
    for (const auto& body : { stepsOfManyTasks(), manySteps(), repeatedDependencies(), jobBody(permittedSpec, json::array({ plainStep() })) }) {
        const auto front = group.fronts()[number % daemonCount];
        EXPECT_EQ(call(front, "POST", jobId(number), body), 200) << body.substr(0, 200);
        EXPECT_EQ(call(front, "DELETE", jobId(number)), 200);
        ++number;
    }
}
