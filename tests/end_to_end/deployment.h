#pragma once

#include <array>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "end_to_end/child_process.h"
#include "manual/driver/load_generator.h"
#include "transport/http_client.h"

namespace camphorsaddle::end_to_end {

//! Timeout of deployment::waitUntil().
inline constexpr utils::milliseconds waitTimeout { 40000 };
inline constexpr std::size_t daemonCount = 3;

//! \brief Runs three daemons and the stand-ins as child processes, with short leases and a separate range of ports.
class deployment {
public:
    //! Deployments with different numbers use different ports and can run at the same time.
    explicit deployment(int number);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    //! \brief Starts all processes and submits the configuration; returns false if that exceeds the timeout.
    bool start();
    void startDaemon(std::size_t index);
    child_process& daemon(std::size_t index);

    std::string gatewayUrl(std::size_t index) const;
    std::string adminUrl(std::size_t index) const;
    std::string storeUrl() const;
    std::string hostsUrl() const;

    transport::http_result call(transport::http_call call);
    //! \brief Returns the JSON body of a GET request, null if the request failed or the body is not JSON.
    nlohmann::json get(const std::string& url);
    bool setFaults(const std::string& url, const nlohmann::json& faults);
    transport::http_result putBaseConfiguration(std::size_t daemon, const nlohmann::json& base, const std::string& revision);

    //! \brief Submits the job to the daemons in turn until one accepts it; the job's id makes this idempotent.
    bool submitJob(const std::string& id, int tasks, const std::string& kind);
    bool cancelJob(const std::string& id);
    std::string jobState(const std::string& id);
    bool isReady(std::size_t index);

    //! \brief Polls the condition; returns false if it does not hold within waitTimeout.
    bool waitUntil(const std::function<bool()>& condition);
    nlohmann::json ledger();
    int runningTaskCount();
    int finishedTaskCount();
    //! \brief Returns the index of the daemon that owns the batch shard \a shard, daemonCount if none does.
    std::size_t findShardOwner(const std::string& shard);

    //! \brief Sends requests from a separate thread, by default to all gateways in turn.
    std::future<std::vector<standins::request_outcome>> startLoad(standins::load_options options);

    const nlohmann::json& baseConfiguration() const
    {
        return m_baseConfiguration;
    }

private:
    int port(int offset) const;
    void runLoopFor(utils::milliseconds duration);
    std::string writeSettings(std::size_t index);

    int m_firstPort;
    std::string m_folder;
    nlohmann::json m_baseConfiguration;
    transport::event_loop m_loop;
    std::unique_ptr<transport::http_client> m_client;
    std::unique_ptr<child_process> m_standins;
    std::array<std::unique_ptr<child_process>, daemonCount> m_daemons;
};

} // namespace camphorsaddle::end_to_end
