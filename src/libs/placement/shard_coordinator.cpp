#include "placement/shard_coordinator.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"

namespace camphorsaddle::placement {

namespace {

    constexpr utils::milliseconds unresponsiveRetryDelay { 500 };
    constexpr utils::milliseconds defaultCheckpointTimeout { 10000 };
    constexpr utils::milliseconds checkpointRetryDelay { 1000 };
    constexpr unsigned defaultCheckpointTries = 2;

} // namespace

shard_coordinator::shard_coordinator(std::string name, const lease_terms& terms)
    : m_name(std::move(name))
    , m_terms(terms)
{
}

void shard_coordinator::restore(shard_state state)
{
    m_state = std::move(state);
}

absl::Status shard_coordinator::apply(const batch_entry& change)
{
    return m_state.apply(change);
}

void shard_coordinator::takeOver(std::uint64_t epoch, utils::time_point now)
{
    m_epoch = epoch;
    // A journal without renewals_extended entries was written by owners with the same lease terms.
    const auto leaseEndBound = m_state.formerLeaseEndBound().count() > 0 ? m_state.formerLeaseEndBound() : m_terms.leaseEndBound();
    m_formerLeasesEnd = now + leaseEndBound;
    m_commands.emplace_back(append_entry { owner_changed { epoch } });
}

void shard_coordinator::release()
{
    m_isReady = false;
    m_commands.clear();
}

void shard_coordinator::setConfiguration(std::shared_ptr<const model::configuration> configuration)
{
    m_configuration = std::move(configuration);
}

void shard_coordinator::setEvacuations(evacuations value)
{
    m_evacuations = std::move(value);
}

void shard_coordinator::setWorkers(const std::vector<model::host>& hosts)
{
    std::map<std::string, worker_contact> next;
    for (const auto& host : hosts) {
        auto& contact = next[host.id];
        if (const auto existing = m_workers.find(host.id); existing != m_workers.end())
            contact = std::move(existing->second);
        contact.view.host = host;
    }
    // A worker that left the list may still run tasks; it is kept until no resources are allocated on it.
    for (auto& [name, contact] : m_workers) {
        if (next.count(name) > 0 || (!contact.view.isRemoteShard && m_state.taskCountOnWorker(name) == 0 && contact.pendingGrants == 0))
            continue;
        if (!contact.view.isRemoteShard)
            contact.view.host.state = model::host_state::Leaving;
        next[name] = std::move(contact);
    }
    m_workers = std::move(next);
}

// Adds workers that have allocated resources but are not listed. They have no address, so that their leases expire.
void shard_coordinator::addUnlistedWorkers()
{
    for (const auto& name : m_state.allocatedWorkers()) {
        if (m_workers.count(name) > 0)
            continue;
        auto& host = m_workers[name].view.host;
        host.id = name;
        host.state = model::host_state::Leaving;
        m_workers[name].view.isRemoteShard = absl::StartsWith(name, remoteShardPrefix);
        if (m_workers[name].view.isRemoteShard)
            host.url = name;
    }
}

const model::host* shard_coordinator::findWorker(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second.view.host;
}

void shard_coordinator::evict(const task_id& task, bool isForced)
{
    const auto* record = m_state.findTask(task);
    const bool canBeEvicted = record != nullptr && record->machine.phase() == task_phase::Running && !absl::StartsWith(record->worker, remoteShardPrefix);
    if (canBeEvicted)
        m_evictions.try_emplace(task, eviction_request { record->attempt, isForced, defaultCheckpointTimeout, hasCheckpoints(task) ? defaultCheckpointTries : 0, 0, {} });
}

void shard_coordinator::runCycle(utils::time_point now, bool isStoreReachable)
{
    if (!m_isReady)
        return;
    extendRenewalWindow(now);
    addUnlistedWorkers();
    for (auto& [name, contact] : m_workers) {
        expireLeases(name, contact, now);
        if (!contact.isCallPending && now >= contact.nextCallTime && !contact.view.host.url.empty())
            callWorker(name, contact, now);
    }
    expirePendingCheckpoints(now);
    if (!m_renewalWindow.isOpen(now))
        return;
    advanceTerminatingTasks(now);
    advanceEvictions(now);
    // Allocations include committed entries only, so that a round waits until the entries of the last one are committed.
    if (m_pendingPlacements > 0 || m_configuration == nullptr || !isStoreReachable)
        return;
    parkTasks(now);
    unparkTasks();
    returnDelegatedTasks(now);
    placeTasks(now);
}

std::vector<command> shard_coordinator::takeCommands()
{
    return std::exchange(m_commands, {});
}

void shard_coordinator::appendTaskEntry(const task_id& task, batch_entry change)
{
    m_busyTasks.insert(task);
    m_commands.emplace_back(append_entry { std::move(change) });
}

void shard_coordinator::extendRenewalWindow(utils::time_point now)
{
    if (!m_renewalWindow.needsExtension(m_terms, now))
        return;
    m_areFormerLeasesEnded = now >= m_formerLeasesEnd;
    m_renewalWindow.requestExtension(now);
    m_commands.emplace_back(append_entry { renewals_extended { m_terms.leaseEndBound(), m_areFormerLeasesEnded } });
}

// An unresponsive worker is only asked for its inventory: a renewal whose answer is lost would delay the expiry of its leases.
void shard_coordinator::callWorker(const std::string& worker, worker_contact& contact, utils::time_point now)
{
    contact.isCallPending = true;
    contact.isRenewalPending = !contact.isUnresponsive && m_renewalWindow.isOpen(now);
    contact.nextCallTime = now + (contact.isUnresponsive ? unresponsiveRetryDelay : m_terms.renewalInterval);
    contact.expectedAttempts.clear();
    for (const auto& task : m_state.tasksOnWorker(worker))
        contact.expectedAttempts[task] = m_state.findTask(task)->attempt;
    if (!contact.isRenewalPending) {
        m_commands.emplace_back(read_inventory { worker });
        return;
    }
    ++contact.pendingGrants;
    m_commands.emplace_back(renew_leases { worker, std::exchange(contact.attemptsToAcknowledge, {}), m_renewalWindow.end() });
}

void shard_coordinator::expireLeases(const std::string& worker, const worker_contact& contact, utils::time_point now)
{
    // A remote shard stores delegated tasks in its journal, and they need no lease.
    if (contact.view.isRemoteShard || !contact.isUnresponsive || contact.pendingGrants > 0 || now < std::max(contact.leaseEnd, m_formerLeasesEnd))
        return;
    for (const auto& task : m_state.tasksOnWorker(worker)) {
        const auto& record = *m_state.findTask(task);
        if (m_busyTasks.count(task) > 0)
            continue;
        const auto phase = record.machine.phase();
        if (phase == task_phase::Uncertain || phase == task_phase::Cancelling)
            appendTaskEntry(task, task_ended { task, record.attempt, attempt_end_cause::LeaseEnded, {} });
        else
            appendTaskEntry(task, task_unconfirmed { task, record.attempt });
    }
}

void shard_coordinator::advanceTerminatingTasks(utils::time_point now)
{
    for (const auto& task : m_state.terminatingTasks()) {
        const auto& record = *m_state.findTask(task);
        if (record.machine.phase() == task_phase::Checkpointing) {
            const auto found = m_workers.find(record.worker);
            if (m_busyTasks.count(task) > 0 || found == m_workers.end() || found->second.isUnresponsive)
                continue;
            m_busyTasks.insert(task);
            const auto eviction = m_evictions.find(task);
            m_pendingCheckpoints[task] = { record.attempt, now + (eviction == m_evictions.end() ? defaultCheckpointTimeout : eviction->second.checkpointTimeout) };
            m_commands.emplace_back(take_checkpoint { task, record.attempt, record.worker });
        } else {
            stopTask(task, now);
        }
    }
}

void shard_coordinator::advanceEvictions(utils::time_point now)
{
    for (auto current = m_evictions.begin(); current != m_evictions.end();) {
        const auto& [task, eviction] = *current;
        const auto* record = findCurrentAttempt(task, eviction.attempt);
        const bool hasNoTriesLeft = eviction.failedCheckpoints >= eviction.maximumCheckpointTries;
        if (record == nullptr || record->machine.isFinal() || (hasNoTriesLeft && !eviction.isForced)) {
            current = m_evictions.erase(current);
            continue;
        }
        const bool canAppend = record->machine.phase() == task_phase::Running && m_busyTasks.count(task) == 0 && now >= eviction.retryTime;
        if (canAppend)
            appendTaskEntry(task, task_evicting { task, eviction.attempt, hasNoTriesLeft ? eviction_step::StopBegun : eviction_step::Begun, {} });
        ++current;
    }
}

void shard_coordinator::expirePendingCheckpoints(utils::time_point now)
{
    for (auto current = m_pendingCheckpoints.begin(); current != m_pendingCheckpoints.end();) {
        const auto task = current->first;
        const bool isExpired = now >= current->second.deadline;
        current = isExpired ? m_pendingCheckpoints.erase(current) : std::next(current);
        if (isExpired)
            handleCheckpointFailure(task, now);
    }
}

void shard_coordinator::handleCheckpointFailure(const task_id& task, utils::time_point now)
{
    m_busyTasks.erase(task);
    const auto* record = m_state.findTask(task);
    if (record->machine.phase() != task_phase::Checkpointing)
        return;
    if (const auto eviction = m_evictions.find(task); eviction != m_evictions.end()) {
        ++eviction->second.failedCheckpoints;
        eviction->second.retryTime = now + checkpointRetryDelay * (1U << eviction->second.failedCheckpoints);
    }
    appendTaskEntry(task, task_evicting { task, record->attempt, eviction_step::CheckpointFailed, {} });
}

void shard_coordinator::startTask(const task_placed& placed, utils::time_point now)
{
    const auto found = m_workers.find(placed.worker);
    const bool canStart = found != m_workers.end() && !found->second.view.host.url.empty() && m_renewalWindow.isOpen(now) && allowsStarts(found->second.view, now);
    if (!canStart) {
        appendTaskEntry(placed.task, task_ended { placed.task, placed.attempt, attempt_end_cause::Refused, {} });
        return;
    }
    m_busyTasks.insert(placed.task);
    ++found->second.pendingGrants;
    m_commands.emplace_back(start_attempt { placed, m_state.findTask(placed.task)->checkpoint, std::min(m_renewalWindow.end(), m_evacuations.knownUntil()) });
}

void shard_coordinator::stopTask(const task_id& task, utils::time_point now)
{
    const auto& record = *m_state.findTask(task);
    const auto found = m_workers.find(record.worker);
    const bool canStop = found != m_workers.end() && !found->second.isUnresponsive && !found->second.view.host.url.empty();
    const auto retryTime = m_retryTimes.find(task);
    if (!canStop || m_busyTasks.count(task) > 0 || !m_renewalWindow.isOpen(now) || (retryTime != m_retryTimes.end() && now < retryTime->second))
        return;
    m_busyTasks.insert(task);
    m_commands.emplace_back(stop_attempt { record.worker, { formatTaskId(task), record.attempt }, task, m_renewalWindow.end() });
}

const task_record* shard_coordinator::findCurrentAttempt(const task_id& task, std::uint32_t attempt) const
{
    const auto* record = m_state.findTask(task);
    return record != nullptr && record->attempt == attempt && (hasAllocation(record->machine.phase())) ? record : nullptr;
}

} // namespace camphorsaddle::placement
