#include <algorithm>

#include "absl/strings/numbers.h"
#include "placement/shard_coordinator.h"
#include "utils/errors.h"

namespace camphorsaddle::placement {

namespace {

    constexpr utils::milliseconds unresponsiveRetryDelay { 500 };
    constexpr utils::milliseconds initialFailureBackoff { 1000 };
    constexpr std::uint32_t maximumBackoffDoublings = 5;

} // namespace

absl::StatusOr<task_id> parseTaskId(const std::string& text)
{
    const auto slash = text.rfind('/');
    task_id task;
    if (slash == std::string::npos || !absl::SimpleAtoi(text.substr(slash + 1), &task.index))
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read a report", text, "expected a task name such as JOB/INDEX");
    task.job = text.substr(0, slash);
    return task;
}

void shard_coordinator::onAppended(const batch_entry& change, bool isCommitted, utils::time_point now)
{
    std::visit([this](const auto& alternative) {
        if constexpr (requires { alternative.task; })
            m_busyTasks.erase(alternative.task);
    },
        change);
    if (const auto* cancelled = std::get_if<job_cancelled>(&change))
        m_pendingReturns.erase(cancelled->job);
    if (isCommitted)
        answerHomeShard(change);
    if (std::holds_alternative<owner_changed>(change))
        m_isReady = isCommitted;
    if (std::holds_alternative<renewals_extended>(change)) {
        m_renewalWindow.completeExtension(m_terms, isCommitted);
        return;
    }
    if (isCommitted)
        updateUnsavedWork(change, now);
    const auto* placed = std::get_if<task_placed>(&change);
    if (placed == nullptr)
        return;
    --m_pendingPlacements;
    if (!isCommitted)
        return;
    // The task may have been cancelled before this entry was committed.
    if (m_state.findTask(placed->task)->machine.phase() == task_phase::Starting)
        startTask(*placed, now);
}

void shard_coordinator::updateUnsavedWork(const batch_entry& change, utils::time_point now)
{
    if (const auto* confirmed = std::get_if<task_confirmed>(&change))
        m_unsavedWorkSince[confirmed->task] = now;
    if (const auto* step = std::get_if<task_evicting>(&change); step != nullptr && step->step == eviction_step::CheckpointTaken)
        m_unsavedWorkSince[step->task] = now;
    if (const auto* ended = std::get_if<task_ended>(&change))
        m_unsavedWorkSince.erase(ended->task);
}

// The command has reached the worker at the latest when its answer or failure arrives, so that the lease starts no later.
void shard_coordinator::completeGrant(worker_contact& contact, utils::time_point now)
{
    --contact.pendingGrants;
    contact.leaseEnd = std::max(contact.leaseEnd, now + m_terms.leaseDuration + m_terms.clockDriftAllowance);
}

void shard_coordinator::onStarted(const task_placed& placed, start_outcome outcome, utils::time_point now)
{
    m_busyTasks.erase(placed.task);
    if (const auto found = m_workers.find(placed.worker); found != m_workers.end())
        completeGrant(found->second, now);
    const auto* record = findCurrentAttempt(placed.task, placed.attempt);
    if (record == nullptr || record->machine.phase() != task_phase::Starting)
        return;
    switch (outcome) {
    case start_outcome::Confirmed:
        appendTaskEntry(placed.task, task_confirmed { placed.task, placed.attempt });
        break;
    case start_outcome::Refused:
        appendTaskEntry(placed.task, task_ended { placed.task, placed.attempt, attempt_end_cause::Refused, {} });
        break;
    case start_outcome::Unknown:
        appendTaskEntry(placed.task, task_unconfirmed { placed.task, placed.attempt });
        break;
    }
}

void shard_coordinator::onReport(const std::string& worker, const std::optional<std::vector<attempt_status>>& reports, utils::time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto& contact = found->second;
    contact.isCallPending = false;
    if (std::exchange(contact.isRenewalPending, false))
        completeGrant(contact, now);
    if (!reports.has_value()) {
        contact.isUnresponsive = true;
        contact.view.isResponsive = false;
        contact.nextCallTime = now + unresponsiveRetryDelay;
        return;
    }
    if (std::exchange(contact.isUnresponsive, false))
        contact.nextCallTime = now;
    contact.view.isResponsive = true;
    auto missingAttempts = std::exchange(contact.expectedAttempts, {});
    for (const auto& report : *reports) {
        if (const auto task = parseTaskId(report.id.task); task.ok()) {
            const auto expected = missingAttempts.find(*task);
            if (expected != missingAttempts.end() && expected->second == report.id.attempt)
                missingAttempts.erase(expected);
        }
        onAttemptReported(worker, contact, report, now);
    }
    for (const auto& [task, attempt] : missingAttempts) {
        const auto* record = findCurrentAttempt(task, attempt);
        if (record != nullptr && record->worker == worker)
            resolveMissingAttempt(task, now);
    }
}

void shard_coordinator::onAttemptReported(const std::string& worker, worker_contact& contact, const attempt_status& report, utils::time_point now)
{
    // A later owner started the attempt; this owner has not noticed yet that it was replaced.
    if (report.epoch > m_epoch)
        return;
    const auto task = parseTaskId(report.id.task);
    const auto* record = task.ok() ? findCurrentAttempt(*task, report.id.attempt) : nullptr;
    if (record == nullptr || record->worker != worker) {
        if (report.phase != attempt_phase::Running)
            contact.attemptsToAcknowledge.push_back(report.id);
        else if (m_renewalWindow.isOpen(now))
            m_commands.emplace_back(stop_attempt { worker, report.id, std::nullopt, m_renewalWindow.end() });
        return;
    }
    // A new owner has no history of its workers; attempts that were started before its takeover and still run show that
    // a worker is healthy.
    const bool wasRunning = record->machine.phase() == task_phase::Running || record->machine.phase() == task_phase::Uncertain;
    if (wasRunning && report.phase == attempt_phase::Running)
        m_workerHealth.recordRunningAttempt(worker);
    if (m_busyTasks.count(*task) > 0)
        return;
    if (report.phase != attempt_phase::Running) {
        onAttemptEnded(*task, *record, report, now);
        return;
    }
    const auto phase = record->machine.phase();
    if (phase == task_phase::Starting || phase == task_phase::Uncertain)
        appendTaskEntry(*task, task_confirmed { *task, record->attempt });
}

void shard_coordinator::onAttemptEnded(const task_id& task, const task_record& record, const attempt_status& report, utils::time_point now)
{
    if (report.phase == attempt_phase::Stopped) {
        appendTaskEntry(task, task_ended { task, record.attempt, attempt_end_cause::Returned, report.checkpoint });
        return;
    }
    const bool isFailed = report.phase == attempt_phase::Failed;
    if (!m_workers.at(record.worker).view.isRemoteShard)
        m_workerHealth.recordAttemptEnd(record.worker, isFailed, now);
    if (!isFailed) {
        appendTaskEntry(task, task_ended { task, record.attempt, attempt_end_cause::Finished, report.checkpoint });
        return;
    }
    m_retryTimes[task] = now + initialFailureBackoff * (1U << std::min(record.failures, maximumBackoffDoublings));
    const auto cause = m_workerHealth.isSuspect(record.worker) ? attempt_end_cause::WorkerFault : attempt_end_cause::Failed;
    appendTaskEntry(task, task_ended { task, record.attempt, cause, report.checkpoint });
}

// Handles an attempt that a worker lacks in its report although the attempt was allocated to it before the call.
void shard_coordinator::resolveMissingAttempt(const task_id& task, utils::time_point now)
{
    const auto& record = *m_state.findTask(task);
    const auto phase = record.machine.phase();
    if (m_busyTasks.count(task) > 0 || phase == task_phase::Cancelling)
        return;
    if (phase != task_phase::Uncertain)
        appendTaskEntry(task, task_unconfirmed { task, record.attempt });
    else
        stopTask(task, now);
}

void shard_coordinator::onCheckpoint(const task_id& task, std::uint32_t attempt, const std::optional<std::string>& checkpoint)
{
    const auto call = m_pendingCheckpoints.find(task);
    if (call == m_pendingCheckpoints.end() || call->second.attempt != attempt)
        return;
    // The next runCycle() handles a call without a checkpoint as failed.
    if (!checkpoint.has_value()) {
        call->second.deadline = {};
        return;
    }
    m_pendingCheckpoints.erase(call);
    m_busyTasks.erase(task);
    const auto* record = findCurrentAttempt(task, attempt);
    if (record != nullptr && record->machine.phase() == task_phase::Checkpointing)
        appendTaskEntry(task, task_evicting { task, attempt, eviction_step::CheckpointTaken, *checkpoint });
}

void shard_coordinator::onStopped(const task_id& task, std::uint32_t attempt, stop_outcome outcome, utils::time_point now)
{
    m_busyTasks.erase(task);
    if (outcome == stop_outcome::Unknown) {
        m_retryTimes[task] = now + unresponsiveRetryDelay;
        return;
    }
    const auto* record = findCurrentAttempt(task, attempt);
    if (record == nullptr)
        return;
    const bool isUncertain = record->machine.phase() == task_phase::Uncertain;
    // The worker has received an attempt that is being evicted, so that its absence confirms the end as well.
    const bool isCancelled = record->machine.phase() == task_phase::Cancelling;
    const auto cause = isUncertain || (isCancelled && outcome == stop_outcome::Absent) ? attempt_end_cause::NeverSeen : attempt_end_cause::Stopped;
    appendTaskEntry(task, task_ended { task, attempt, cause, {} });
}

} // namespace camphorsaddle::placement
