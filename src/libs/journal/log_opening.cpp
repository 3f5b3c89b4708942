#include "journal/log_implementation.h"

#include <algorithm>

#include "journal/record.h"
#include "utils/events.h"

namespace camphorsaddle::journal {

void log::implementation::open(std::uint64_t minimumEpoch, open_callback callback)
{
    if (m_wasOpened) {
        callback(error(absl::StatusCode::kFailedPrecondition, "open", "the journal was opened before"));
        return;
    }
    m_wasOpened = true;
    m_state = log_state::Opening;
    m_minimumEpoch = minimumEpoch;
    m_openCallback = std::move(callback);
    read();
}

void log::implementation::read()
{
    readLog(m_context->store, m_options.name, { m_options.slotCount, m_options.keysPerPage }, [weak = weak_from_this()](absl::StatusOr<log_contents> contents) {
        if (const auto self = weak.lock())
            self->evaluateContents(std::move(contents));
    });
}

void log::implementation::evaluateContents(absl::StatusOr<log_contents> contents)
{
    if (m_state != log_state::Opening)
        return;
    if (!contents.ok()) {
        if (absl::IsDataLoss(contents.status())) {
            failOpen(contents.status());
            return;
        }
        m_context->recordStoreResult(contents.status());
        retryRead(m_context->retryDelay(m_openFailures++));
        return;
    }
    m_context->recordStoreResult(absl::OkStatus());
    m_openFailures = 0;
    if (contents->inconsistency.ok()) {
        if (const auto status = checkVersions(*contents); !status.ok())
            failOpen(status);
        else
            takeOver(std::make_shared<log_contents>(*std::move(contents)));
        return;
    }
    // Two reads with the same inconsistent contents mean that no writer was active in between, so the stored log is corrupt.
    const auto fingerprint = std::max<std::uint64_t>(contents->fingerprint(), 1);
    if (std::exchange(m_inconsistentFingerprint, fingerprint) == fingerprint)
        failOpen(utils::makeError(absl::StatusCode::kDataLoss, utils::errorStep(contents->inconsistency), utils::errorPeer(contents->inconsistency), contents->inconsistency.message()));
    else
        retryRead(m_context->retryDelay(0));
}

absl::Status log::implementation::checkVersions(const log_contents& contents) const
{
    if (contents.head.state_version() > m_options.newestSupportedEntryVersion) {
        const std::string cause = absl::StrCat("unknown format version ", contents.head.state_version(), " of the snapshot up to slot ", contents.head.covered_slot());
        return utils::makeError(absl::StatusCode::kDataLoss, "read journal", snapshotHeadKey(m_options.name), cause);
    }
    for (const auto& record : contents.records) {
        if (record.entry_version() > m_options.newestSupportedEntryVersion) {
            const std::string cause = absl::StrCat("unknown format version ", record.entry_version(), " of the entries in slot ", record.slot());
            return utils::makeError(absl::StatusCode::kDataLoss, "read journal", slotKey(m_options.name, record.slot(), m_options.slotCount), cause);
        }
    }
    return absl::OkStatus();
}

void log::implementation::retryRead(utils::milliseconds delay)
{
    m_context->loop.callLater(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->m_state == log_state::Opening)
            self->read();
    });
}

void log::implementation::failOpen(const absl::Status& cause)
{
    if (absl::IsDataLoss(cause))
        utils::logEvent(utils::events::journalCorrupt, { { "journal", m_options.name }, { "key", utils::errorPeer(cause) }, { "cause", utils::describe(cause) } });
    m_state = log_state::Closed;
    std::exchange(m_openCallback, nullptr)(cause);
}

