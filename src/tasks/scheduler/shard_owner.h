#pragma once

#include <memory>
#include <string>
#include <vector>

#include "external/worker_control.h"
#include "journal/log.h"
#include "placement/shard_coordinator.h"
#include "settings/process_settings.h"

namespace camphorsaddle::tasks {

//! \brief What a shard owner uses; all of it outlives the owner.
struct shard_environment {
    external::key_value_store& store;
    external::worker_control& workers;
    journal::executor& executor;
    journal::write_budget& budget;
    const settings::cluster_settings& cluster;
    //! A command to a worker arrives within this time or never.
    utils::milliseconds workerTimeout;
};

//! \brief Owns one batch shard: its journal and the commands to its workers, as placement::shard_coordinator decides.
class shard_owner : public journal::observer {
public:
    shard_owner(shard_environment environment, std::string name, std::string writer);
    ~shard_owner() override;
    shard_owner(const shard_owner&) = delete;
    shard_owner& operator=(const shard_owner&) = delete;

    //! \brief Takes the shard over.
    void open();

    //! \brief Sets the workers that the shard holds now.
    void setWorkers(const std::vector<model::host>& hosts);
    void setConfiguration(std::shared_ptr<const model::configuration> configuration);

    //! \brief Places pending tasks, renews leases and settles what is uncertain; called often.
    void drive();

    //! \brief Appends an entry; the callback tells whether it is committed.
    void append(const placement::batch_entry& change, journal::log::append_callback callback);

    const std::string& name() const
    {
        return m_name;
    }

    const placement::shard_state& state() const
    {
        return m_coordinator.state();
    }

    //! \brief Whether this owner has taken the shard over and may append.
    bool isReady() const;
    bool isDeposed() const;
    bool isStoreReachable() const;
    std::uint64_t epoch() const;

private:
    void restore(absl::string_view snapshot) override;
    void apply(std::uint64_t epoch, absl::string_view batch_entry) override;
    std::string snapshot() override;
    void ownershipLost(const absl::Status& cause) override;

    void onOpened(const absl::StatusOr<std::uint64_t>& epoch);
    void carryOut();
    void carryOut(const placement::append_entry& command);
    void carryOut(const placement::start_attempt& command);
    void carryOut(const placement::read_inventory& command);
    void carryOut(const placement::renew_leases& command);
    void carryOut(const placement::take_checkpoint& command);
    void carryOut(const placement::stop_attempt& command);
    void carryOut(const placement::answer_home& command);
    void onReport(const std::string& worker, const absl::StatusOr<std::vector<external::attempt_report>>& reports);
    external::start_command startCommand(const placement::start_attempt& command) const;

    //! Wraps an answer: it is dropped when the owner is gone, and its consequences are carried out.
    template <typename Handler>
    auto answered(Handler handler)
    {
        return [this, alive = std::weak_ptr(m_alive), handler](const auto& answer) {
            if (alive.expired())
                return;
            handler(answer);
            carryOut();
        };
    }

    shard_environment m_environment;
    std::string m_name;
    placement::shard_coordinator m_coordinator;
    std::unique_ptr<journal::log> m_log;
    std::shared_ptr<const model::configuration> m_configuration;
    bool m_isDeposed = false;
    //! Callbacks of the workers' calls hold it weakly, since they may outlive the owner.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace camphorsaddle::tasks
