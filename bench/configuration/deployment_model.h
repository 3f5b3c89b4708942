#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "configuration/replicator.h"

namespace camphorsaddle::bench {

//! \brief Simulates the daemons of a deployment, their store and their operators on a virtual clock.
//!
//! The daemons use the production classes replicator and edit_transaction. Each data centre has one daemon. Store calls,
//! watches, messages and heartbeats take random times.
class deployment_model {
public:
    //! \brief An edit that was submitted to a daemon, and its outcome once it has ended.
    struct submission {
        std::size_t daemon = 0;
        settings::configuration_edit edit;
        bool hasEnded = false;
        utils::time_point endedAt;
        configuration::edit_outcome outcome;
    };

    //! \brief Totals over all daemons since the start of the simulation.
    struct traffic {
        std::uint64_t peerBytes = 0;
        std::uint64_t storeBytes = 0;
        std::uint64_t storeReads = 0;
        std::uint64_t storeWrites = 0;
        std::uint64_t watches = 0;
    };

    deployment_model(std::size_t daemons, std::uint64_t seed);

    utils::time_point now() const
    {
        return m_now;
    }
    //! \brief Advances the virtual clock and processes the events that are due.
    void run(utils::milliseconds duration);

    // Faults. Each lasts until it is set again.
    void setWatchStalled(std::size_t daemon, bool isStalled)
    {
        m_daemons[daemon]->isWatchStalled = isStalled;
    }
    void setStoreDelay(utils::milliseconds delay)
    {
        m_storeDelay = delay;
    }
    //! \brief Sets the shares of store replies and of peer messages that are lost.
    void setLossRates(double replies, double messages);
    void pauseDaemon(std::size_t daemon, utils::milliseconds duration);
    void startStoreOutage(utils::milliseconds duration);
    //! \brief Stops a daemon and starts it again without any configuration.
    void restartDaemon(std::size_t daemon);

    //! \brief Submits an edit of a data centre's overlay, based on the daemon's active record; returns its index.
    std::size_t submitOverlayEdit(std::size_t daemon, std::size_t site, int replicas);
    //! \brief Like submitOverlayEdit(), with all fields of the edit.
    std::size_t submitEdit(std::size_t daemon, settings::configuration_edit edit);

    const std::vector<submission>& submissions() const
    {
        return m_submissions;
    }
    //! \brief The record in the store; its revision is 0 if there is none.
    const settings::configuration_record& stored() const
    {
        return m_stored.record;
    }
    const settings::configuration_record& activeRecord(std::size_t daemon) const
    {
        return m_daemons[daemon]->replicator->activeRecord();
    }
    //! \brief Time at which the daemon activated the revision or a later one; time_point::max() if it has not done so.
    utils::time_point activeSince(std::size_t daemon, std::uint64_t revision) const;
    //! \brief Time at which the daemon last started or continued after a pause.
    utils::time_point runningSince(std::size_t daemon) const
    {
        return m_daemons[daemon]->runningSince;
    }
    //! \brief Number of records that were activated although their revision was not higher than the active one, and of
    //! writes whose revision did not directly follow the stored one.
    std::uint64_t orderViolationCount() const
    {
        return m_orderViolationCount;
    }
    std::uint64_t stalledWatchReportCount() const
    {
        return m_stalledWatchReportCount;
    }
    const traffic& totalTraffic() const
    {
        return m_traffic;
    }

private:
    struct daemon {
        std::unique_ptr<configuration::replicator> replicator;
        //! Incremented by each start; events of earlier starts are dropped.
        std::uint64_t startNumber = 0;
        bool isWatchStalled = false;
        utils::time_point pausedUntil;
        utils::time_point runningSince;
        std::map<std::uint64_t, utils::time_point> activationTimes;
    };

    //! A watch that waits in the store for a change.
    struct pending_watch {
        std::size_t daemon = 0;
        external::revision after = 0;
        std::function<void(absl::StatusOr<external::revision>, bool)> reply;
    };

    using reply_callback = std::function<void(const absl::Status&)>;

    void schedule(utils::time_point time, std::function<void()> event);
    void scheduleOnDaemon(std::size_t index, utils::time_point time, std::function<void()> event);
    utils::milliseconds randomDelay(int low, int high);
    bool isStoreDown() const
    {
        return m_now < m_storeDownUntil;
    }
    void startDaemon(std::size_t index);
    void tick(std::size_t index);
    void sendHeartbeats(std::size_t index);
    void executeActions(std::size_t index, const configuration::replicator_actions& actions);
    void callStore(std::size_t index, std::function<void()> effect, reply_callback reply);
    void readStore(std::size_t index, std::function<void(absl::StatusOr<configuration::stored_record>, external::revision)> reply);
    void watchStore(std::size_t index, external::revision after);
    void registerWatch(std::size_t index, external::revision after, const std::function<void(absl::StatusOr<external::revision>, bool)>& reply);
    absl::StatusOr<external::revision> writeStore(const configuration::write_record& request);
    void replyToWatches(const std::function<bool(const pending_watch&)>& isDue, const absl::StatusOr<external::revision>& revision, bool hasChange);
    void sendRecord(std::size_t from, const std::string& receiver);
    void executeEditAction(std::size_t submission, const std::shared_ptr<configuration::edit_transaction>& transaction, const configuration::edit_action& action);
    std::uint64_t recordSize(const settings::configuration_record& record);

    std::mt19937_64 m_random;
    utils::time_point m_now { utils::seconds(1000) };
    std::multimap<utils::time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<daemon>> m_daemons;
    configuration::stored_record m_stored;
    external::revision m_storeRevision = 0;
    std::map<std::uint64_t, pending_watch> m_pendingWatches;
    std::uint64_t m_nextWatchNumber = 0;
    utils::milliseconds m_storeDelay { 0 };
    utils::time_point m_storeDownUntil;
    double m_replyLossRate = 0;
    double m_messageLossRate = 0;
    std::vector<submission> m_submissions;
    std::uint64_t m_orderViolationCount = 0;
    std::uint64_t m_stalledWatchReportCount = 0;
    traffic m_traffic;
    std::map<std::uint64_t, std::uint64_t> m_recordSizes;
};

} // namespace camphorsaddle::bench
