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

    bool isLeaving(task_phase phase)
    {
        return phase == task_phase::Checkpointing || phase == task_phase::Stopping || phase == task_phase::Cancelling;
    }

} // namespace

std::string formatTask(const task_id& task)
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
    return std::visit([this](const auto& kind) { return applyChange(kind); }, change);
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

std::set<task_id> shard_state::tasksOn(const std::string& worker) const
{
    const auto found = m_tasksByWorker.find(worker);
    return found == m_tasksByWorker.end() ? std::set<task_id>() : found->second;
}

std::size_t shard_state::countOn(const std::string& worker) const
{
    const auto found = m_tasksByWorker.find(worker);
    return found == m_tasksByWorker.end() ? 0 : found->second.size();
}

model::resources shard_state::chargedTo(const std::string& worker) const
{
    const auto found = m_charged.find(worker);
    return found == m_charged.end() ? model::resources() : found->second;
}

model::resources shard_state::chargedFor(const std::string& team) const
{
    const auto found = m_chargedByTeam.find(team);
    return found == m_chargedByTeam.end() ? model::resources() : found->second;
}

std::set<std::string> shard_state::chargedWorkers() const
{
    std::set<std::string> workers;
    for (const auto& [name, tasks] : m_tasksByWorker)
        workers.insert(name);
    return workers;
}

void shard_state::restoreRenewalBound(utils::milliseconds bound)
{
    m_renewalBound = bound;
}

void shard_state::restore(job_record job)
{
    auto& record = m_jobs[job.job];
    record = std::move(job);
    if (!record.home.empty())
        m_guests[record.home].insert(record.job);
    for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
        const task_id task { record.job, index };
        auto& machine = record.tasks[index].machine;
        if (machine.phase() == task_phase::Evicted)
            machine = task_machine(task_phase::Pending);
        if (machine.phase() == task_phase::Pending)
            enqueue(task);
        if (machine.phase() == task_phase::Pending && record.tasks[index].failures >= attemptLimit)
            m_exhausted.insert(task);
        if (isCharged(machine.phase()))
            charge(task, record.tasks[index]);
        if (isLeaving(machine.phase()))
            m_leaving.insert(task);
        if (machine.phase() == task_phase::Parked && record.tasks[index].parkingCause == parking_cause::NeverFits)
            m_misfits[record.kind].insert(task);
    }
}

absl::Status shard_state::applyChange(const job_accepted& change)
{
    if (const auto* known = findJob(change.job))
        return utils::makeError(absl::StatusCode::kAlreadyExists, "accept a job", change.job, absl::StrCat("the id names a job of team ", known->team));
    if (isBarred(change.job))
        return utils::makeError(absl::StatusCode::kFailedPrecondition, "accept a task", change.job, "it was released");
    std::vector<task_record> tasks(change.tasks);
    for (auto& task : tasks)
        task.checkpoint = change.checkpoint;
    restore({ change.job, change.team, change.kind, false, std::move(tasks), change.home, change.homeEpoch });
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
        if (auto status = move({ change.job, index }, record, task_event::Cancel); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const task_placed& change)
{
    if (isOvertaken(change.task))
        return absl::OkStatus();
    auto record = attemptOf(change.task, change.attempt - 1);
    if (!record.ok())
        return record.status();
    if (auto status = (*record)->machine.fire(task_event::Placed); !status.ok())
        return status;
    dequeue(change.task);
    (*record)->attempt = change.attempt;
    (*record)->worker = change.worker;
    (*record)->size = change.size;
    charge(change.task, **record);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const task_confirmed& change)
{
    if (isOvertaken(change.task))
        return absl::OkStatus();
    auto record = attemptOf(change.task, change.attempt);
    if (!record.ok())
        return record.status();
    const bool isStarting = (*record)->machine.phase() == task_phase::Starting;
    return move(change.task, **record, isStarting ? task_event::StartConfirmed : task_event::SeenRunning);
}

absl::Status shard_state::applyChange(const task_unconfirmed& change)
{
    if (isOvertaken(change.task))
        return absl::OkStatus();
    auto record = attemptOf(change.task, change.attempt);
    if (!record.ok())
        return record.status();
    const bool isStarting = (*record)->machine.phase() == task_phase::Starting;
    return move(change.task, **record, isStarting ? task_event::StartLost : task_event::WorkerSilent);
}

absl::Status shard_state::applyChange(const task_ended& change)
{
    auto found = attemptOf(change.task, change.attempt);
    if (!found.ok())
        return found.status();
    auto& record = **found;
    if (auto status = move(change.task, record, eventOf(change.cause)); !status.ok())
        return status;
    if (change.cause == attempt_end_cause::Failed)
        ++record.failures;
    if (record.failures >= attemptLimit && record.machine.phase() == task_phase::Pending)
        m_exhausted.insert(change.task);
    if (!change.checkpoint.empty())
        record.checkpoint = change.checkpoint;
    if (record.machine.phase() == task_phase::Evicted)
        return move(change.task, record, task_event::Requeue);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const renewals_extended& change)
{
    m_renewalBound = change.isFormerEnded ? change.bound : std::max(m_renewalBound, change.bound);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const task_evicting& change)
{
    if (isOvertaken(change.task))
        return absl::OkStatus();
    auto found = attemptOf(change.task, change.attempt);
    if (!found.ok())
        return found.status();
    if (auto status = move(change.task, **found, eventOf(change.step)); !status.ok())
        return status;
    if (!change.checkpoint.empty())
        (*found)->checkpoint = change.checkpoint;
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const guest_released& change)
{
    const auto found = m_jobs.find(change.job);
    // The offer may have come between the decision and this entry.
    if (found != m_jobs.end() && !found->second.isEnded())
        return absl::OkStatus();
    bar(change.job);
    if (found == m_jobs.end())
        return absl::OkStatus();
    m_guests[found->second.home].erase(change.job);
    m_jobs.erase(found);
    return absl::OkStatus();
}

std::set<std::string> shard_state::guestsOf(const std::string& home) const
{
    const auto found = m_guests.find(home);
    return found == m_guests.end() ? std::set<std::string>() : found->second;
}

void shard_state::bar(const std::string& job)
{
    if (!m_barred.insert(job).second)
        return;
    m_barredOrder.push_back(job);
    if (m_barredOrder.size() <= barredLimit)
        return;
    m_barred.erase(m_barredOrder.front());
    m_barredOrder.pop_front();
}

absl::Status shard_state::applyChange(const task_parking& change)
{
    if (isOvertaken(change.task))
        return absl::OkStatus();
    const auto* known = findTask(change.task);
    if (known == nullptr)
        return utils::makeError(absl::StatusCode::kNotFound, "park a task", formatTask(change.task), "no such task");
    auto& record = m_jobs.at(change.task.job).tasks[change.task.index];
    const bool isParked = change.cause != parking_cause::None;
    if (auto status = move(change.task, record, isParked ? task_event::CannotRun : task_event::CanRun); !status.ok())
        return status;
    record.parkingCause = change.cause;
    if (change.cause == parking_cause::NeverFits)
        m_misfits[m_jobs.at(change.task.job).kind].insert(change.task);
    return absl::OkStatus();
}

absl::Status shard_state::applyChange(const owner_changed&)
{
    for (auto& [name, job] : m_jobs) {
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            auto& record = job.tasks[index];
            const auto phase = record.machine.phase();
            const bool isKnown = !isCharged(phase) || phase == task_phase::Uncertain || phase == task_phase::Cancelling;
            if (isKnown)
                continue;
            if (auto status = move({ name, index }, record, task_event::OwnerChanged); !status.ok())
                return status;
        }
    }
    return absl::OkStatus();
}

