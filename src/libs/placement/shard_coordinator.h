#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/command.h"
#include "placement/placer.h"
#include "placement/preemption.h"
#include "placement/renewal.h"
#include "placement/shard_state.h"
#include "placement/worker_health.h"

namespace camphorsaddle::placement {

//! \brief Decides for the owner of one batch shard; the caller carries out its commands and brings the answers.
//!
//! Every effect follows its committed entry and every grant of a lease an unexpired permission in the journal, so
//! that an owner that was paused or replaced starts nothing.
class shard_coordinator {
public:
    shard_coordinator(std::string name, const lease_terms& terms);

    const shard_state& state() const
    {
        return m_state;
    }

    //! \brief Whether this owner has taken the shard over and may append.
    bool isReady() const
    {
        return m_isReady;
    }

    //! \brief Replaces the state by a snapshot's.
    void restore(shard_state state);

    //! \brief Applies a committed entry.
    absl::Status apply(const batch_entry& change);

    //! \brief Begins the ownership under \a epoch, after all entries of former owners were applied.
    void takeOver(std::uint64_t epoch, utils::time_point now);
    //! \brief Ends the ownership.
    void release();

    //! \brief Sets the workers that the shard holds now.
    void setWorkers(const std::vector<model::host>& hosts);
    void setConfiguration(std::shared_ptr<const model::configuration> configuration);

    //! \brief Sets the shards that may take tasks over, with what they say is free.
    void setShards(const std::map<std::string, model::resources>& free);

    //! \brief What is free for tasks of other shards: nothing while own tasks wait.
    model::resources freeForGuests() const;

    //! \brief Takes a task of shard \a home over; answered by an answer_home command.
    void onOffer(const std::string& home, const guest_offer& offer);
    //! \brief Stops a task of another shard; answered by an answer_home command, perhaps only after a repetition.
    void onRecall(const std::string& home, const attempt_name& name);
    //! \brief Forgets ended tasks of another shard that it knows of.
    void onAcknowledged(const std::string& home, const std::vector<attempt_name>& names);
    //! \brief What a shard is told of its tasks.
    std::vector<attempt_status> reportGuests(const std::string& home) const;

    //! \brief Asks for the eviction of a running attempt. A forced one stops it even when no checkpoint can be had.
    void evict(const task_id& task, bool isForced);

    //! \brief Tasks that are to give way to urgent ones, by worker.
    const std::map<std::string, std::vector<task_id>>& preemptions() const
    {
        return m_preemptions;
    }

    //! \brief Places pending tasks, renews leases and settles what is uncertain; called often.
    void drive(utils::time_point now, bool isStoreReachable);

    //! \brief The commands since the last call, to be carried out in order.
    std::vector<command> takeCommands();

    void onAppended(const batch_entry& change, bool isCommitted, utils::time_point now);
    void onStarted(const task_placed& placed, start_outcome outcome, utils::time_point now);
    //! \brief Takes the attempts that a worker holds, or nothing when it did not answer.
    void onReport(const std::string& worker, const std::optional<std::vector<attempt_status>>& reports, utils::time_point now);
    //! \brief Takes a checkpoint, or nothing when none was taken.
    void onCheckpoint(const task_id& task, std::uint32_t attempt, const std::optional<std::string>& checkpoint);
    void onStopped(const task_id& task, std::uint32_t attempt, stop_outcome outcome, utils::time_point now);

    //! \brief The worker with its address; nothing when it is not known.
    const model::host* findWorker(const std::string& worker) const;

private:
    struct worker_contact {
        worker_view view;
        utils::time_point nextCall;
        //! No lease that this owner granted ends later, but for calls under way.
        utils::time_point leaseEnd;
        std::size_t grantsUnderWay = 0;
        bool isCalling = false;
        bool isRenewing = false;
        //! The last call failed: contact is sought without renewing.
        bool isSilent = true;
        std::vector<attempt_name> toAcknowledge;
        //! What was charged to the worker when it was asked.
        std::map<task_id, std::uint32_t> asked;
    };

