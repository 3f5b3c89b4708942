#include "placement/shard_coordinator.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"

namespace camphorsaddle::placement {

namespace {

    constexpr utils::milliseconds silentRetry { 500 };
    constexpr utils::milliseconds checkpointTimeout { 10000 };
    constexpr utils::milliseconds checkpointRetry { 1000 };
    constexpr unsigned checkpointTries = 2;

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
    // A journal from before these entries does not tell; its owners had the same terms.
    const auto bound = m_state.renewalBound().count() > 0 ? m_state.renewalBound() : m_terms.bound();
    m_formerEnd = now + bound;
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

void shard_coordinator::setWorkers(const std::vector<model::host>& hosts)
{
    std::map<std::string, worker_contact> next;
    for (const auto& host : hosts) {
        auto& contact = next[host.id];
        if (const auto known = m_workers.find(host.id); known != m_workers.end())
            contact = std::move(known->second);
        contact.view.host = host;
    }
    // A worker that left the list may still run tasks; it is kept until they are settled.
    for (auto& [name, contact] : m_workers) {
        if (next.count(name) > 0 || (!contact.view.isShard && m_state.countOn(name) == 0 && contact.grantsUnderWay == 0))
            continue;
        if (!contact.view.isShard)
            contact.view.host.state = model::host_state::Leaving;
        next[name] = std::move(contact);
    }
    m_workers = std::move(next);
}

// A worker that no list names any more has no address; its leases run out.
void shard_coordinator::adoptChargedWorkers()
{
    for (const auto& name : m_state.chargedWorkers()) {
        if (m_workers.count(name) > 0)
            continue;
        auto& host = m_workers[name].view.host;
        host.id = name;
        host.state = model::host_state::Leaving;
        m_workers[name].view.isShard = absl::StartsWith(name, shardPrefix);
        if (m_workers[name].view.isShard)
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
    const bool canGo = record != nullptr && record->machine.phase() == task_phase::Running && !absl::StartsWith(record->worker, shardPrefix);
    if (canGo)
        m_evictions.try_emplace(task, eviction { record->attempt, isForced, checkpointTimeout, hasCheckpoints(task) ? checkpointTries : 0, 0, {} });
}

void shard_coordinator::drive(utils::time_point now, bool isStoreReachable)
{
    if (!m_isReady)
        return;
    extendRenewals(now);
    adoptChargedWorkers();
    for (auto& [name, known] : m_workers) {
        expireLeases(name, known, now);
        if (!known.isCalling && now >= known.nextCall && !known.view.host.url.empty())
            contact(name, known, now);
    }
    expireCheckpoints(now);
    if (!m_window.permits(now))
        return;
    driveLeaving(now);
    driveEvictions(now);
    // The ledger holds committed entries only, so that a round waits for the one before it.
    if (m_placing > 0 || m_configuration == nullptr || !isStoreReachable)
        return;
    park(now);
    unpark();
    place(now);
}

std::vector<command> shard_coordinator::takeCommands()
{
    return std::exchange(m_commands, {});
}

void shard_coordinator::commit(const task_id& task, batch_entry change)
{
    m_busy.insert(task);
    m_commands.emplace_back(append_entry { std::move(change) });
}

void shard_coordinator::extendRenewals(utils::time_point now)
{
    if (!m_window.needsExtension(m_terms, now))
        return;
    m_isFormerEnded = now >= m_formerEnd;
    m_window.request(now);
    m_commands.emplace_back(append_entry { renewals_extended { m_terms.bound(), m_isFormerEnded } });
}

// A silent worker is asked for its inventory only: a renewal whose answer is lost would lengthen the wait for its leases.
void shard_coordinator::contact(const std::string& worker, worker_contact& known, utils::time_point now)
{
    known.isCalling = true;
    known.isRenewing = !known.isSilent && m_window.permits(now);
    known.nextCall = now + (known.isSilent ? silentRetry : m_terms.interval);
    known.asked.clear();
    for (const auto& task : m_state.tasksOn(worker))
        known.asked[task] = m_state.findTask(task)->attempt;
    if (!known.isRenewing) {
        m_commands.emplace_back(read_inventory { worker });
        return;
    }
    ++known.grantsUnderWay;
    m_commands.emplace_back(renew_leases { worker, std::exchange(known.toAcknowledge, {}), m_window.end() });
}

void shard_coordinator::expireLeases(const std::string& worker, const worker_contact& known, utils::time_point now)
{
    // A shard remembers what it took over.
    if (known.view.isShard || !known.isSilent || known.grantsUnderWay > 0 || now < std::max(known.leaseEnd, m_formerEnd))
        return;
    for (const auto& task : m_state.tasksOn(worker)) {
        const auto& record = *m_state.findTask(task);
        if (m_busy.count(task) > 0)
            continue;
        const auto phase = record.machine.phase();
        if (phase == task_phase::Uncertain || phase == task_phase::Cancelling)
            commit(task, task_ended { task, record.attempt, attempt_end_cause::LeaseEnded, {} });
        else
            commit(task, task_unconfirmed { task, record.attempt });
    }
}

void shard_coordinator::driveLeaving(utils::time_point now)
{
    for (const auto& task : m_state.leaving()) {
        const auto& record = *m_state.findTask(task);
        if (record.machine.phase() == task_phase::Checkpointing) {
            const auto found = m_workers.find(record.worker);
            if (m_busy.count(task) > 0 || found == m_workers.end() || found->second.isSilent)
                continue;
            m_busy.insert(task);
            const auto wish = m_evictions.find(task);
            m_checkpoints[task] = { record.attempt, now + (wish == m_evictions.end() ? checkpointTimeout : wish->second.checkpointLimit) };
            m_commands.emplace_back(take_checkpoint { task, record.attempt, record.worker });
        } else {
            stopTask(task, now);
        }
    }
}

void shard_coordinator::driveEvictions(utils::time_point now)
{
    for (auto current = m_evictions.begin(); current != m_evictions.end();) {
        const auto& [task, wish] = *current;
        const auto* record = currentAttempt(task, wish.attempt);
        const bool isExhausted = wish.failures >= wish.mostTries;
        if (record == nullptr || record->machine.isFinal() || (isExhausted && !wish.isForced)) {
            current = m_evictions.erase(current);
            continue;
        }
        const bool canAct = record->machine.phase() == task_phase::Running && m_busy.count(task) == 0 && now >= wish.notBefore;
        if (canAct)
            commit(task, task_evicting { task, wish.attempt, isExhausted ? eviction_step::StopBegun : eviction_step::Begun, {} });
        ++current;
    }
}

void shard_coordinator::expireCheckpoints(utils::time_point now)
{
    for (auto current = m_checkpoints.begin(); current != m_checkpoints.end();) {
        const auto task = current->first;
        const bool isLate = now >= current->second.deadline;
        current = isLate ? m_checkpoints.erase(current) : std::next(current);
        if (isLate)
            failCheckpoint(task, now);
    }
}

void shard_coordinator::failCheckpoint(const task_id& task, utils::time_point now)
{
    m_busy.erase(task);
    const auto* record = m_state.findTask(task);
    if (record->machine.phase() != task_phase::Checkpointing)
        return;
    if (const auto wish = m_evictions.find(task); wish != m_evictions.end()) {
        ++wish->second.failures;
        wish->second.notBefore = now + checkpointRetry * (1U << wish->second.failures);
    }
    commit(task, task_evicting { task, record->attempt, eviction_step::CheckpointFailed, {} });
}

void shard_coordinator::start(const task_placed& placed, utils::time_point now)
{
    const auto found = m_workers.find(placed.worker);
    const bool canStart = found != m_workers.end() && !found->second.view.host.url.empty() && m_window.permits(now);
    if (!canStart) {
        commit(placed.task, task_ended { placed.task, placed.attempt, attempt_end_cause::Refused, {} });
        return;
    }
    m_busy.insert(placed.task);
    ++found->second.grantsUnderWay;
    m_commands.emplace_back(start_attempt { placed, m_state.findTask(placed.task)->checkpoint, m_window.end() });
}

void shard_coordinator::stopTask(const task_id& task, utils::time_point now)
{
    const auto& record = *m_state.findTask(task);
    const auto found = m_workers.find(record.worker);
    const bool canStop = found != m_workers.end() && !found->second.isSilent && !found->second.view.host.url.empty();
    const auto wait = m_notBefore.find(task);
    if (!canStop || m_busy.count(task) > 0 || !m_window.permits(now) || (wait != m_notBefore.end() && now < wait->second))
        return;
    m_busy.insert(task);
    m_commands.emplace_back(stop_attempt { record.worker, { formatTask(task), record.attempt }, task, m_window.end() });
}

const task_record* shard_coordinator::currentAttempt(const task_id& task, std::uint32_t attempt) const
{
    const auto* record = m_state.findTask(task);
    return record != nullptr && record->attempt == attempt && (isCharged(record->machine.phase())) ? record : nullptr;
}

} // namespace camphorsaddle::placement
