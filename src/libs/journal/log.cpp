#include "journal/log.h"

#include <algorithm>
#include <utility>

#include "journal/log_implementation.h"
#include "journal/record.h"
#include "utils/events.h"

namespace camphorsaddle::journal {

namespace {

    //! Ordinary records leave one in this many slots unused, so that several takeovers in a row find a free slot.
    constexpr std::uint64_t takeoverReserveDivisor = 4;

} // namespace

void log::implementation::append(std::string entry, append_callback callback)
{
    if (m_state != log_state::Open || m_releaseCallback) {
        callback(error(absl::StatusCode::kFailedPrecondition, "append", "this writer does not own the journal"));
        return;
    }
    if (entry.size() > m_options.maximumBatchBytes) {
        callback(error(absl::StatusCode::kInvalidArgument, "append", absl::StrCat("the entry has ", entry.size(), " bytes, at most ", m_options.maximumBatchBytes, " bytes are allowed")));
        return;
    }
    if (m_queuedBytes + entry.size() > m_options.maximumQueuedBytes) {
        callback(error(absl::StatusCode::kResourceExhausted, "append", absl::StrCat(m_queue.size(), " entries are queued already")));
        return;
    }
    m_queuedBytes += entry.size();
    m_queue.push_back({ std::move(entry), std::move(callback) });
    scheduleWrite();
}

void log::implementation::scheduleWrite()
{
    if (m_state != log_state::Open || m_isWriteScheduled || (m_queue.empty() && !m_releaseCallback))
        return;
    const std::uint64_t usableSlots = m_options.slotCount - m_options.slotCount / takeoverReserveDivisor;
    if (m_lastSlot + 1 - m_coveredSlot > usableSlots)
        return;
    m_isWriteScheduled = true;
    // Entries that are appended before the budget provides a token are written in the same record.
    runRateLimited(m_context, weak_from_this(), [this] { m_queue.empty() ? writeRelease() : writeBatch(); });
}

void log::implementation::writeBatch()
{
    if (m_state != log_state::Open)
        return;
    auto record = makeRecord(m_lastSlot + 1);
    std::size_t bytes = 0;
    while (!m_queue.empty() && m_callbacksInFlight.size() < m_maximumBatchEntries && bytes + m_queue.front().bytes.size() <= m_options.maximumBatchBytes) {
        auto& next = m_queue.front();
        bytes += next.bytes.size();
        record.add_entries(std::move(next.bytes));
        m_callbacksInFlight.push_back(std::move(next.callback));
        m_queue.pop_front();
    }
    m_queuedBytes -= bytes;
    external::write_request request {
        .key = slotKey(m_options.name, record.slot(), m_options.slotCount),
        .value = encodeEnvelope(record),
        .expectedVersion = m_slotVersions[record.slot() % m_options.slotCount],
        .lease = 0,
    };
    writeConfirmed(m_context, weak_from_this(), std::move(request), [this, record = std::move(record)](const write_result& result) { finishBatch(record, result); });
}

void log::implementation::finishBatch(const protocol::JournalRecord& record, const write_result& result)
{
    if (m_state != log_state::Open)
        return;
    if (result.outcome == write_outcome::Written) {
        commitBatch(record, result.current.version);
        return;
    }
    if (result.outcome == write_outcome::Rejected) {
        if (result.wasUncertain)
            loseOwnership(utils::withContext(result.cause, "append", m_options.name), true);
        else
            splitBatch(record, result);
        return;
    }
    protocol::JournalRecord other;
    const auto status = decodeEnvelope(result.current.key, result.current.value, other);
    if (!status.ok() && result.current.version != 0)
        utils::logEvent(utils::events::journalCorrupt, { { "journal", m_options.name }, { "key", result.current.key }, { "slot", absl::StrCat(record.slot()) }, { "cause", utils::describe(status) } });
    // A record of a later slot number in this position does not show what the position held before.
    const bool showsOutcome = status.ok() && other.slot() == record.slot();
    const std::string cause = absl::StrCat("slot ", record.slot(), " was written by ", other.writer(), " with epoch ", other.epoch());
    loseOwnership(error(absl::StatusCode::kFailedPrecondition, "append", cause), result.wasUncertain && !showsOutcome);
}

// The store rejects values of this size, so the entries return to the queue and are written in smaller records.
void log::implementation::splitBatch(protocol::JournalRecord record, const write_result& result)
{
    auto callbacks = std::exchange(m_callbacksInFlight, {});
    m_isWriteScheduled = false;
    m_maximumBatchEntries = std::max<std::size_t>(callbacks.size() / 2, 1);
    if (callbacks.size() == 1) {
        callbacks.front()(error(absl::StatusCode::kInvalidArgument, "append", result.cause.message()));
        scheduleWrite();
        return;
    }
    for (std::size_t index = callbacks.size(); index-- > 0;) {
        std::string& bytes = *record.mutable_entries(static_cast<int>(index));
        m_queuedBytes += bytes.size();
        m_queue.push_front({ std::move(bytes), std::move(callbacks[index]) });
    }
    scheduleWrite();
}

void log::implementation::commitBatch(const protocol::JournalRecord& record, external::revision version)
{
    m_lastSlot = record.slot();
    m_slotVersions[record.slot() % m_options.slotCount] = version;
    const auto callbacks = std::exchange(m_callbacksInFlight, {});
    for (const auto& entry : record.entries())
        m_observer.applyVersion(m_options.entryVersion, record.epoch(), entry);
    m_isWriteScheduled = false;
    startSnapshot();
    for (const auto& callback : callbacks)
        callback(absl::OkStatus());
    scheduleWrite();
}

void log::implementation::startSnapshot()
{
    if (m_state != log_state::Open || m_snapshotWriter->isBusy() || m_lastSlot - m_coveredSlot <= m_options.slotCount / 2)
        return;
    m_snapshotWriter->start(m_observer.snapshot(), m_lastSlot, [this](const absl::StatusOr<std::uint64_t>& covered) { finishSnapshot(covered); });
}

void log::implementation::finishSnapshot(const absl::StatusOr<std::uint64_t>& covered)
{
    if (m_state != log_state::Open)
        return;
    if (covered.ok()) {
        m_coveredSlot = *covered;
        startSnapshot();
        scheduleWrite();
        return;
    }
    if (!absl::IsInvalidArgument(covered.status())) {
        loseOwnership(covered.status(), !m_callbacksInFlight.empty());
        return;
    }
    // The store rejects even the smallest chunks; entries are accepted until the slots are used up.
    m_context->loop.callLater(m_options.maximumRetryDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->startSnapshot();
    });
}

