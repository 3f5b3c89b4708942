#include "tasks/coordinator/leader_writer.h"

#include <algorithm>

#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // Time to collect writes; the progress of a step's tasks that end together fits into about one transaction.
    constexpr utils::milliseconds batchingDelay { 25 };
    constexpr utils::milliseconds retryDelay { 150 };
    // The store replies within milliseconds, but a leader with a full processor handles replies late.
    constexpr std::size_t maximumInFlightTransactions = 12;
    // An expectation and a change.
    constexpr std::size_t entriesPerWrite = 2;

    std::size_t entryCount(const leader_write& write)
    {
        return entriesPerWrite + (write.excludingKey.empty() ? 0 : 1);
    }

} // namespace

leader_writer::leader_writer(transport::event_loop& loop, external::transactional_store& store, std::string leaderKey, external::revision leaderKeyVersion)
    : m_store(store)
    , m_leaderKey(std::move(leaderKey))
    , m_leaderKeyVersion(leaderKeyVersion)
    , m_flushTimer(loop, [this] { flush(); })
{
}

leader_writer::~leader_writer() = default;

std::size_t leader_writer::entriesForWrites() const
{
    return m_store.entryLimit() - 1;
}

std::size_t leader_writer::freeCapacity() const
{
    const auto capacity = maximumInFlightTransactions * (entriesForWrites() / entriesPerWrite);
    return capacity - std::min(capacity, m_ordinaryWrites.size() + m_urgentWrites.size());
}

bool leader_writer::isStoreFailing() const
{
    return m_isStoreFailing;
}

void leader_writer::enqueue(leader_write write, bool isUrgent)
{
    (isUrgent ? m_urgentWrites : m_ordinaryWrites).push_back({ std::move(write), false });
    if (isUrgent && !m_isStoreFailing)
        m_flushTimer.startOnce(utils::milliseconds(0));
    else if (!m_flushTimer.isActive())
        m_flushTimer.startOnce(m_isStoreFailing ? retryDelay : batchingDelay);
}

void leader_writer::abandonAll()
{
    // Invalidates the callbacks of in-flight transactions.
    m_alive = std::make_shared<int>(0);
    m_flushTimer.stop();
    for (const auto& writes : std::exchange(m_inFlight, {})) {
        for (auto& queued : *writes)
            queued.write.done(write_outcome::Indeterminate, 0, nullptr);
    }
    for (auto* queue : { &m_urgentWrites, &m_ordinaryWrites }) {
        for (auto& queued : std::exchange(*queue, {}))
            queued.write.done(queued.mayBeWritten ? write_outcome::Indeterminate : write_outcome::Deposed, 0, nullptr);
    }
}

void leader_writer::flush()
{
    while (m_inFlight.size() < (m_isStoreFailing ? 1 : maximumInFlightTransactions) && (!m_urgentWrites.empty() || !m_ordinaryWrites.empty())) {
        batch writes;
        auto entriesLeft = entriesForWrites();
        for (auto* queue : { &m_urgentWrites, &m_ordinaryWrites }) {
            while (!queue->empty() && entryCount(queue->front().write) <= entriesLeft) {
                entriesLeft -= entryCount(queue->front().write);
                writes.push_back(std::move(queue->front()));
                queue->pop_front();
            }
        }
        sendTransaction(std::move(writes));
    }
}

void leader_writer::sendTransaction(batch writes)
{
    external::transaction change;
    change.expected.push_back({ m_leaderKey, m_leaderKeyVersion });
    for (const auto& queued : writes) {
        change.expected.push_back({ queued.write.key, queued.write.expectedVersion });
        if (!queued.write.excludingKey.empty())
            change.expected.push_back({ queued.write.excludingKey, 0 });
        if (queued.write.value)
            change.puts.push_back({ queued.write.key, *queued.write.value, 0 });
        else
            change.erased.push_back(queued.write.key);
    }
    auto writesInFlight = std::make_shared<batch>(std::move(writes));
    m_inFlight.push_back(writesInFlight);
    m_store.transact(change, [this, writesInFlight, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::transaction_result>& result) {
        if (alive.expired())
            return;
        std::erase(m_inFlight, writesInFlight);
        processResult(*writesInFlight, result);
        if (!alive.expired() && (!m_urgentWrites.empty() || !m_ordinaryWrites.empty()) && !m_flushTimer.isActive())
            m_flushTimer.startOnce(m_isStoreFailing ? retryDelay : utils::milliseconds(0));
    });
}

