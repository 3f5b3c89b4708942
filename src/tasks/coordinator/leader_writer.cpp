#include "tasks/coordinator/leader_writer.h"

#include <algorithm>

#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // Writes gather this long, which makes about one transaction of the ends of a step's tasks.
    constexpr utils::milliseconds gatherTime { 25 };
    constexpr utils::milliseconds retryPause { 150 };
    // More transactions at once than this bring nothing while the store answers within milliseconds.
    constexpr std::size_t mostUnderWay = 3;

} // namespace

leader_writer::leader_writer(transport::event_loop& loop, external::transactional_store& store, std::string leaderKey, external::revision leaderVersion)
    : m_store(store)
    , m_leaderKey(std::move(leaderKey))
    , m_leaderVersion(leaderVersion)
    , m_flush(loop, [this] { flush(); })
{
}

leader_writer::~leader_writer() = default;

// Every write takes an expectation and a change, and the leader's key one more expectation.
std::size_t leader_writer::batchLimit() const
{
    return (m_store.entryLimit() - 1) / 2;
}

bool leader_writer::isTroubled() const
{
    return m_isTroubled;
}

void leader_writer::submit(leader_write write, bool isUrgent)
{
    (isUrgent ? m_urgent : m_ordinary).push_back({ std::move(write), false });
    if (isUrgent && !m_isTroubled)
        m_flush.startOnce(utils::milliseconds(0));
    else if (!m_flush.isActive())
        m_flush.startOnce(m_isTroubled ? retryPause : gatherTime);
}

void leader_writer::abandon()
{
    // Answers that still arrive find nothing to settle.
    m_alive = std::make_shared<int>(0);
    m_flush.stop();
    for (const auto& writes : std::exchange(m_underWay, {})) {
        for (auto& queued : *writes)
            queued.write.done(write_outcome::Unsettled, 0, nullptr);
    }
    for (auto* queue : { &m_urgent, &m_ordinary }) {
        for (auto& queued : std::exchange(*queue, {}))
            queued.write.done(queued.mayBeWritten ? write_outcome::Unsettled : write_outcome::Deposed, 0, nullptr);
    }
}

void leader_writer::flush()
{
    while (m_underWay.size() < (m_isTroubled ? 1 : mostUnderWay) && (!m_urgent.empty() || !m_ordinary.empty())) {
        batch writes;
        for (auto* queue : { &m_urgent, &m_ordinary }) {
            while (!queue->empty() && writes.size() < batchLimit()) {
                writes.push_back(std::move(queue->front()));
                queue->pop_front();
            }
        }
        send(std::move(writes));
    }
}

void leader_writer::send(batch writes)
{
    external::transaction change;
    change.expected.push_back({ m_leaderKey, m_leaderVersion });
    for (const auto& queued : writes) {
        change.expected.push_back({ queued.write.key, queued.write.expectedVersion });
        if (queued.write.value)
            change.puts.push_back({ queued.write.key, *queued.write.value, 0 });
        else
            change.erased.push_back(queued.write.key);
    }
    auto shared = std::make_shared<batch>(std::move(writes));
    m_underWay.push_back(shared);
    m_store.transact(change, [this, shared, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::transaction_result>& result) {
        if (alive.expired())
            return;
        std::erase(m_underWay, shared);
        take(*shared, result);
        if (!alive.expired() && (!m_urgent.empty() || !m_ordinary.empty()) && !m_flush.isActive())
            m_flush.startOnce(m_isTroubled ? retryPause : utils::milliseconds(0));
    });
}

void leader_writer::take(batch& writes, const absl::StatusOr<external::transaction_result>& result)
{
    const auto alive = std::weak_ptr(m_alive);
    if (!result.ok()) {
        if (!m_isTroubled)
            utils::logEvent(utils::events::storeUnavailable, { { "step", "leader write" }, { "error", utils::describe(result.status()) } });
        m_isTroubled = true;
        if (result.status().code() != absl::StatusCode::kUnavailable) {
            for (auto& queued : writes)
                queued.mayBeWritten = true;
        }
        batch rest;
        for (auto& queued : writes) {
            if (alive.expired())
                return;
            if (queued.write.endsWhenRefused && !queued.mayBeWritten)
                queued.write.done(write_outcome::NotWritten, 0, nullptr);
            else
                rest.push_back(std::move(queued));
        }
        if (!alive.expired())
            requeue(rest);
        return;
    }
    if (m_isTroubled)
        utils::logEvent(utils::events::storeAvailable, { { "step", "leader write" } });
    m_isTroubled = false;
    if (!result->isCommitted) {
        takeConflict(writes, result->present);
        return;
    }
    for (auto& queued : writes) {
        if (alive.expired())
            return;
        queued.write.done(write_outcome::Committed, result->at, nullptr);
    }
}

void leader_writer::takeConflict(batch& writes, const std::vector<external::key_value>& present)
{
    const auto alive = std::weak_ptr(m_alive);
    const auto find = [&](const std::string& key) -> const external::key_value* {
        const auto found = std::ranges::find(present, key, &external::key_value::key);
        return found == present.end() ? nullptr : &*found;
    };
    const auto* leader = find(m_leaderKey);
    if (leader == nullptr || leader->version != m_leaderVersion) {
        for (auto& queued : writes) {
            if (alive.expired())
                return;
            queued.write.done(queued.mayBeWritten ? write_outcome::Unsettled : write_outcome::Deposed, 0, nullptr);
        }
        return;
    }
    batch rest;
    for (auto& queued : writes) {
        if (alive.expired())
            return;
        const auto* value = find(queued.write.key);
        if ((value == nullptr ? 0 : value->version) == queued.write.expectedVersion) {
            rest.push_back(std::move(queued));
            continue;
        }
        const bool isOwn = queued.mayBeWritten && (queued.write.value ? value != nullptr && value->value == *queued.write.value : value == nullptr);
        if (isOwn)
            queued.write.done(write_outcome::Committed, value == nullptr ? 0 : value->version, nullptr);
        else
            queued.write.done(write_outcome::Conflict, 0, value);
    }
    if (!alive.expired())
        requeue(rest);
}

void leader_writer::requeue(batch& writes)
{
    const auto alive = std::weak_ptr(m_alive);
    const auto now = utils::nowIncludingSuspend();
    for (auto queued = writes.rbegin(); queued != writes.rend(); ++queued) {
        if (alive.expired())
            return;
        if (now < queued->write.deadline)
            m_urgent.push_front(std::move(*queued));
        else
            queued->write.done(queued->mayBeWritten ? write_outcome::Unsettled : write_outcome::NotWritten, 0, nullptr);
    }
    if (!alive.expired() && !m_urgent.empty() && !m_flush.isActive())
        m_flush.startOnce(m_isTroubled ? retryPause : utils::milliseconds(0));
}

} // namespace camphorsaddle::tasks