void log::implementation::release(release_callback callback)
{
    if (m_state != log_state::Open || m_releaseCallback) {
        callback(error(absl::StatusCode::kFailedPrecondition, "release", "this writer does not own the journal"));
        return;
    }
    m_releaseCallback = std::move(callback);
    scheduleWrite();
}

void log::implementation::writeRelease()
{
    if (m_state != log_state::Open)
        return;
    auto record = makeRecord(m_lastSlot + 1);
    record.set_release(true);
    external::write_request request {
        .key = slotKey(m_options.name, record.slot(), m_options.slotCount),
        .value = encodeEnvelope(record),
        .expectedVersion = m_slotVersions[record.slot() % m_options.slotCount],
        .lease = 0,
    };
    writeConfirmed(m_context, weak_from_this(), std::move(request), [this, slot = record.slot()](const write_result& result) {
        if (m_state != log_state::Open)
            return;
        if (result.outcome != write_outcome::Written) {
            loseOwnership(error(absl::StatusCode::kFailedPrecondition, "release", "another writer wrote the slot first"), false);
            return;
        }
        m_lastSlot = slot;
        m_state = log_state::Released;
        std::exchange(m_releaseCallback, nullptr)(absl::OkStatus());
    });
}

void log::implementation::loseOwnership(const absl::Status& cause, bool isBatchUncertain)
{
    m_state = log_state::OwnershipLost;
    utils::logEvent(utils::events::journalDeposed, { { "journal", m_options.name }, { "epoch", absl::StrCat(m_epoch) }, { "cause", utils::describe(cause) } });
    const auto notAppended = error(absl::StatusCode::kFailedPrecondition, "append", cause.message());
    const auto uncertain = error(absl::StatusCode::kUnknown, "append", cause.message());
    m_observer.ownershipLost(cause);
    for (auto& callback : std::exchange(m_callbacksInFlight, {}))
        callback(isBatchUncertain ? uncertain : notAppended);
    for (auto& entry : std::exchange(m_queue, {}))
        entry.callback(notAppended);
    if (m_releaseCallback)
        std::exchange(m_releaseCallback, nullptr)(notAppended);
}

void log::implementation::close()
{
    const auto uncertain = error(absl::StatusCode::kUnknown, "close", "the journal was closed before the store answered");
    m_state = log_state::Closed;
    if (m_openCallback)
        std::exchange(m_openCallback, nullptr)(uncertain);
    for (auto& callback : std::exchange(m_callbacksInFlight, {}))
        callback(uncertain);
    for (auto& entry : std::exchange(m_queue, {}))
        entry.callback(error(absl::StatusCode::kFailedPrecondition, "close", "the journal was closed before the entry was sent"));
    if (m_releaseCallback)
        std::exchange(m_releaseCallback, nullptr)(uncertain);
}

log::log(external::key_value_store& store, executor& loop, write_budget& budget, options options, observer& observer)
    : m_implementation(std::make_shared<implementation>(store, loop, budget, std::move(options), observer))
{
}

log::~log()
{
    m_implementation->close();
}

void log::open(std::uint64_t minimumEpoch, open_callback callback)
{
    m_implementation->open(minimumEpoch, std::move(callback));
}

void log::append(std::string entry, append_callback callback)
{
    m_implementation->append(std::move(entry), std::move(callback));
}

void log::release(release_callback callback)
{
    m_implementation->release(std::move(callback));
}

bool log::wasReleased() const
{
    return m_implementation->m_wasReleased;
}

log_state log::state() const
{
    return m_implementation->m_state;
}

std::uint64_t log::epoch() const
{
    return m_implementation->m_epoch;
}

std::uint64_t log::lastSlot() const
{
    return m_implementation->m_lastSlot;
}

bool log::isStoreReachable() const
{
    return m_implementation->m_context->isReachable;
}

std::size_t log::queuedEntryCount() const
{
    return m_implementation->m_queue.size();
}

std::uint64_t log::issuedWrites() const
{
    return m_implementation->m_context->issuedWrites;
}

} // namespace camphorsaddle::journal
