#pragma once

#include <deque>
#include <memory>
#include <random>

#include "placement/shard_coordinator.h"
#include "standins/virtual_clock.h"

namespace camphorsaddle::placement {

//! \brief How messages to one worker fare.
enum class link_state {
    Good,
    CommandsLost,
    //! Commands arrive late and their answers are lost.
    AnswersLost,
};

enum class checkpoint_state {
    Good,
    Failing,
    Silent,
};

//! \brief One shard with its journal, its owners of all times and its workers, under a virtual clock.
class shard_world {
public:
    shard_world(standins::virtual_clock& clock, std::string name, unsigned seed, const model::configuration& configuration, std::size_t workers);

    //! \brief Lets this shard hand tasks over to another one.
    void setPeer(shard_world& peer);
    void setPeerLink(link_state state);

    void run(utils::milliseconds duration);
    void submit(std::uint32_t tasks, const std::string& kind = "small");
    void cancel(std::size_t choice);
    //! \brief Ends a running attempt.
    void end(std::size_t choice, bool isFailed);
    void evict(std::size_t choice, bool isForced);
    void takeOver();
    void pause();
    void resume();
    void crash();
    void setOutage(bool isOut);
    void setLink(std::size_t choice, link_state state);
    void setCheckpoints(std::size_t choice, checkpoint_state state);
    void restartWorker(std::size_t choice);
    void toggleListed(std::size_t choice);
    //! \brief Mends everything and runs until each task has ended; whether that happened.
    bool settle();
    void mend();

    //! \brief What broke a promise; empty when nothing did.
    const std::string& violation() const
    {
        return m_violation;
    }

    const shard_state& truth() const
    {
        return m_truth;
    }

    //! \brief Evictions begun so far.
    std::size_t evictions() const
    {
        return m_evictions;
    }

    std::size_t resumed() const
    {
        return m_resumed;
    }

private:
    struct attempt {
        attempt_phase phase = attempt_phase::Running;
        std::uint64_t epoch = 0;
        model::resources size;
        utils::time_point leaseEnd;
        utils::time_point started;
        std::string checkpoint;
    };

    struct worker {
        model::host host;
        bool isListed = true;
        link_state link = link_state::Good;
        checkpoint_state checkpoints = checkpoint_state::Good;
        std::map<attempt_name, attempt> attempts;
        std::set<attempt_name> barred;
    };

    struct owner {
        owner(const std::string& name, const lease_terms& terms)
            : coordinator(name, terms)
        {
        }

        shard_coordinator coordinator;
        std::uint64_t epoch = 0;
        bool isPaused = false;
        bool isDead = false;
        std::vector<std::function<void()>> deferred;
        std::deque<batch_entry> waiting;
    };

    using owner_pointer = std::shared_ptr<owner>;

    void tick();
    void append(const owner_pointer& by, const batch_entry& change);
    void writeJournal();
    void deliver(const owner_pointer& to, const std::function<void()>& event);
    void carryOut(const owner_pointer& by);
    void carryOut(const owner_pointer& by, const append_entry& command);
    void carryOut(const owner_pointer& by, const start_attempt& command);
    void carryOut(const owner_pointer& by, const read_inventory& command);
    void carryOut(const owner_pointer& by, const renew_leases& command);
    void carryOut(const owner_pointer& by, const take_checkpoint& command);
    void carryOut(const owner_pointer& by, const stop_attempt& command);
    void carryOut(const owner_pointer& by, const answer_home& command);
    void offer(const owner_pointer& by, const start_attempt& command);
    void reportGuests(const owner_pointer& by, const std::vector<attempt_name>& acknowledged);
    void recall(const owner_pointer& by, const stop_attempt& command);
    void callPeer(const owner_pointer& by, const std::function<void(shard_coordinator&)>& arrive, std::function<void(bool)> answer);
    void checkPlaces(const std::string& task, const std::string& worker);
    void call(const owner_pointer& by, const std::string& worker, std::function<void()> arrive, std::function<void(bool)> answer);
    void arriveStart(const owner& by, const start_attempt& command, start_outcome& outcome);
    void expire(worker& host);
    std::vector<attempt_status> report(const worker& host) const;
    std::vector<std::pair<worker*, attempt_name>> running();
    worker& pick(std::size_t choice);
    utils::milliseconds draw(int least, int most);
    void violate(const std::string& text);

    standins::virtual_clock& m_clock;
    std::string m_name;
    shard_world* m_peer = nullptr;
    //! Shard that hands tasks over to this one.
    shard_world* m_home = nullptr;
    link_state m_peerLink = link_state::Good;
    std::map<std::string, guest_outcome> m_answers;
    std::mt19937 m_generator;
    lease_terms m_terms;
    std::shared_ptr<const model::configuration> m_configuration;
    std::map<std::string, worker> m_workers;
    std::vector<batch_entry> m_log;
    shard_state m_truth;
    std::vector<owner_pointer> m_owners;
    std::map<attempt_name, std::string> m_expectedCheckpoints;
    std::map<attempt_name, std::string> m_places;
    std::set<attempt_name> m_started;
    std::string m_violation;
    std::size_t m_resumed = 0;
    std::size_t m_evictions = 0;
    std::uint32_t m_jobs = 0;
    std::uint32_t m_checkpointCount = 0;
    bool m_isOut = false;
    bool m_isSettling = false;
};

} // namespace camphorsaddle::placement
