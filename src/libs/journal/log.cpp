#include "journal/log.h"

#include <algorithm>
#include <utility>

#include "journal/log_implementation.h"
#include "journal/record.h"
#include "utils/events.h"

namespace camphorsaddle::journal {

namespace {

    //! Share of the ring that ordinary records leave free, so that several takeovers in a row find room.
    constexpr std::uint64_t takeoverShare = 4;

} // namespace

void log::implementation::append(std::string entry, append_callback callback)
{
    if (m_state != log_state::Open || m_released) {
        callback(error(absl::StatusCode::kFailedPrecondition, "append", "this writer does not own the journal"));
        return;
    }
    if (entry.size() > m_options.batchBytes) {
        callback(error(absl::StatusCode::kInvalidArgument, "append", absl::StrCat("the entry has ", entry.size(), " bytes, at most ", m_options.batchBytes, " are allowed")));
        return;
    }
    if (m_waitingBytes + entry.size() > m_options.waitingBytes) {
        callback(error(absl::StatusCode::kResourceExhausted, "append", absl::StrCat(m_waiting.size(), " entries wait already")));
        return;
    }
    m_waitingBytes += entry.size();
    m_waiting.push_back({ std::move(entry), std::move(callback) });
    pump();
}

void log::implementation::pump()
{
    if (m_state != log_state::Open || m_isWritePlanned || (m_waiting.empty() && !m_released))
        return;
    const std::uint64_t usable = m_options.ring - m_options.ring / takeoverShare;
    if (m_lastSlot + 1 - m_coveredSlot > usable)
        return;
    m_isWritePlanned = true;
    // Entries that arrive until the budget has a token join the batch.
    runPaced(m_context, weak_from_this(), [this] { m_waiting.empty() ? writeRelease() : writeBatch(); });
}

void log::implementation::writeBatch()
{
    if (m_state != log_state::Open)
        return;
    auto record = makeRecord(m_lastSlot + 1);
    std::size_t bytes = 0;
    while (!m_waiting.empty() && m_inFlight.size() < m_batchEntries && bytes + m_waiting.front().bytes.size() <= m_options.batchBytes) {
        auto& next = m_waiting.front();
        bytes += next.bytes.size();
        record.add_entries(std::move(next.bytes));
        m_inFlight.push_back(std::move(next.callback));
        m_waiting.pop_front();
    }
    m_waitingBytes -= bytes;
    external::write_request request {
        .key = slotKey(m_options.name, record.slot(), m_options.ring),
        .value = encodeEnvelope(record),
        .expectedVersion = m_slotVersions[record.slot() % m_options.ring],
        .lease = 0,
    };
    writeSettled(m_context, weak_from_this(), std::move(request), [this, record = std::move(record)](const write_result& result) { finishBatch(record, result); });
}

void log::implementation::finishBatch(const protocol::JournalRecord& record, const write_result& result)
{
    if (m_state != log_state::Open)
        return;
    if (result.outcome == write_outcome::Written) {
        commitBatch(record, result.current.version);
        return;
    }
    if (result.outcome == write_outcome::Refused) {
        if (result.wasUncertain)
            depose(utils::withContext(result.cause, "append", m_options.name), true);
        else
            splitBatch(record, result);
        return;
    }
    protocol::JournalRecord other;
    const auto status = decodeEnvelope(result.current.key, result.current.value, other);
    if (!status.ok() && result.current.version != 0)
        utils::logEvent(utils::events::journalCorrupt, { { "journal", m_options.name }, { "key", result.current.key }, { "slot", absl::StrCat(record.slot()) }, { "cause", utils::describe(status) } });
    // A slot of a later lap does not tell what it held before.
    const bool tellsOutcome = status.ok() && other.slot() == record.slot();
    const std::string cause = absl::StrCat("slot ", record.slot(), " was written by ", other.writer(), " with epoch ", other.epoch());
    depose(error(absl::StatusCode::kFailedPrecondition, "append", cause), result.wasUncertain && !tellsOutcome);
}

// The store takes no value of this size: the entries go back into the queue and out in smaller records.
void log::implementation::splitBatch(protocol::JournalRecord record, const write_result& result)
{
    auto callbacks = std::exchange(m_inFlight, {});
    m_isWritePlanned = false;
    m_batchEntries = std::max<std::size_t>(callbacks.size() / 2, 1);
    if (callbacks.size() == 1) {
        callbacks.front()(error(absl::StatusCode::kInvalidArgument, "append", result.cause.message()));
        pump();
        return;
    }
    for (std::size_t index = callbacks.size(); index-- > 0;) {
        std::string& bytes = *record.mutable_entries(static_cast<int>(index));
        m_waitingBytes += bytes.size();
        m_waiting.push_front({ std::move(bytes), std::move(callbacks[index]) });
    }
    pump();
}

void log::implementation::commitBatch(const protocol::JournalRecord& record, external::revision version)
{
    m_lastSlot = record.slot();
    m_slotVersions[record.slot() % m_options.ring] = version;
    const auto callbacks = std::exchange(m_inFlight, {});
    for (const auto& entry : record.entries())
        m_observer.applyVersion(m_options.entryVersion, record.epoch(), entry);
    m_isWritePlanned = false;
    startSnapshot();
    for (const auto& callback : callbacks)
        callback(absl::OkStatus());
    pump();
}

void log::implementation::startSnapshot()
{
    if (m_state != log_state::Open || m_snapshots->isBusy() || m_lastSlot - m_coveredSlot <= m_options.ring / 2)
        return;
    m_snapshots->start(m_observer.snapshot(), m_lastSlot, [this](const absl::StatusOr<std::uint64_t>& covered) { finishSnapshot(covered); });
}

void log::implementation::finishSnapshot(const absl::StatusOr<std::uint64_t>& covered)
{
    if (m_state != log_state::Open)
        return;
    if (covered.ok()) {
        m_coveredSlot = *covered;
        startSnapshot();
        pump();
        return;
    }
    if (!absl::IsInvalidArgument(covered.status())) {
        depose(covered.status(), !m_inFlight.empty());
        return;
    }
    // The store refuses even small chunks; entries are taken until the ring is full.
    m_context->loop.callLater(m_options.longestRetry, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->startSnapshot();
    });
}