bool shard_state::isOvertaken(const task_id& task) const
{
    const auto* job = findJob(task.job);
    return job != nullptr && job->isCancelled;
}

absl::StatusOr<task_record*> shard_state::attemptOf(const task_id& task, std::uint32_t attempt)
{
    const auto* known = findTask(task);
    if (known == nullptr)
        return utils::makeError(absl::StatusCode::kNotFound, "apply an entry", formatTask(task), "no such task");
    if (known->attempt != attempt)
        return utils::makeError(absl::StatusCode::kFailedPrecondition, "apply an entry", formatTask(task), absl::StrCat("the entry names attempt ", attempt, ", the last one is ", known->attempt));
    return &m_jobs.at(task.job).tasks[task.index];
}

absl::Status shard_state::move(const task_id& task, task_record& record, task_event event)
{
    const auto before = record.machine.phase();
    if (auto status = record.machine.fire(event); !status.ok())
        return status;
    const auto after = record.machine.phase();
    if (isCharged(before) && !isCharged(after))
        discharge(task, record);
    if (before == task_phase::Pending)
        dequeue(task);
    if (before == task_phase::Parked)
        unpark(task);
    if (after == task_phase::Pending)
        enqueue(task);
    if (isLeaving(after))
        m_leaving.insert(task);
    else
        m_leaving.erase(task);
    return absl::OkStatus();
}

void shard_state::charge(const task_id& task, const task_record& record)
{
    m_tasksByWorker[record.worker].insert(task);
    auto& charged = m_charged[record.worker];
    charged = charged + record.size;
    auto& ofTeam = m_chargedByTeam[m_jobs.at(task.job).team];
    ofTeam = ofTeam + record.size;
}

void shard_state::discharge(const task_id& task, const task_record& record)
{
    auto& tasks = m_tasksByWorker[record.worker];
    tasks.erase(task);
    auto& charged = m_charged[record.worker];
    charged = charged - record.size;
    auto& ofTeam = m_chargedByTeam[m_jobs.at(task.job).team];
    ofTeam = ofTeam - record.size;
    if (!tasks.empty())
        return;
    m_tasksByWorker.erase(record.worker);
    m_charged.erase(record.worker);
}

void shard_state::enqueue(const task_id& task)
{
    const auto& job = m_jobs.at(task.job);
    m_places[task] = m_nextPlace;
    m_queues[{ job.kind, job.team, !job.home.empty() }][m_nextPlace++] = task;
}

void shard_state::dequeue(const task_id& task)
{
    m_exhausted.erase(task);
    const auto place = m_places.find(task);
    if (place == m_places.end())
        return;
    const auto& job = m_jobs.at(task.job);
    const auto queue = m_queues.find({ job.kind, job.team, !job.home.empty() });
    queue->second.erase(place->second);
    if (queue->second.empty())
        m_queues.erase(queue);
    m_places.erase(place);
}

void shard_state::unpark(const task_id& task)
{
    const auto kind = m_misfits.find(m_jobs.at(task.job).kind);
    if (kind == m_misfits.end())
        return;
    kind->second.erase(task);
    if (kind->second.empty())
        m_misfits.erase(kind);
}

} // namespace camphorsaddle::placement
