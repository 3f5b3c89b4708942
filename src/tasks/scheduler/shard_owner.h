#pragma once

#include <memory>
#include <string>
#include <vector>

#include "external/worker_control.h"
#include "journal/log.h"
#include "placement/shard_coordinator.h"
#include "settings/process_settings.h"

namespace camphorsaddle::tasks {

//! \brief Objects that a shard_owner uses; they must outlive it.
struct shard_environment {
    external::key_value_store& store;
    external::worker_control& workers;
    journal::executor& executor;
    journal::write_budget& budget;
    const settings::cluster_settings& cluster;
    //! A command reaches its worker within this time or never.
    utils::milliseconds workerCallTimeout;
};

//! \brief Owns one batch shard: writes its journal and sends the commands of a placement::shard_coordinator to its workers.
class shard_owner : public journal::observer {
public:
    shard_owner(shard_environment environment, std::string name, std::string writer);
    ~shard_owner() override;
    shard_owner(const shard_owner&) = delete;
    shard_owner& operator=(const shard_owner&) = delete;

    //! \brief Opens the journal and takes over the shard.
    void open();

    //! \brief Sets the workers that belong to the shard.
    void setWorkers(const std::vector<model::host>& hosts);
    void setConfiguration(std::shared_ptr<const model::configuration> configuration);
    void setEvacuations(const placement::evacuations& evacuations);

    //! \brief Places pending tasks, renews leases, and resolves uncertain attempts; to be called periodically.
    void runCycle();

    //! \brief Appends an entry; the status passed to the callback tells whether it was committed.
    void append(const placement::batch_entry& change, journal::log::append_callback callback);

    const std::string& name() const
    {
        return m_name;
    }

    const placement::shard_state& state() const
    {
        return m_coordinator.state();
    }

    //! \brief Whether this owner has taken over the shard and may append entries.
    bool isReady() const;
    //! \brief Whether another owner has taken over the shard, or the journal could not be opened or read.
    bool hasLostOwnership() const;
    bool isStoreReachable() const;
    std::uint64_t epoch() const;

private:
    void restore(absl::string_view snapshot) override;
    void apply(std::uint64_t epoch, absl::string_view text) override;
    std::string snapshot() override;
    void ownershipLost(const absl::Status& cause) override;

    void onOpened(const absl::StatusOr<std::uint64_t>& epoch);
    void executeCommands();
    void execute(const placement::append_entry& command);
    void execute(const placement::start_attempt& command);
    void execute(const placement::read_inventory& command);
    void execute(const placement::renew_leases& command);
    void execute(const placement::take_checkpoint& command);
    void execute(const placement::stop_attempt& command);
    void execute(const placement::answer_home_shard& command);
    void onReport(const std::string& worker, const absl::StatusOr<std::vector<external::attempt_report>>& reports);
    external::start_command makeStartCommand(const placement::start_attempt& command) const;

    //! Wraps a callback of the workers: ignores it after the owner was destroyed, and executes the resulting commands.
    template <typename Handler>
    auto wrapCallback(Handler handler)
    {
        return [this, lifetime = std::weak_ptr(m_lifetime), handler](const auto& answer) {
            if (lifetime.expired())
                return;
            handler(answer);
            executeCommands();
        };
    }

    shard_environment m_environment;
    std::string m_name;
    placement::shard_coordinator m_coordinator;
    std::unique_ptr<journal::log> m_log;
    std::shared_ptr<const model::configuration> m_configuration;
    bool m_hasLostOwnership = false;
    //! Held weakly by the callbacks of worker calls, which may outlive the owner.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

} // namespace camphorsaddle::tasks