    struct eviction {
        std::uint32_t attempt = 0;
        bool isForced = false;
        utils::milliseconds checkpointLimit { 0 };
        unsigned mostTries = 0;
        unsigned failures = 0;
        utils::time_point notBefore;
    };

    struct checkpoint_call {
        std::uint32_t attempt = 0;
        utils::time_point deadline;
    };

    void commit(const task_id& task, batch_entry change);
    void adoptChargedWorkers();
    void extendRenewals(utils::time_point now);
    void contact(const std::string& worker, worker_contact& known, utils::time_point now);
    void expireLeases(const std::string& worker, const worker_contact& known, utils::time_point now);
    void driveLeaving(utils::time_point now);
    void driveEvictions(utils::time_point now);
    void expireCheckpoints(utils::time_point now);
    void failCheckpoint(const task_id& task, utils::time_point now);
    void park(utils::time_point now);
    void unpark();
    void place(utils::time_point now);
    void preempt(const std::vector<task_id>& blocked, const worker_views& views, utils::time_point now);
    worker_views viewWorkers(utils::time_point now) const;
    std::set<task_id> heldTasks(utils::time_point now);
    bool canEverFit(const std::string& kind) const;
    bool hasCheckpoints(const task_id& task) const;
    void start(const task_placed& placed, utils::time_point now);
    void stopTask(const task_id& task, utils::time_point now);
    void settleMissing(const task_id& task, utils::time_point now);
    void onAttempt(const std::string& worker, worker_contact& known, const attempt_status& report, utils::time_point now);
    void onEnd(const task_id& task, const task_record& record, const attempt_status& report, utils::time_point now);
    void noteWork(const batch_entry& change, utils::time_point now);
    void endGrant(worker_contact& known, utils::time_point now);
    const task_record* currentAttempt(const task_id& task, std::uint32_t attempt) const;

    void answerCommitted(const batch_entry& change);

    std::string m_name;
    lease_terms m_terms;
    shard_state m_state;
    renewal_window m_window;
    worker_health m_health;
    std::map<std::string, worker_contact> m_workers;
    std::shared_ptr<const model::configuration> m_configuration;
    std::vector<command> m_commands;
    //! Tasks with an entry or a command under way.
    std::set<task_id> m_busy;
    //! Recalls that wait for the end of the task's stop or for an entry.
    std::map<std::string, guest_outcome> m_recalls;
    std::map<task_id, eviction> m_evictions;
    std::map<task_id, checkpoint_call> m_checkpoints;
    //! Tasks that wait after a failure or before another try to stop them.
    std::map<task_id, utils::time_point> m_notBefore;
    //! Last checkpoint, or start, of running tasks.
    std::map<task_id, utils::time_point> m_workSince;
    std::map<std::string, std::vector<task_id>> m_preemptions;
    //! When a kind with pending tasks began to fit no worker.
    std::map<std::string, utils::time_point> m_misfitSince;
    unsigned m_sincePatient = 0;
    std::size_t m_placing = 0;
    std::uint64_t m_epoch = 0;
    //! All leases of former owners have ended.
    utils::time_point m_formerEnd;
    bool m_isFormerEnded = false;
    bool m_isReady = false;
};

//! \brief Prefix of the names under which shards stand among the workers.
inline constexpr absl::string_view shardPrefix = "shard:";

//! \brief Key of the job under which a shard holds an attempt of its home.
std::string guestKey(absl::string_view home, const attempt_name& name);

//! \brief Reverses guestKey(); InvalidArgument for anything else.
absl::StatusOr<attempt_name> parseGuest(const std::string& job);

//! \brief Reverses formatTask(); InvalidArgument for anything else.
absl::StatusOr<task_id> parseTask(const std::string& name);

} // namespace camphorsaddle::placement
