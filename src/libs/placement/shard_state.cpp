#include "placement/shard_state.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::placement {

namespace {

    task_event eventOf(attempt_end_cause cause)
    {
        switch (cause) {
        case attempt_end_cause::Finished:
            return task_event::AttemptFinished;
        case attempt_end_cause::Failed:
        case attempt_end_cause::WorkerFault:
        case attempt_end_cause::Returned:
            return task_event::AttemptFailed;
        case attempt_end_cause::Refused:
            return task_event::StartRefused;
        case attempt_end_cause::NeverSeen:
            return task_event::NeverSeen;
        case attempt_end_cause::LeaseEnded:
            return task_event::LeaseEnded;
        case attempt_end_cause::Stopped:
            return task_event::StopConfirmed;
        }
        return task_event::AttemptFailed;
    }

    task_event eventOf(eviction_step step)
    {
        switch (step) {
        case eviction_step::Begun:
            return task_event::Evict;
        case eviction_step::CheckpointTaken:
            return task_event::CheckpointTaken;
        case eviction_step::CheckpointFailed:
            return task_event::CheckpointFailed;
        case eviction_step::StopBegun:
            break;
        }
        return task_event::Stop;
    }

    bool isTerminating(task_phase phase)
    {
        return phase == task_phase::Checkpointing || phase == task_phase::Stopping || phase == task_phase::Cancelling;
    }

} // namespace

std::string formatTaskId(const task_id& task)
{
    return absl::StrCat(task.job, "/", task.index);
}

absl::string_view toString(attempt_end_cause cause)
{
    static constexpr std::array<absl::string_view, 8> names { "finished", "failed", "refused", "never seen", "lease ended", "stopped", "worker fault", "returned" };
    return names[static_cast<std::size_t>(cause)];
}

std::array<std::uint32_t, taskPhaseCount> job_record::countPhases() const
{
    std::array<std::uint32_t, taskPhaseCount> counts {};
    for (const auto& task : tasks)
        ++counts[static_cast<std::size_t>(task.machine.phase())];
    return counts;
}

bool job_record::isEnded() const
{
    return std::all_of(tasks.begin(), tasks.end(), [](const task_record& task) { return task.machine.isFinal(); });
}

absl::Status shard_state::apply(const batch_entry& change)
{
    return std::visit([this](const auto& alternative) { return applyChange(alternative); }, change);
}

const job_record* shard_state::findJob(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const task_record* shard_state::findTask(const task_id& task) const
{
    const auto* job = findJob(task.job);
    return job == nullptr || task.index >= job->tasks.size() ? nullptr : &job->tasks[task.index];
}

std::set<task_id> shard_state::tasksOnWorker(const std::string& worker) const
{
    const auto found = m_tasksByWorker.find(worker);
    return found == m_tasksByWorker.end() ? std::set<task_id>() : found->second;
}

std::size_t shard_state::taskCountOnWorker(const std::string& worker) const
{
    const auto found = m_tasksByWorker.find(worker);
    return found == m_tasksByWorker.end() ? 0 : found->second.size();
}

model::resources shard_state::allocatedOnWorker(const std::string& worker) const
{
    const auto found = m_allocatedByWorker.find(worker);
    return found == m_allocatedByWorker.end() ? model::resources() : found->second;
}

model::resources shard_state::allocatedForTeam(const std::string& team) const
{
    const auto found = m_allocatedByTeam.find(team);
    return found == m_allocatedByTeam.end() ? model::resources() : found->second;
}

std::set<std::string> shard_state::allocatedWorkers() const
{
    std::set<std::string> workers;
    for (const auto& [name, tasks] : m_tasksByWorker)
        workers.insert(name);
    return workers;
}

void shard_state::restoreFormerLeaseEndBound(utils::milliseconds leaseEndBound)
{
    m_formerLeaseEndBound = leaseEndBound;
}

void shard_state::restore(job_record job)
{
    auto& record = m_jobs[job.job];
    record = std::move(job);
    if (!record.homeShard.empty())
        m_delegatedJobs[record.homeShard].insert(record.job);
    for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
        const task_id task { record.job, index };
        auto& machine = record.tasks[index].machine;
        if (machine.phase() == task_phase::Evicted)
            machine = task_state_machine(task_phase::Pending);
        if (machine.phase() == task_phase::Pending)
            enqueue(task);
        if (machine.phase() == task_phase::Pending && record.tasks[index].failures >= failedAttemptLimit)
            m_repeatedlyFailedTasks.insert(task);
        if (hasAllocation(machine.phase()))
            addAllocation(task, record.tasks[index]);
        if (isTerminating(machine.phase()))
            m_terminatingTasks.insert(task);
        if (machine.phase() == task_phase::Parked && record.tasks[index].parkingCause == parking_cause::NeverFits)
            m_unschedulableTasks[record.kind].insert(task);
    }
}