void log::implementation::release(release_callback callback)
{
    if (m_state != log_state::Open || m_released) {
        callback(error(absl::StatusCode::kFailedPrecondition, "release", "this writer does not own the journal"));
        return;
    }
    m_released = std::move(callback);
    pump();
}

void log::implementation::writeRelease()
{
    if (m_state != log_state::Open)
        return;
    auto record = makeRecord(m_lastSlot + 1);
    record.set_release(true);
    external::write_request request {
        .key = slotKey(m_options.name, record.slot(), m_options.ring),
        .value = encodeEnvelope(record),
        .expectedVersion = m_slotVersions[record.slot() % m_options.ring],
        .lease = 0,
    };
    writeSettled(m_context, weak_from_this(), std::move(request), [this, slot = record.slot()](const write_result& result) {
        if (m_state != log_state::Open)
            return;
        if (result.outcome != write_outcome::Written) {
            depose(error(absl::StatusCode::kFailedPrecondition, "release", "another writer was quicker"), false);
            return;
        }
        m_lastSlot = slot;
        m_state = log_state::Released;
        std::exchange(m_released, nullptr)(absl::OkStatus());
    });
}

void log::implementation::depose(const absl::Status& cause, bool isBatchUncertain)
{
    m_state = log_state::OwnershipLost;
    utils::logEvent(utils::events::journalDeposed, { { "journal", m_options.name }, { "epoch", absl::StrCat(m_epoch) }, { "cause", utils::describe(cause) } });
    const auto refusal = error(absl::StatusCode::kFailedPrecondition, "append", cause.message());
    const auto uncertain = error(absl::StatusCode::kUnknown, "append", cause.message());
    m_observer.ownershipLost(cause);
    for (auto& callback : std::exchange(m_inFlight, {}))
        callback(isBatchUncertain ? uncertain : refusal);
    for (auto& entry : std::exchange(m_waiting, {}))
        entry.callback(refusal);
    if (m_released)
        std::exchange(m_released, nullptr)(refusal);
}

void log::implementation::close()
{
    const auto uncertain = error(absl::StatusCode::kUnknown, "close", "closed before the store answered");
    m_state = log_state::Closed;
    if (m_opened)
        std::exchange(m_opened, nullptr)(uncertain);
    for (auto& callback : std::exchange(m_inFlight, {}))
        callback(uncertain);
    for (auto& entry : std::exchange(m_waiting, {}))
        entry.callback(error(absl::StatusCode::kFailedPrecondition, "close", "closed before the entry was sent"));
    if (m_released)
        std::exchange(m_released, nullptr)(uncertain);
}

log::log(external::key_value_store& store, executor& loop, write_budget& budget, options options, observer& observer)
    : m_implementation(std::make_shared<implementation>(store, loop, budget, std::move(options), observer))
{
}

log::~log()
{
    m_implementation->close();
}

void log::open(std::uint64_t epochWish, open_callback callback)
{
    m_implementation->open(epochWish, std::move(callback));
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

std::size_t log::waitingEntries() const
{
    return m_implementation->m_waiting.size();
}

std::uint64_t log::writes() const
{
    return m_implementation->m_context->writes;
}

} // namespace camphorsaddle::journal
