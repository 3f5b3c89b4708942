#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "configuration/spread.h"

namespace camphorsaddle::bench {

//! \brief Daemons, their store and their operators on a virtual clock, driving the real decisions.
//!
//! One daemon a data centre. Store calls, watches, messages and heartbeats take random times.
class deployment_model {
public:
    struct submission {
        std::size_t daemon = 0;
        settings::configuration_edit edit;
        bool hasEnded = false;
        utils::time_point endedAt;
        configuration::edit_outcome outcome;
    };

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
    void run(utils::milliseconds span);

    // Faults. Each holds until it is set anew.
    void setSilentWatch(std::size_t daemon, bool isSilent)
    {
        m_daemons[daemon]->isWatchSilent = isSilent;
    }
    void setStoreDelay(utils::milliseconds delay)
    {
        m_storeDelay = delay;
    }
    //! Shares of store answers and of peer messages that are lost.
    void setLoss(double answers, double messages);
    void pauseDaemon(std::size_t daemon, utils::milliseconds span);
    void stopStore(utils::milliseconds span);
    //! Ends a daemon and starts it anew, without any configuration.
    void restartDaemon(std::size_t daemon);

    //! \brief An edit of a data centre's overlay, based on what the daemon has in force; returns its index.
    std::size_t submit(std::size_t daemon, std::size_t site, int replicas);
    //! \brief As submit, with all fields given.
    std::size_t submitEdit(std::size_t daemon, settings::configuration_edit edit);

    const std::vector<submission>& submissions() const
    {
        return m_submissions;
    }
    //! \brief The record that the store holds; revision 0 for none.
    const settings::configuration_record& stored() const
    {
        return m_stored.record;
    }
    const settings::configuration_record& inForce(std::size_t daemon) const
    {
        return m_daemons[daemon]->decisions->record();
    }
    //! \brief When the daemon first had the revision or a later one; the clock's end when it has not.
    utils::time_point inForceSince(std::size_t daemon, std::uint64_t revision) const;
    //! \brief When the daemon last was resumed or started anew.
    utils::time_point liveSince(std::size_t daemon) const
    {
        return m_daemons[daemon]->liveSince;
    }
    //! \brief Records taken over whose revision was not greater, and writes that did not follow the one before.
    std::uint64_t reversals() const
    {
        return m_reversals;
    }
    std::uint64_t silentWatches() const
    {
        return m_silentWatches;
    }
    const traffic& counted() const
    {
        return m_traffic;
    }

private:
    struct daemon {
        std::unique_ptr<configuration::spread> decisions;
        //! Events of a former start are dropped.
        std::uint64_t start = 0;
        bool isWatchSilent = false;
        utils::time_point pausedUntil;
        utils::time_point liveSince;
        std::map<std::uint64_t, utils::time_point> applied;
    };

    struct waiter {
        std::size_t daemon = 0;
        external::revision after = 0;
        std::function<void(absl::StatusOr<external::revision>, bool)> answer;
    };

    using store_answer = std::function<void(const absl::Status&)>;

    void at(utils::time_point time, std::function<void()> event);
    void atDaemon(std::size_t index, utils::time_point time, std::function<void()> event);
    utils::milliseconds between(int low, int high);
    bool isStoreDown() const
    {
        return m_now < m_storeDownUntil;
    }
    void startDaemon(std::size_t index);
    void tick(std::size_t index);
    void beat(std::size_t index);
    void perform(std::size_t index, const configuration::spread_actions& actions);
    void callStore(std::size_t index, std::function<void()> effect, store_answer answer);
    void readStore(std::size_t index, std::function<void(absl::StatusOr<configuration::stored_record>, external::revision)> answer);
    void watchStore(std::size_t index, external::revision after);
    void registerWatch(std::size_t index, external::revision after, const std::function<void(absl::StatusOr<external::revision>, bool)>& answer);
    absl::StatusOr<external::revision> writeStore(const configuration::write_record& request);
    void answerWaiters(const std::function<bool(const waiter&)>& isDue, const absl::StatusOr<external::revision>& at, bool hasChange);
    void sendRecord(std::size_t from, const std::string& receiver);
    void performEdit(std::size_t submission, const std::shared_ptr<configuration::edit_process>& process, const configuration::edit_step& step);
    std::uint64_t sizeOf(const settings::configuration_record& record);

    std::mt19937_64 m_random;
    utils::time_point m_now { utils::seconds(1000) };
    std::multimap<utils::time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<daemon>> m_daemons;
    configuration::stored_record m_stored;
    external::revision m_storeRevision = 0;
    std::map<std::uint64_t, waiter> m_waiters;
    std::uint64_t m_nextWaiter = 0;
    utils::milliseconds m_storeDelay { 0 };
    utils::time_point m_storeDownUntil;
    double m_answerLoss = 0;
    double m_messageLoss = 0;
    std::vector<submission> m_submissions;
    std::uint64_t m_reversals = 0;
    std::uint64_t m_silentWatches = 0;
    traffic m_traffic;
    std::map<std::uint64_t, std::uint64_t> m_sizes;
};

} // namespace camphorsaddle::bench
