#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "placement/batch_entry.h"
#include "placement/task_state_machine.h"

namespace camphorsaddle::placement {

//! \brief Number of failed attempts after which a task is parked.
inline constexpr std::uint32_t failedAttemptLimit = 5;

//! \brief Number of released delegated jobs that are remembered, so that a late offer of one is refused.
//!
//! A message from the home shard never arrives after so many other jobs were released.
inline constexpr std::size_t releasedJobLimit = 4096;

//! \brief State of one task.
struct task_record {
    task_state_machine machine;
    //! Number of the last attempt, 0 before the first.
    std::uint32_t attempt = 0;
    //! Failed attempts that count towards failedAttemptLimit.
    std::uint32_t failures = 0;
    //! Worker or remote shard of the last attempt.
    std::string worker;
    model::resources size;
    std::string checkpoint;
    parking_cause parkingCause = parking_cause::None;
};

//! \brief State of one job with its tasks.
struct job_record {
    //! Key of the job: "team/id", or the result of delegatedJobKey().
    std::string job;
    std::string team;
    std::string kind;
    bool isCancelled = false;
    std::vector<task_record> tasks;
    //! Shard that delegated the task; empty for a job that was submitted to this shard.
    std::string homeShard;
    std::uint64_t homeShardEpoch = 0;

    //! \brief Number of tasks in each phase, indexed by task_phase.
    std::array<std::uint32_t, taskPhaseCount> countPhases() const;
    //! \brief Whether all tasks are in a final phase.
    bool isEnded() const;
};

//! \brief Identifies a queue of pending tasks that are interchangeable for placement.
struct queue_key {
    std::string kind;
    std::string team;
    //! Delegated tasks are counted against the quota by their home shard.
    bool isDelegated = false;

    auto operator<=>(const queue_key&) const = default;
};

//! \brief Pending tasks by position, in the order in which they became pending.
using task_queue = std::map<std::uint64_t, task_id>;

//! \brief State of one batch shard: the result of applying its committed entries in order.
class shard_state {
public:
    //! \brief Applies a committed entry.
    //!
    //! Returns AlreadyExists, NotFound or FailedPrecondition and changes nothing when the entry does not fit the state.
    absl::Status apply(const batch_entry& change);

    const std::map<std::string, job_record>& jobs() const
    {
        return m_jobs;
    }

    const job_record* findJob(const std::string& job) const;
    const task_record* findTask(const task_id& task) const;

    //! \brief Queues of the tasks that wait for a worker; no queue is empty.
    const std::map<queue_key, task_queue>& queues() const
    {
        return m_queues;
    }

    //! \brief Parked tasks that are larger than every worker, by kind.
    const std::map<std::string, std::set<task_id>>& unschedulableTasks() const
    {
        return m_unschedulableTasks;
    }

    //! \brief Sum of the resources that are allocated to the tasks of a team.
    model::resources allocatedForTeam(const std::string& team) const;

    //! \brief Tasks to which resources of a worker are allocated.
    std::set<task_id> tasksOnWorker(const std::string& worker) const;

    //! \brief Number of the tasks that tasksOnWorker() returns.
    std::size_t taskCountOnWorker(const std::string& worker) const;

    //! \brief Sum of the allocated resources of a worker.
    model::resources allocatedOnWorker(const std::string& worker) const;

    //! \brief Tasks with an attempt that is being checkpointed, stopped or cancelled.
    const std::set<task_id>& terminatingTasks() const
    {
        return m_terminatingTasks;
    }

    //! \brief Keys of the jobs that \a homeShard delegated to this shard.
    std::set<std::string> jobsDelegatedBy(const std::string& homeShard) const;

    //! \brief Whether the delegated job was released and must not be accepted again.
    bool isReleased(const std::string& job) const
    {
        return m_releasedJobs.count(job) > 0;
    }

    //! \brief Released jobs, the oldest first.
    const std::deque<std::string>& releasedJobs() const
    {
        return m_releasedJobOrder;
    }

    //! \brief Remembers a released job; forgets the oldest one beyond releasedJobLimit.
    //!
    //! Snapshots restore them in the order of releasedJobs().
    void markReleased(const std::string& job);

    //! \brief Pending tasks that reached failedAttemptLimit.
    const std::set<task_id>& repeatedlyFailedTasks() const
    {
        return m_repeatedlyFailedTasks;
    }

    //! \brief Workers and remote shards on which resources are allocated.
    std::set<std::string> allocatedWorkers() const;

    //! \brief Longest time after a takeover until the leases of former owners have expired; zero when none was granted.
    utils::milliseconds formerLeaseEndBound() const
    {
        return m_formerLeaseEndBound;
    }

    //! \brief Restores a job from a snapshot.
    void restore(job_record job);
    void restoreFormerLeaseEndBound(utils::milliseconds leaseEndBound);

private:
    absl::Status applyChange(const job_accepted& change);
    absl::Status applyChange(const job_cancelled& change);
    absl::Status applyChange(const task_placed& change);
    absl::Status applyChange(const task_confirmed& change);
    absl::Status applyChange(const task_unconfirmed& change);
    absl::Status applyChange(const task_ended& change);
    absl::Status applyChange(const owner_changed& change);
    absl::Status applyChange(const renewals_extended& change);
    absl::Status applyChange(const task_evicting& change);
    absl::Status applyChange(const task_parking& change);
    absl::Status applyChange(const delegation_released& change);

    //! Whether the job was cancelled; an entry that was decided before the cancellation is then ignored.
    bool isJobCancelled(const task_id& task) const;
    //! The record of the task; an error unless \a attempt is its last attempt.
    absl::StatusOr<task_record*> findAttempt(const task_id& task, std::uint32_t attempt);
    //! Makes the transition and updates queues, allocations and indexes.
    absl::Status applyEvent(const task_id& task, task_record& record, task_event event);
    void addAllocation(const task_id& task, const task_record& record);
    void removeAllocation(const task_id& task, const task_record& record);
    void enqueue(const task_id& task);
    void dequeue(const task_id& task);
    void removeUnschedulableTask(const task_id& task);

    std::map<std::string, job_record> m_jobs;
    std::map<queue_key, task_queue> m_queues;
    std::map<std::string, std::set<task_id>> m_unschedulableTasks;
    std::map<std::string, model::resources> m_allocatedByTeam;
    //! Position of each pending task in its queue.
    std::map<task_id, std::uint64_t> m_queuePositions;
    std::map<std::string, std::set<task_id>> m_tasksByWorker;
    std::map<std::string, model::resources> m_allocatedByWorker;
    std::map<std::string, std::set<std::string>> m_delegatedJobs;
    std::set<std::string> m_releasedJobs;
    std::deque<std::string> m_releasedJobOrder;
    std::set<task_id> m_terminatingTasks;
    std::set<task_id> m_repeatedlyFailedTasks;
    utils::milliseconds m_formerLeaseEndBound { 0 };
    std::uint64_t m_nextQueuePosition = 1;
};

} // namespace camphorsaddle::placement
