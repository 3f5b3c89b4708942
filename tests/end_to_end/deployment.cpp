#include "end_to_end/deployment.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

#include "absl/strings/str_cat.h"
#include "manual/driver/verify.h"

namespace camphorsaddle::end_to_end {

namespace {
    using nlohmann::json;
    using utils::milliseconds;

    constexpr int firstPort = 21000;
    constexpr int portCountPerDeployment = 150;
    constexpr int storePortOffset = 0;
    constexpr int hostsPortOffset = 1;
    constexpr int gatewayPortOffset = 10;
    constexpr int adminPortOffset = 20;
    constexpr int peerPortOffset = 30;
    constexpr int minionPortOffset = 40;
    constexpr int workerPortOffset = 80;
    constexpr milliseconds pollInterval { 50 };
    constexpr milliseconds callTimeout { 3000 };
    constexpr const char* sites[] = { "dub-1", "dub-2", "crk-1" };
    constexpr const char* team = "matching";

    json readJson(const std::string& path)
    {
        std::ifstream file(absl::StrCat(SOURCE_FOLDER, path));
        return json::parse(file);
    }

    json shortLeaseSettings()
    {
        return { { "lease_term_ms", 1000 }, { "worker_lease_ms", 2000 }, { "renewal_interval_ms", 500 }, { "renewal_horizon_ms", 3000 },
            { "clock_allowance_ms", 100 }, { "heartbeat_interval_ms", 100 } };
    }

} // namespace

deployment::deployment(int number)
    : m_firstPort(firstPort + number * portCountPerDeployment)
    , m_baseConfiguration(readJson("/share/liffey/base.json"))
    , m_client(transport::http_client::create(m_loop))
{
    std::string folderTemplate = std::filesystem::temp_directory_path() / "camphorsaddle-XXXXXX";
    m_folder = mkdtemp(folderTemplate.data());
    m_baseConfiguration["batch_kinds"]["trade_match"]["run_time_ms"] = 4000;
}

deployment::~deployment()
{
    for (auto& daemon : m_daemons)
        daemon.reset();
    m_standins.reset();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
    else
        std::cerr << "logs: " << m_folder << "\n";
}

int deployment::port(int offset) const
{
    return m_firstPort + offset;
}

std::string deployment::gatewayUrl(std::size_t index) const
{
    return absl::StrCat("http://127.0.0.1:", port(gatewayPortOffset) + static_cast<int>(index));
}

std::string deployment::adminUrl(std::size_t index) const
{
    return absl::StrCat("http://127.0.0.1:", port(adminPortOffset) + static_cast<int>(index));
}

std::string deployment::storeUrl() const
{
    return absl::StrCat("http://127.0.0.1:", port(storePortOffset));
}

std::string deployment::hostsUrl() const
{
    return absl::StrCat("http://127.0.0.1:", port(hostsPortOffset));
}

std::string deployment::writeSettings(std::size_t index)
{
    auto settings = readJson(absl::StrCat("/share/liffey/settings-", sites[index], ".json"));
    const int offset = static_cast<int>(index);
    settings["gateway"]["port"] = port(gatewayPortOffset) + offset;
    settings["administration"]["port"] = port(adminPortOffset) + offset;
    settings["peer"]["port"] = port(peerPortOffset) + offset;
    settings["store_url"] = storeUrl();
    settings["host_list_url"] = hostsUrl();
    settings["drain_wait_ms"] = 1000;
    settings["cluster"].update(shortLeaseSettings());
    std::string path = absl::StrCat(m_folder, "/", sites[index], ".json");
    std::ofstream(path) << settings.dump(2);
    return path;
}

void deployment::startDaemon(std::size_t index)
{
    m_daemons[index].reset();
    m_daemons[index] = std::make_unique<child_process>(
        std::vector<std::string> { DAEMON_PROGRAM, "serve", "--settings", writeSettings(index) }, absl::StrCat(m_folder, "/", sites[index], ".log"));
}

child_process& deployment::daemon(std::size_t index)
{
    return *m_daemons[index];
}

bool deployment::start()
{
    const std::vector<std::string> command { STANDINS_PROGRAM, "--store-port", absl::StrCat(port(storePortOffset)), "--hosts-port", absl::StrCat(port(hostsPortOffset)),
        "--first-minion-port", absl::StrCat(port(minionPortOffset)), "--first-worker-port", absl::StrCat(port(workerPortOffset)), "--fleet",
        absl::StrCat(SOURCE_FOLDER, "/tests/standins/fleets/liffey.json") };
    m_standins = std::make_unique<child_process>(command, m_folder + "/standins.log");
    if (!waitUntil([this] { return !get(hostsUrl() + "/v1/hosts").is_null(); }))
        return false;
    for (std::size_t index = 0; index < daemonCount; ++index)
        startDaemon(index);
    return waitUntil([this] { return putBaseConfiguration(0, m_baseConfiguration, "0").response.status == 200; })
        && waitUntil([this] { return isReady(0) && isReady(1) && isReady(2); });
}

void deployment::runLoopFor(milliseconds duration)
{
    transport::timer end(m_loop, [this] { m_loop.stop(); });
    end.startOnce(duration);
    m_loop.run();
}

transport::http_result deployment::call(transport::http_call call)
{
    std::optional<transport::http_result> result;
    call.timeout = callTimeout;
    call.responseLimit = std::size_t { 1 } << 28;
    m_client->start(std::move(call), [&](transport::http_result received) {
        result = std::move(received);
        m_loop.stop();
    });
    while (!result)
        m_loop.run();
    return *std::move(result);
}

json deployment::get(const std::string& url)
{
    const auto result = call({ .url = url });
    if (!result.status.ok() || result.response.status != 200)
        return nullptr;
    const auto body = json::parse(result.response.body, nullptr, false);
    return body.is_discarded() ? json(nullptr) : body;
}

bool deployment::setFaults(const std::string& url, const json& faults)
{
    return call({ .method = "POST", .url = url + "/faults", .body = faults.dump() }).response.status == 200;
}

transport::http_result deployment::putBaseConfiguration(std::size_t daemon, const json& base, const std::string& revision)
{
    return call({ .method = "PUT", .url = adminUrl(daemon) + "/v1/config/base", .headers = { { "if-match", absl::StrCat("\"", revision, "\"") }, { "camphorsaddle-change", absl::StrCat("change-", daemon, "-", revision) }, { "camphorsaddle-operator", absl::StrCat("operator-", daemon) } }, .body = base.dump() });
}

bool deployment::submitJob(const std::string& id, int tasks, const std::string& kind)
{
    const json body { { "id", id }, { "team", team }, { "kind", kind }, { "tasks", tasks } };
    std::size_t attempt = 0;
    return waitUntil([&] {
        const int status = call({ .method = "POST", .url = adminUrl(attempt++ % daemonCount) + "/v1/jobs", .body = body.dump() }).response.status;
        return status == 200 || status == 201;
    });
}

bool deployment::cancelJob(const std::string& id)
{
    std::size_t attempt = 0;
    return waitUntil([&] {
        return call({ .method = "DELETE", .url = absl::StrCat(adminUrl(attempt++ % daemonCount), "/v1/jobs/", id, "?team=", team) }).response.status == 200;
    });
}

std::string deployment::jobState(const std::string& id)
{
    for (std::size_t index = 0; index < daemonCount; ++index) {
        const auto job = get(absl::StrCat(adminUrl(index), "/v1/jobs/", id, "?team=", team));
        if (job.is_object())
            return job.value("state", "");
    }
    return {};
}

bool deployment::isReady(std::size_t index)
{
    return call({ .url = gatewayUrl(index) + "/v1/ready" }).response.status == 200 && call({ .url = adminUrl(index) + "/v1/ready" }).response.status == 200;
}

bool deployment::waitUntil(const std::function<bool()>& condition)
{
    const auto end = m_loop.now() + waitTimeout;
    while (!condition()) {
        if (m_loop.now() >= end)
            return false;
        runLoopFor(pollInterval);
    }
    return true;
}

json deployment::ledger()
{
    return get(hostsUrl() + "/ledger?details=true");
}

int deployment::runningTaskCount()
{
    int running = 0;
    const auto events = ledger().at("task_events");
    for (const auto& event : events)
        running += event.at("event") == "started" ? 1 : -1;
    return running;
}

int deployment::finishedTaskCount()
{
    return get(hostsUrl() + "/ledger").at("tasks").at("finished");
}

std::size_t deployment::findShardOwner(const std::string& shard)
{
    for (std::size_t index = 0; index < daemonCount; ++index) {
        const auto status = get(adminUrl(index) + "/v1/status");
        const auto shards = status.is_object() ? status.value("shards", json::array()) : json::array();
        for (const auto& entry : shards) {
            if (entry.value("shard", "") == shard && entry.value("state", "") == "ready")
                return index;
        }
    }
    return daemonCount;
}

std::future<std::vector<standins::request_outcome>> deployment::startLoad(standins::load_options options)
{
    if (options.targetUrls.empty())
        options.targetUrls = { gatewayUrl(0), gatewayUrl(1), gatewayUrl(2) };
    return std::async(std::launch::async, [options = std::move(options)] {
        transport::event_loop loop;
        return standins::load_generator(loop, options).run();
    });
}

} // namespace camphorsaddle::end_to_end
