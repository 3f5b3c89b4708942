#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "placement/entry.h"
#include "placement/task_chart.h"

namespace camphorsaddle::placement {

//! \brief Failed attempts after which a task is parked.
inline constexpr std::uint32_t attemptLimit = 5;

//! \brief Released guests that are remembered; a message from their home is never that late.
inline constexpr std::size_t barredLimit = 4096;

struct task_record {
    task_machine machine;
    //! Number of the last attempt, 0 before the first.
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    //! Where the last attempt runs or ran.
    std::string worker;
    model::resources size;
    std::string checkpoint;
    parking_cause parkingCause = parking_cause::None;
};

struct job_record {
    std::string job;
    std::string team;
    std::string kind;
    bool isCancelled = false;
    std::vector<task_record> tasks;
    //! Shard that handed the task over; empty for a job of this shard.
    std::string home;
    std::uint64_t homeEpoch = 0;

    //! \brief Number of tasks in each phase.
    std::array<std::uint32_t, taskPhaseCount> countPhases() const;
    bool isEnded() const;
};

//! \brief Tasks of one queue are alike for the choice of what starts next.
struct queue_key {
    std::string kind;
    std::string team;
    //! Guests are counted against the quota at their home shard.
    bool isGuest = false;

    auto operator<=>(const queue_key&) const = default;
};

//! \brief Pending tasks in the order of acceptance or return.
using task_queue = std::map<std::uint64_t, task_id>;

//! \brief State of one batch shard: the result of its committed entries in order.
class shard_state {
public:
    //! \brief Applies a committed entry.
    //!
    //! Fails with NotFound or FailedPrecondition and changes nothing when the entry does not fit the state.
    absl::Status apply(const batch_entry& change);

    const std::map<std::string, job_record>& jobs() const
    {
        return m_jobs;
    }

    const job_record* findJob(const std::string& job) const;
    const task_record* findTask(const task_id& task) const;

    //! \brief Tasks that wait for a worker; no queue is empty.
    const std::map<queue_key, task_queue>& queues() const
    {
        return m_queues;
    }

    //! \brief Tasks that no worker can carry, by kind.
    const std::map<std::string, std::set<task_id>>& misfits() const
    {
        return m_misfits;
    }

    //! \brief Sum of what is charged to workers for a team.
    model::resources chargedFor(const std::string& team) const;

    //! \brief Tasks that are charged to a worker.
    std::set<task_id> tasksOn(const std::string& worker) const;

    std::size_t countOn(const std::string& worker) const;

    //! \brief Sum of what is charged to a worker.
    model::resources chargedTo(const std::string& worker) const;

    //! \brief Charged tasks that are being checkpointed, stopped or cancelled.
    const std::set<task_id>& leaving() const
    {
        return m_leaving;
    }

    //! \brief Jobs that a shard handed over.
    std::set<std::string> guestsOf(const std::string& home) const;

    //! \brief Whether the job was released and must not be accepted again.
    bool isBarred(const std::string& job) const
    {
        return m_barred.count(job) > 0;
    }

    const std::deque<std::string>& barred() const
    {
        return m_barredOrder;
    }

    //! \brief Restores a released job from a snapshot, the oldest first.
    void bar(const std::string& job);

    //! \brief Pending tasks whose attempts failed too often.
    const std::set<task_id>& exhausted() const
    {
        return m_exhausted;
    }

    //! \brief Workers to which something is charged.
    std::set<std::string> chargedWorkers() const;

    //! \brief Longest time after a takeover until the leases of former owners have ended; zero when none was granted.
    utils::milliseconds renewalBound() const
    {
        return m_renewalBound;
    }

    //! \brief Restores a job from a snapshot.
    void restore(job_record job);
    void restoreRenewalBound(utils::milliseconds bound);

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
    absl::Status applyChange(const guest_released& change);

    //! Whether a cancellation came between the decision for an entry and the entry.
    bool isOvertaken(const task_id& task) const;
    absl::StatusOr<task_record*> attemptOf(const task_id& task, std::uint32_t attempt);
    absl::Status move(const task_id& task, task_record& record, task_event event);
    void charge(const task_id& task, const task_record& record);
    void discharge(const task_id& task, const task_record& record);
    void enqueue(const task_id& task);
    void dequeue(const task_id& task);
    void unpark(const task_id& task);

    std::map<std::string, job_record> m_jobs;
    std::map<queue_key, task_queue> m_queues;
    std::map<std::string, std::set<task_id>> m_misfits;
    std::map<std::string, model::resources> m_chargedByTeam;
    std::map<task_id, std::uint64_t> m_places;
    std::map<std::string, std::set<task_id>> m_tasksByWorker;
    std::map<std::string, model::resources> m_charged;
    std::map<std::string, std::set<std::string>> m_guests;
    std::set<std::string> m_barred;
    std::deque<std::string> m_barredOrder;
    std::set<task_id> m_leaving;
    std::set<task_id> m_exhausted;
    utils::milliseconds m_renewalBound { 0 };
    std::uint64_t m_nextPlace = 1;
};

} // namespace camphorsaddle::placement
