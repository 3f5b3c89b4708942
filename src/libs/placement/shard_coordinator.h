#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/command.h"
#include "placement/evacuations.h"
#include "placement/lease_renewal.h"
#include "placement/placer.h"
#include "placement/preemption.h"
#include "placement/shard_state.h"
#include "placement/worker_health.h"

namespace camphorsaddle::placement {

//! \brief Makes the decisions of the owner of one batch shard.
//!
//! The caller executes the commands of takeCommands() and passes the answers to the on...() functions. Each command to
//! a worker is issued after the journal entry for it is committed, and leases are granted only while a committed entry
//! permits it, so that an owner that was paused or replaced starts no tasks.
class shard_coordinator {
public:
    shard_coordinator(std::string name, const lease_terms& terms);

    const shard_state& state() const
    {
        return m_state;
    }

    //! \brief Whether this owner has taken over the shard and may append entries.
    bool isReady() const
    {
        return m_isReady;
    }

    //! \brief Replaces the state by the one of a snapshot.
    void restore(shard_state state);

    //! \brief Applies a committed entry.
    absl::Status apply(const batch_entry& change);

    //! \brief Starts the ownership under \a epoch, after all entries of former owners were applied.
    void takeOver(std::uint64_t epoch, utils::time_point now);
    //! \brief Ends the ownership and discards commands that were not taken.
    void release();

    //! \brief Sets the workers that belong to the shard.
    void setWorkers(const std::vector<model::host>& hosts);
    void setConfiguration(std::shared_ptr<const model::configuration> configuration);

    //! \brief Sets the data centres under evacuation; before the first call nothing is started.
    //!
    //! Nothing is started or delegated while they are unknown. On workers in an evacuated data centre nothing is started,
    //! and no task is preempted; tasks that run there go on and their leases are renewed.
    void setEvacuations(evacuations value);

    //! \brief Sets the remote shards that accept tasks, with the resources that they report as free.
    void setRemoteShards(const std::map<std::string, model::resources>& free);

    //! \brief Free resources for tasks of other shards; none while tasks of this shard are pending, and none on closed workers.
    model::resources resourcesForDelegation(utils::time_point now) const;

    //! \brief Handles the offer of a task by \a homeShard; answered by an answer_home_shard command.
    //!
    //! Refuses the attempt for good while all workers are in evacuated data centres.
    void onOffer(const std::string& homeShard, const delegation_offer& offer, utils::time_point now);
    //! \brief Handles the recall of a delegated task by \a homeShard, and stops the task.
    //!
    //! Answered by an answer_home_shard command, possibly only after the home shard has repeated the recall.
    void onRecall(const std::string& homeShard, const attempt_id& attempt);
    //! \brief Releases ended tasks whose results \a homeShard has stored.
    void onAcknowledged(const std::string& homeShard, const std::vector<attempt_id>& attempts);
    //! \brief State of the tasks that \a homeShard delegated to this shard.
    std::vector<attempt_status> reportDelegatedTasks(const std::string& homeShard) const;

    //! \brief Requests the eviction of a running attempt. If \a isForced, it is stopped even when no checkpoint can be taken.
    void evict(const task_id& task, bool isForced);

    //! \brief Tasks that are evicted to make room for urgent ones, by worker.
    const std::map<std::string, std::vector<task_id>>& preemptions() const
    {
        return m_preemptions;
    }

    //! \brief Places pending tasks, renews leases, and resolves uncertain attempts; to be called periodically.
    void runCycle(utils::time_point now, bool isStoreReachable);

    //! \brief Returns the commands since the last call, to be executed in order.
    std::vector<command> takeCommands();

    void onAppended(const batch_entry& change, bool isCommitted, utils::time_point now);
    void onStarted(const task_placed& placed, start_outcome outcome, utils::time_point now);
    //! \brief Handles the attempts that a worker reports; \a reports is unset when the worker did not answer.
    void onReport(const std::string& worker, const std::optional<std::vector<attempt_status>>& reports, utils::time_point now);
    //! \brief Handles the answer to take_checkpoint; \a checkpoint is unset when none was taken.
    void onCheckpoint(const task_id& task, std::uint32_t attempt, const std::optional<std::string>& checkpoint);
    void onStopped(const task_id& task, std::uint32_t attempt, stop_outcome outcome, utils::time_point now);

    //! \brief The worker with its address; null when it is unknown.
    const model::host* findWorker(const std::string& worker) const;

private:
    //! State of the calls to one worker or remote shard.
    struct worker_contact {
        worker_view view;
        utils::time_point nextCallTime;
        //! Latest end of the leases that this owner granted, without pendingGrants.
        utils::time_point leaseEnd;
        //! Unanswered calls that start attempts or renew leases.
        std::size_t pendingGrants = 0;
        bool isCallPending = false;
        bool isRenewalPending = false;
        //! The last call failed; the worker is called without renewing leases until it answers.
        bool isUnresponsive = true;
        //! Ended attempts that the worker may forget.
        std::vector<attempt_id> attemptsToAcknowledge;
        //! Attempts that were allocated to the worker when the pending call was sent.
        std::map<task_id, std::uint32_t> expectedAttempts;
    };