absl::Status shard_state::applyChange(const job_accepted& change)
{
    if (const auto* existing = findJob(change.job))
        return utils::makeError(absl::StatusCode::kAlreadyExists, "accept a job", change.job, absl::StrCat("the id is already used by a job of team ", existing->team));
    if (isReleased(change.job))
        return utils::makeError(absl::StatusCode::kFailedPrecondition, "accept a task", change.job, "the task was delegated to this shard before and has been released");
    std::vector<task_record> tasks(change.tasks);
    for (auto& task : tasks)
        task.checkpoint = change.checkpoint;
    restore({ change.job, change.team, change.kind, false, std::move(tasks), change.homeShard, change.homeShardEpoch });
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const job_cancelled& change)
{
    const auto found = m_jobs.find(change.job);
    if (found == m_jobs.end())
        return utils::makeError(absl::StatusCode::kNotFound, "cancel a job", change.job, "no such job");
    found->second.isCancelled = true;
    for (std::uint32_t index = 0; index < found->second.tasks.size(); ++index) {
        auto& record = found->second.tasks[index];
        if (record.machine.isFinal() || record.machine.phase() == task_phase::Cancelling)
            continue;
        if (auto status = applyEvent({ change.job, index }, record, task_event::Cancel); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const task_placed& change)
{
    if (isJobCancelled(change.task))
        return absl::OkStatus();
    auto record = findAttempt(change.task, change.attempt - 1);
    if (!record.ok())
        return record.status();
    if (auto status = (*record)->machine.fire(task_event::Placed); !status.ok())
        return status;
    dequeue(change.task);
    (*record)->attempt = change.attempt;
    (*record)->worker = change.worker;
    (*record)->size = change.size;
    addAllocation(change.task, **record);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const task_confirmed& change)
{
    if (isJobCancelled(change.task))
        return absl::OkStatus();
    auto record = findAttempt(change.task, change.attempt);
    if (!record.ok())
        return record.status();
    const bool isStarting = (*record)->machine.phase() == task_phase::Starting;
    return applyEvent(change.task, **record, isStarting ? task_event::StartConfirmed : task_event::SeenRunning);
}

absl::Status shard_state::applyChange(const task_unconfirmed& change)
{
    if (isJobCancelled(change.task))
        return absl::OkStatus();
    auto record = findAttempt(change.task, change.attempt);
    if (!record.ok())
        return record.status();
    const bool isStarting = (*record)->machine.phase() == task_phase::Starting;
    return applyEvent(change.task, **record, isStarting ? task_event::StartLost : task_event::WorkerSilent);
}

absl::Status shard_state::applyChange(const task_ended& change)
{
    auto found = findAttempt(change.task, change.attempt);
    if (!found.ok())
        return found.status();
    auto& record = **found;
    if (auto status = applyEvent(change.task, record, eventOf(change.cause)); !status.ok())
        return status;
    if (change.cause == attempt_end_cause::Failed)
        ++record.failures;
    if (record.failures >= failedAttemptLimit && record.machine.phase() == task_phase::Pending)
        m_repeatedlyFailedTasks.insert(change.task);
    if (!change.checkpoint.empty())
        record.checkpoint = change.checkpoint;
    if (record.machine.phase() == task_phase::Evicted)
        return applyEvent(change.task, record, task_event::Requeue);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const renewals_extended& change)
{
    m_formerLeaseEndBound = change.areFormerLeasesEnded ? change.leaseEndBound : std::max(m_formerLeaseEndBound, change.leaseEndBound);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const task_evicting& change)
{
    if (isJobCancelled(change.task))
        return absl::OkStatus();
    auto found = findAttempt(change.task, change.attempt);
    if (!found.ok())
        return found.status();
    if (auto status = applyEvent(change.task, **found, eventOf(change.step)); !status.ok())
        return status;
    if (!change.checkpoint.empty())
        (*found)->checkpoint = change.checkpoint;
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const delegation_released& change)
{
    const auto found = m_jobs.find(change.job);
    // The task may have been accepted after this entry was decided.
    if (found != m_jobs.end() && !found->second.isEnded())
        return absl::OkStatus();
    markReleased(change.job);
    if (found == m_jobs.end())
        return absl::OkStatus();
    m_delegatedJobs[found->second.homeShard].erase(change.job);
    m_jobs.erase(found);
    return absl::OkStatus();
}

std::set<std::string> shard_state::jobsDelegatedBy(const std::string& homeShard) const
{
    const auto found = m_delegatedJobs.find(homeShard);
    return found == m_delegatedJobs.end() ? std::set<std::string>() : found->second;
}

void shard_state::markReleased(const std::string& job)
{
    if (!m_releasedJobs.insert(job).second)
        return;
    m_releasedJobOrder.push_back(job);
    if (m_releasedJobOrder.size() <= releasedJobLimit)
        return;
    m_releasedJobs.erase(m_releasedJobOrder.front());
    m_releasedJobOrder.pop_front();
}

absl::Status shard_state::applyChange(const task_parking& change)
{
    if (isJobCancelled(change.task))
        return absl::OkStatus();
    const auto* existing = findTask(change.task);
    if (existing == nullptr)
        return utils::makeError(absl::StatusCode::kNotFound, "park a task", formatTaskId(change.task), "no such task");
    auto& record = m_jobs.at(change.task.job).tasks[change.task.index];
    const bool isParked = change.cause != parking_cause::None;
    if (auto status = applyEvent(change.task, record, isParked ? task_event::CannotRun : task_event::CanRun); !status.ok())
        return status;
    record.parkingCause = change.cause;
    if (change.cause == parking_cause::NeverFits)
        m_unschedulableTasks[m_jobs.at(change.task.job).kind].insert(change.task);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const owner_changed&)
{
    for (auto& [name, job] : m_jobs) {
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            auto& record = job.tasks[index];
            const auto phase = record.machine.phase();
            const bool isUnaffected = !hasAllocation(phase) || phase == task_phase::Uncertain || phase == task_phase::Cancelling;
            if (isUnaffected)
                continue;
            if (auto status = applyEvent({ name, index }, record, task_event::OwnerChanged); !status.ok())
                return status;
        }
    }
    return absl::OkStatus();
}

bool shard_state::isJobCancelled(const task_id& task) const
{
    const auto* job = findJob(task.job);
    return job != nullptr && job->isCancelled;
}

absl::StatusOr<task_record*> shard_state::findAttempt(const task_id& task, std::uint32_t attempt)
{
    const auto* record = findTask(task);
    if (record == nullptr)
        return utils::makeError(absl::StatusCode::kNotFound, "apply an entry", formatTaskId(task), "no such task");
    if (record->attempt != attempt)
        return utils::makeError(absl::StatusCode::kFailedPrecondition, "apply an entry", formatTaskId(task), absl::StrCat("the entry is for attempt ", attempt, ", but the last attempt is ", record->attempt));
    return &m_jobs.at(task.job).tasks[task.index];
}

absl::Status shard_state::applyEvent(const task_id& task, task_record& record, task_event event)
{
    const auto before = record.machine.phase();
    if (auto status = record.machine.fire(event); !status.ok())
        return status;
    const auto after = record.machine.phase();
    if (hasAllocation(before) && !hasAllocation(after))
        removeAllocation(task, record);
    if (before == task_phase::Pending)
        dequeue(task);
    if (before == task_phase::Parked)
        removeUnschedulableTask(task);
    if (after == task_phase::Pending)
        enqueue(task);
    if (isTerminating(after))
        m_terminatingTasks.insert(task);
    else
        m_terminatingTasks.erase(task);
    return absl::OkStatus();
}

void shard_state::addAllocation(const task_id& task, const task_record& record)
{
    m_tasksByWorker[record.worker].insert(task);
    auto& workerAllocation = m_allocatedByWorker[record.worker];
    workerAllocation = workerAllocation + record.size;
    auto& teamAllocation = m_allocatedByTeam[m_jobs.at(task.job).team];
    teamAllocation = teamAllocation + record.size;
}

void shard_state::removeAllocation(const task_id& task, const task_record& record)
{
    auto& tasks = m_tasksByWorker[record.worker];
    tasks.erase(task);
    auto& workerAllocation = m_allocatedByWorker[record.worker];
    workerAllocation = workerAllocation - record.size;
    auto& teamAllocation = m_allocatedByTeam[m_jobs.at(task.job).team];
    teamAllocation = teamAllocation - record.size;
    if (!tasks.empty())
        return;
    m_tasksByWorker.erase(record.worker);
    m_allocatedByWorker.erase(record.worker);
}

void shard_state::enqueue(const task_id& task)
{
    const auto& job = m_jobs.at(task.job);
    m_queuePositions[task] = m_nextQueuePosition;
    m_queues[{ job.kind, job.team, !job.homeShard.empty() }][m_nextQueuePosition++] = task;
}

void shard_state::dequeue(const task_id& task)
{
    m_repeatedlyFailedTasks.erase(task);
    const auto position = m_queuePositions.find(task);
    if (position == m_queuePositions.end())
        return;
    const auto& job = m_jobs.at(task.job);
    const auto queue = m_queues.find({ job.kind, job.team, !job.homeShard.empty() });
    queue->second.erase(position->second);
    if (queue->second.empty())
        m_queues.erase(queue);
    m_queuePositions.erase(position);
}

void shard_state::removeUnschedulableTask(const task_id& task)
{
    const auto kind = m_unschedulableTasks.find(m_jobs.at(task.job).kind);
    if (kind == m_unschedulableTasks.end())
        return;
    kind->second.erase(task);
    if (kind->second.empty())
        m_unschedulableTasks.erase(kind);
}

} // namespace camphorsaddle::placement
