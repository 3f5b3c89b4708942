#include <algorithm>

#include "absl/strings/numbers.h"
#include "placement/shard_coordinator.h"
#include "utils/errors.h"

namespace camphorsaddle::placement {

namespace {

    constexpr utils::milliseconds silentRetry { 500 };
    constexpr utils::milliseconds failureBackoff { 1000 };
    constexpr std::uint32_t longestDoubling = 5;

} // namespace

absl::StatusOr<task_id> parseTask(const std::string& name)
{
    const auto slash = name.rfind('/');
    task_id task;
    if (slash == std::string::npos || !absl::SimpleAtoi(name.substr(slash + 1), &task.index))
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read a report", name, "not the name of a task");
    task.job = name.substr(0, slash);
    return task;
}

void shard_coordinator::onAppended(const batch_entry& change, bool isCommitted, utils::time_point now)
{
    std::visit([this](const auto& kind) {
        if constexpr (requires { kind.task; })
            m_busy.erase(kind.task);
    },
        change);
    if (isCommitted)
        answerCommitted(change);
    if (std::holds_alternative<owner_changed>(change))
        m_isReady = isCommitted;
    if (std::holds_alternative<renewals_extended>(change)) {
        m_window.settle(m_terms, isCommitted);
        return;
    }
    if (isCommitted)
        noteWork(change, now);
    const auto* placed = std::get_if<task_placed>(&change);
    if (placed == nullptr)
        return;
    --m_placing;
    if (!isCommitted)
        return;
    // The task may have been cancelled between the two entries.
    if (m_state.findTask(placed->task)->machine.phase() == task_phase::Starting)
        start(*placed, now);
}

void shard_coordinator::noteWork(const batch_entry& change, utils::time_point now)
{
    if (const auto* confirmed = std::get_if<task_confirmed>(&change))
        m_workSince[confirmed->task] = now;
    if (const auto* step = std::get_if<task_evicting>(&change); step != nullptr && step->step == eviction_step::CheckpointTaken)
        m_workSince[step->task] = now;
    if (const auto* ended = std::get_if<task_ended>(&change))
        m_workSince.erase(ended->task);
}

// A command arrives at the latest when its answer or failure does.
void shard_coordinator::endGrant(worker_contact& known, utils::time_point now)
{
    --known.grantsUnderWay;
    known.leaseEnd = std::max(known.leaseEnd, now + m_terms.lease + m_terms.clockDriftAllowance);
}

void shard_coordinator::onStarted(const task_placed& placed, start_outcome outcome, utils::time_point now)
{
    m_busy.erase(placed.task);
    if (const auto found = m_workers.find(placed.worker); found != m_workers.end())
        endGrant(found->second, now);
    const auto* record = currentAttempt(placed.task, placed.attempt);
    if (record == nullptr || record->machine.phase() != task_phase::Starting)
        return;
    switch (outcome) {
    case start_outcome::Confirmed:
        commit(placed.task, task_confirmed { placed.task, placed.attempt });
        break;
    case start_outcome::Refused:
        commit(placed.task, task_ended { placed.task, placed.attempt, attempt_end_cause::Refused, {} });
        break;
    case start_outcome::Unknown:
        commit(placed.task, task_unconfirmed { placed.task, placed.attempt });
        break;
    }
}

void shard_coordinator::onReport(const std::string& worker, const std::optional<std::vector<attempt_status>>& reports, utils::time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto& known = found->second;
    known.isCalling = false;
    if (std::exchange(known.isRenewing, false))
        endGrant(known, now);
    if (!reports.has_value()) {
        known.isSilent = true;
        known.view.isConfirmed = false;
        known.nextCall = now + silentRetry;
        return;
    }
    if (std::exchange(known.isSilent, false))
        known.nextCall = now;
    known.view.isConfirmed = true;
    auto missing = std::exchange(known.asked, {});
    for (const auto& report : *reports) {
        if (const auto task = parseTask(report.name.task); task.ok()) {
            const auto asked = missing.find(*task);
            if (asked != missing.end() && asked->second == report.name.attempt)
                missing.erase(asked);
        }
        onAttempt(worker, known, report, now);
    }
    for (const auto& [task, attempt] : missing) {
        const auto* record = currentAttempt(task, attempt);
        if (record != nullptr && record->worker == worker)
            settleMissing(task, now);
    }
}

void shard_coordinator::onAttempt(const std::string& worker, worker_contact& known, const attempt_status& report, utils::time_point now)
{
    // A later owner started it, of which this one has not heard yet.
    if (report.epoch > m_epoch)
        return;
    const auto task = parseTask(report.name.task);
    const auto* record = task.ok() ? currentAttempt(*task, report.name.attempt) : nullptr;
    if (record == nullptr || record->worker != worker) {
        if (report.phase != attempt_phase::Running)
            known.toAcknowledge.push_back(report.name);
        else if (m_window.permits(now))
            m_commands.emplace_back(stop_attempt { worker, report.name, std::nullopt, m_window.end() });
        return;
    }
    // A new owner knows nothing of its workers; what they ran before it speaks for them.
    const bool hasRun = record->machine.phase() == task_phase::Running || record->machine.phase() == task_phase::Uncertain;
    if (hasRun && report.phase == attempt_phase::Running)
        m_health.recordRunning(worker);
    if (m_busy.count(*task) > 0)
        return;
    if (report.phase != attempt_phase::Running) {
        onEnd(*task, *record, report, now);
        return;
    }
    const auto phase = record->machine.phase();
    if (phase == task_phase::Starting || phase == task_phase::Uncertain)
        commit(*task, task_confirmed { *task, record->attempt });
}

void shard_coordinator::onEnd(const task_id& task, const task_record& record, const attempt_status& report, utils::time_point now)
{
    if (report.phase == attempt_phase::Stopped) {
        commit(task, task_ended { task, record.attempt, attempt_end_cause::Returned, report.checkpoint });
        return;
    }
    const bool isFailed = report.phase == attempt_phase::Failed;
    if (!m_workers.at(record.worker).view.isShard)
        m_health.recordEnd(record.worker, isFailed, now);
    if (!isFailed) {
        commit(task, task_ended { task, record.attempt, attempt_end_cause::Finished, report.checkpoint });
        return;
    }
    m_notBefore[task] = now + failureBackoff * (1U << std::min(record.failures, longestDoubling));
    const auto cause = m_health.isSuspect(record.worker) ? attempt_end_cause::WorkerFault : attempt_end_cause::Failed;
    commit(task, task_ended { task, record.attempt, cause, report.checkpoint });
}

// The worker was asked while the task was charged to it and does not hold it.
void shard_coordinator::settleMissing(const task_id& task, utils::time_point now)
{
    const auto& record = *m_state.findTask(task);
    const auto phase = record.machine.phase();
    if (m_busy.count(task) > 0 || phase == task_phase::Cancelling)
        return;
    if (phase != task_phase::Uncertain)
        commit(task, task_unconfirmed { task, record.attempt });
    else
        stopTask(task, now);
}

void shard_coordinator::onCheckpoint(const task_id& task, std::uint32_t attempt, const std::optional<std::string>& checkpoint)
{
    const auto call = m_checkpoints.find(task);
    if (call == m_checkpoints.end() || call->second.attempt != attempt)
        return;
    // The next drive counts a call without a checkpoint as failed.
    if (!checkpoint.has_value()) {
        call->second.deadline = {};
        return;
    }
    m_checkpoints.erase(call);
    m_busy.erase(task);
    const auto* record = currentAttempt(task, attempt);
    if (record != nullptr && record->machine.phase() == task_phase::Checkpointing)
        commit(task, task_evicting { task, attempt, eviction_step::CheckpointTaken, *checkpoint });
}

void shard_coordinator::onStopped(const task_id& task, std::uint32_t attempt, stop_outcome outcome, utils::time_point now)
{
    m_busy.erase(task);
    if (outcome == stop_outcome::Unknown) {
        m_notBefore[task] = now + silentRetry;
        return;
    }
    const auto* record = currentAttempt(task, attempt);
    if (record == nullptr)
        return;
    const bool isUncertain = record->machine.phase() == task_phase::Uncertain;
    // An attempt that is being evicted is known to the worker, so that absence is a confirmed end as well.
    const bool isCancelled = record->machine.phase() == task_phase::Cancelling;
    const auto cause = isUncertain || (isCancelled && outcome == stop_outcome::Absent) ? attempt_end_cause::NeverSeen : attempt_end_cause::Stopped;
    commit(task, task_ended { task, attempt, cause, {} });
}

} // namespace camphorsaddle::placement