    //! A requested eviction of a running attempt.
    struct eviction_request {
        std::uint32_t attempt = 0;
        bool isForced = false;
        utils::milliseconds checkpointTimeout { 0 };
        unsigned maximumCheckpointTries = 0;
        unsigned failedCheckpoints = 0;
        utils::time_point retryTime;
    };

    struct pending_checkpoint {
        std::uint32_t attempt = 0;
        utils::time_point deadline;
    };

    //! Marks the task as busy and requests the append.
    void appendTaskEntry(const task_id& task, batch_entry change);
    void addUnlistedWorkers();
    void extendRenewalWindow(utils::time_point now);
    void callWorker(const std::string& worker, worker_contact& contact, utils::time_point now);
    void expireLeases(const std::string& worker, const worker_contact& contact, utils::time_point now);
    void advanceTerminatingTasks(utils::time_point now);
    void advanceEvictions(utils::time_point now);
    void expirePendingCheckpoints(utils::time_point now);
    void handleCheckpointFailure(const task_id& task, utils::time_point now);
    void parkTasks(utils::time_point now);
    void unparkTasks();
    void placeTasks(utils::time_point now);
    void startPreemptions(const std::vector<task_id>& blockedTasks, const worker_views& views, utils::time_point now);
    worker_views makeWorkerViews(utils::time_point now) const;
    //! Tasks that must not be placed now; also removes expired retry times.
    std::set<task_id> collectExcludedTasks(utils::time_point now);
    bool canFitAnyWorker(const std::string& kind) const;
    //! Whether a task may be sent to the worker or remote shard.
    bool allowsStarts(const worker_view& view, utils::time_point now) const;
    //! Whether there are live workers and all of them are in evacuated data centres.
    bool isEvacuated(utils::time_point now) const;
    void returnDelegatedTasks(utils::time_point now);
    bool hasCheckpoints(const task_id& task) const;
    void startTask(const task_placed& placed, utils::time_point now);
    void stopTask(const task_id& task, utils::time_point now);
    void resolveMissingAttempt(const task_id& task, utils::time_point now);
    void onAttemptReported(const std::string& worker, worker_contact& contact, const attempt_status& report, utils::time_point now);
    void onAttemptEnded(const task_id& task, const task_record& record, const attempt_status& report, utils::time_point now);
    void updateUnsavedWork(const batch_entry& change, utils::time_point now);
    void completeGrant(worker_contact& contact, utils::time_point now);
    //! The record of the task if \a attempt is its last one and has allocated resources; null otherwise.
    const task_record* findCurrentAttempt(const task_id& task, std::uint32_t attempt) const;

    void answerHomeShard(const batch_entry& change);

    std::string m_name;
    lease_terms m_terms;
    shard_state m_state;
    renewal_window m_renewalWindow;
    worker_health m_workerHealth;
    std::map<std::string, worker_contact> m_workers;
    std::shared_ptr<const model::configuration> m_configuration;
    std::vector<command> m_commands;
    //! Tasks with an uncommitted entry or an unanswered command.
    std::set<task_id> m_busyTasks;
    evacuations m_evacuations;
    //! Answers to recalls and refused offers, by delegated job, that are sent when the job's release is committed.
    std::map<std::string, delegation_outcome> m_pendingReleases;
    //! Delegated jobs whose cancellation, which returns them to their home shard, is not committed yet.
    std::set<std::string> m_pendingReturns;
    std::map<task_id, eviction_request> m_evictions;
    std::map<task_id, pending_checkpoint> m_pendingCheckpoints;
    //! When tasks may be placed again after a failure, or stopped again after an unanswered stop.
    std::map<task_id, utils::time_point> m_retryTimes;
    //! Time of the last checkpoint of running tasks, or of their start.
    std::map<task_id, utils::time_point> m_unsavedWorkSince;
    std::map<std::string, std::vector<task_id>> m_preemptions;
    //! Since when no worker is large enough for a kind with pending tasks.
    std::map<std::string, utils::time_point> m_unschedulableSince;
    unsigned m_startsSincePatient = 0;
    //! Uncommitted task_placed entries.
    std::size_t m_pendingPlacements = 0;
    std::uint64_t m_epoch = 0;
    //! Time at which all leases of former owners have expired.
    utils::time_point m_formerLeasesEnd;
    bool m_areFormerLeasesEnded = false;
    bool m_isReady = false;
};

//! \brief Prefix of the names of remote shards among the workers.
inline constexpr absl::string_view remoteShardPrefix = "shard:";

//! \brief Key of the job as which a shard stores an attempt that \a homeShard delegated to it.
std::string delegatedJobKey(absl::string_view homeShard, const attempt_id& attempt);

//! \brief Parses the result of delegatedJobKey(); InvalidArgument for any other text.
absl::StatusOr<attempt_id> parseDelegatedJobKey(const std::string& key);

//! \brief Parses the result of formatTaskId(); InvalidArgument for any other text.
absl::StatusOr<task_id> parseTaskId(const std::string& text);

} // namespace camphorsaddle::placement