void leader_writer::processResult(batch& writes, const absl::StatusOr<external::transaction_result>& result)
{
    const auto alive = std::weak_ptr(m_alive);
    if (!result.ok()) {
        if (!m_isStoreFailing)
            utils::logEvent(utils::events::storeUnavailable, { { "step", "leader write" }, { "error", utils::describe(result.status()) } });
        m_isStoreFailing = true;
        if (result.status().code() != absl::StatusCode::kUnavailable) {
            for (auto& queued : writes)
                queued.mayBeWritten = true;
        }
        batch remaining;
        for (auto& queued : writes) {
            if (alive.expired())
                return;
            if (queued.write.failsWhenRefused && !queued.mayBeWritten)
                queued.write.done(write_outcome::NotWritten, 0, nullptr);
            else
                remaining.push_back(std::move(queued));
        }
        if (!alive.expired())
            requeue(remaining);
        return;
    }
    if (m_isStoreFailing)
        utils::logEvent(utils::events::storeAvailable, { { "step", "leader write" } });
    m_isStoreFailing = false;
    if (!result->isCommitted) {
        processConflict(writes, result->present);
        return;
    }
    for (auto& queued : writes) {
        if (alive.expired())
            return;
        queued.write.done(write_outcome::Committed, result->at, nullptr);
    }
}

void leader_writer::processConflict(batch& writes, const std::vector<external::key_value>& present)
{
    const auto alive = std::weak_ptr(m_alive);
    const auto find = [&](const std::string& key) -> const external::key_value* {
        const auto found = std::ranges::find(present, key, &external::key_value::key);
        return found == present.end() ? nullptr : &*found;
    };
    const auto* leader = find(m_leaderKey);
    if (leader == nullptr || leader->version != m_leaderKeyVersion) {
        for (auto& queued : writes) {
            if (alive.expired())
                return;
            queued.write.done(queued.mayBeWritten ? write_outcome::Indeterminate : write_outcome::Deposed, 0, nullptr);
        }
        return;
    }
    batch remaining;
    for (auto& queued : writes) {
        if (alive.expired())
            return;
        const auto* value = find(queued.write.key);
        const bool isExcluded = !queued.write.excludingKey.empty() && find(queued.write.excludingKey) != nullptr;
        if ((value == nullptr ? 0 : value->version) == queued.write.expectedVersion) {
            if (isExcluded)
                queued.write.done(write_outcome::Excluded, 0, nullptr);
            else
                remaining.push_back(std::move(queued));
            continue;
        }
        const bool isOwnEarlierWrite = queued.mayBeWritten && (queued.write.value ? value != nullptr && value->value == *queued.write.value : value == nullptr);
        utils::logEvent(utils::events::writeConflict, { { "key", queued.write.key }, { "cause", isOwnEarlierWrite ? "own_write" : queued.mayBeWritten ? "other_writer_or_own_write"
                                                                                                                                                      : "other_writer" },
                                                          { "expected", std::to_string(queued.write.expectedVersion) }, { "version", std::to_string(value == nullptr ? 0 : value->version) } });
        if (isOwnEarlierWrite)
            queued.write.done(write_outcome::Committed, value == nullptr ? 0 : value->version, nullptr);
        else
            queued.write.done(write_outcome::Conflict, 0, value);
    }
    if (!alive.expired())
        requeue(remaining);
}

void leader_writer::requeue(batch& writes)
{
    const auto alive = std::weak_ptr(m_alive);
    const auto now = utils::nowIncludingSuspend();
    for (auto queued = writes.rbegin(); queued != writes.rend(); ++queued) {
        if (alive.expired())
            return;
        if (now < queued->write.deadline)
            m_urgentWrites.push_front(std::move(*queued));
        else
            queued->write.done(queued->mayBeWritten ? write_outcome::Indeterminate : write_outcome::NotWritten, 0, nullptr);
    }
    if (!alive.expired() && !m_urgentWrites.empty() && !m_flushTimer.isActive())
        m_flushTimer.startOnce(m_isStoreFailing ? retryDelay : utils::milliseconds(0));
}

} // namespace camphorsaddle::tasks