void log::implementation::takeOver(const std::shared_ptr<log_contents>& contents)
{
    const std::uint64_t slot = contents->lastSlot + 1;
    if (slot - contents->head.covered_slot() > m_options.slotCount) {
        writeSnapshotBeforeTakeover(contents);
        return;
    }
    m_epoch = std::max(m_minimumEpoch, contents->lastEpoch + 1);
    auto record = makeRecord(slot);
    record.set_takeover(true);
    const std::string key = slotKey(m_options.name, slot, m_options.slotCount);
    external::write_request request { .key = key, .value = encodeEnvelope(record), .expectedVersion = contents->versionOf(key), .lease = 0 };
    auto finish = [this, contents](const write_result& result) {
        if (m_state != log_state::Opening)
            return;
        if (result.outcome == write_outcome::Written) {
            contents->versions[result.current.key] = result.current.version;
            finishOpen(*contents);
        } else if (result.outcome == write_outcome::Rejected) {
            failOpen(utils::withContext(result.cause, "take over", m_options.name));
        } else {
            adoptCompetingRecord(contents, result);
        }
    };
    runRateLimited(m_context, weak_from_this(), [this, request = std::move(request), finish = std::move(finish)] {
        writeConfirmed(m_context, weak_from_this(), request, finish);
    });
}

// The previous owner wrote the slot first. Its record belongs to the log, so the takeover continues with the next slot
// without reading everything again.
void log::implementation::adoptCompetingRecord(const std::shared_ptr<log_contents>& contents, const write_result& result)
{
    protocol::JournalRecord other;
    if (const auto status = decodeEnvelope(result.current.key, result.current.value, other); !status.ok()) {
        failOpen(status);
        return;
    }
    const std::uint64_t slot = contents->lastSlot + 1;
    if (other.epoch() >= m_epoch) {
        failOpen(error(absl::StatusCode::kFailedPrecondition, "open", absl::StrCat("slot ", slot, " was written by ", other.writer(), " with epoch ", other.epoch())));
        return;
    }
    contents->versions[result.current.key] = result.current.version;
    if (other.slot() != slot || other.journal() != m_options.name || other.entry_version() > m_options.newestSupportedEntryVersion) {
        read();
        return;
    }
    contents->lastSlot = slot;
    contents->records.push_back(std::move(other));
    takeOver(contents);
}

// Several owners in a row ended before their first snapshot and have used up the slots, so a snapshot has to cover the
// slots before this takeover.
void log::implementation::writeSnapshotBeforeTakeover(const std::shared_ptr<log_contents>& contents)
{
    m_epoch = std::max(m_minimumEpoch, contents->lastEpoch + 1);
    replay(*contents);
    auto head = contents->head;
    head.set_journal(m_options.name);
    m_snapshotWriter.emplace(m_context, snapshot_options { m_options.writer, m_epoch, m_options.maximumChunkBytes, m_options.entryVersion }, std::move(head), contents->versions, weak_from_this());
    m_snapshotWriter->start(m_observer.snapshot(), contents->lastSlot, [this](const absl::StatusOr<std::uint64_t>& covered) {
        if (m_state != log_state::Opening)
            return;
        if (covered.ok())
            read();
        else
            failOpen(error(absl::StatusCode::kFailedPrecondition, "open", covered.status().message()));
    });
}

void log::implementation::replay(const log_contents& contents)
{
    m_observer.restore(contents.state);
    for (const auto& record : contents.records) {
        for (const auto& entry : record.entries())
            m_observer.applyVersion(std::max(record.entry_version(), 1U), record.epoch(), entry);
    }
}

void log::implementation::finishOpen(const log_contents& contents)
{
    m_lastSlot = contents.lastSlot + 1;
    m_coveredSlot = contents.head.covered_slot();
    m_wasReleased = !contents.records.empty() && contents.records.back().release();
    m_slotVersions.resize(m_options.slotCount);
    for (std::uint64_t index = 0; index < m_options.slotCount; ++index)
        m_slotVersions[index] = contents.versionOf(slotKey(m_options.name, index, m_options.slotCount));
    auto head = contents.head;
    head.set_journal(m_options.name);
    m_snapshotWriter.emplace(m_context, snapshot_options { m_options.writer, m_epoch, m_options.maximumChunkBytes, m_options.entryVersion }, std::move(head), contents.versions, weak_from_this());
    replay(contents);
    m_state = log_state::Open;
    std::exchange(m_openCallback, nullptr)(m_epoch);
    if (m_state != log_state::Open)
        return;
    startSnapshot();
    scheduleWrite();
}

} // namespace camphorsaddle::journal
