#include "journal/log_implementation.h"

#include <algorithm>

#include "journal/record.h"
#include "utils/events.h"

namespace camphorsaddle::journal {

void log::implementation::open(std::uint64_t epochWish, open_callback callback)
{
    if (m_wasOpened) {
        callback(error(absl::StatusCode::kFailedPrecondition, "open", "was opened before"));
        return;
    }
    m_wasOpened = true;
    m_state = log_state::Opening;
    m_epochWish = epochWish;
    m_opened = std::move(callback);
    read();
}

void log::implementation::read()
{
    readContents(m_context->store, m_options.name, { m_options.ring, m_options.pageKeys }, [weak = weak_from_this()](absl::StatusOr<log_contents> contents) {
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
        m_context->note(contents.status());
        retryRead(m_context->retryDelay(m_openFailures++));
        return;
    }
    m_context->note(absl::OkStatus());
    m_openFailures = 0;
    if (contents->mixed.ok()) {
        if (const auto status = checkVersions(*contents); !status.ok())
            failOpen(status);
        else
            takeOver(std::make_shared<log_contents>(*std::move(contents)));
        return;
    }
    // The same picture twice means that no writer was at work in between, so that the log itself is torn.
    const auto fingerprint = std::max<std::uint64_t>(contents->fingerprint(), 1);
    if (std::exchange(m_mixedContents, fingerprint) == fingerprint)
        failOpen(utils::makeError(absl::StatusCode::kDataLoss, utils::errorStep(contents->mixed), utils::errorPeer(contents->mixed), contents->mixed.message()));
    else
        retryRead(m_context->retryDelay(0));
}

absl::Status log::implementation::checkVersions(const log_contents& contents) const
{
    if (contents.head.state_version() > m_options.newestEntryVersion) {
        const std::string cause = absl::StrCat("unknown version ", contents.head.state_version(), " of the state up to slot ", contents.head.covered_slot());
        return utils::makeError(absl::StatusCode::kDataLoss, "read journal", snapshotHeadKey(m_options.name), cause);
    }
    for (const auto& record : contents.records) {
        if (record.entry_version() > m_options.newestEntryVersion) {
            const std::string cause = absl::StrCat("unknown version ", record.entry_version(), " of the entries in slot ", record.slot());
            return utils::makeError(absl::StatusCode::kDataLoss, "read journal", slotKey(m_options.name, record.slot(), m_options.ring), cause);
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
    std::exchange(m_opened, nullptr)(cause);
}

void log::implementation::takeOver(const std::shared_ptr<log_contents>& contents)
{
    const std::uint64_t slot = contents->lastSlot + 1;
    if (slot - contents->head.covered_slot() > m_options.ring) {
        makeRoom(contents);
        return;
    }
    m_epoch = std::max(m_epochWish, contents->lastEpoch + 1);
    auto record = makeRecord(slot);
    record.set_takeover(true);
    const std::string key = slotKey(m_options.name, slot, m_options.ring);
    external::write_request request { .key = key, .value = encodeEnvelope(record), .expectedVersion = contents->versionOf(key), .lease = 0 };
    auto finish = [this, contents](const write_result& result) {
        if (m_state != log_state::Opening)
            return;
        if (result.outcome == write_outcome::Written) {
            contents->versions[result.current.key] = result.current.version;
            finishOpen(*contents);
        } else if (result.outcome == write_outcome::Refused) {
            failOpen(utils::withContext(result.cause, "take over", m_options.name));
        } else {
            chase(contents, result);
        }
    };
    runPaced(m_context, weak_from_this(), [this, request = std::move(request), finish = std::move(finish)] {
        writeSettled(m_context, weak_from_this(), request, finish);
    });
}

// A former owner was quicker: its record is part of the log, and the next slot is tried without reading all again.
void log::implementation::chase(const std::shared_ptr<log_contents>& contents, const write_result& result)
{
    protocol::JournalRecord other;
    if (const auto status = decodeEnvelope(result.current.key, result.current.value, other); !status.ok()) {
        failOpen(status);
        return;
    }
    const std::uint64_t slot = contents->lastSlot + 1;
    if (other.epoch() >= m_epoch) {
        failOpen(error(absl::StatusCode::kFailedPrecondition, "open", absl::StrCat("slot ", slot, " was taken by ", other.writer(), " with epoch ", other.epoch())));
        return;
    }
    contents->versions[result.current.key] = result.current.version;
    if (other.slot() != slot || other.journal() != m_options.name || other.entry_version() > m_options.newestEntryVersion) {
        read();
        return;
    }
    contents->lastSlot = slot;
    contents->records.push_back(std::move(other));
    takeOver(contents);
}

// Takeovers in a row that ended before their first snapshot have filled the ring: cover it before taking over.
void log::implementation::makeRoom(const std::shared_ptr<log_contents>& contents)
{
    m_epoch = std::max(m_epochWish, contents->lastEpoch + 1);
    replay(*contents);
    auto head = contents->head;
    head.set_journal(m_options.name);
    m_snapshots.emplace(m_context, snapshot_options { m_options.writer, m_epoch, m_options.chunkBytes, m_options.entryVersion }, std::move(head), contents->versions, weak_from_this());
    m_snapshots->start(m_observer.snapshot(), contents->lastSlot, [this](const absl::StatusOr<std::uint64_t>& covered) {
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
    m_slotVersions.resize(m_options.ring);
    for (std::uint64_t index = 0; index < m_options.ring; ++index)
        m_slotVersions[index] = contents.versionOf(slotKey(m_options.name, index, m_options.ring));
    auto head = contents.head;
    head.set_journal(m_options.name);
    m_snapshots.emplace(m_context, snapshot_options { m_options.writer, m_epoch, m_options.chunkBytes, m_options.entryVersion }, std::move(head), contents.versions, weak_from_this());
    replay(contents);
    m_state = log_state::Open;
    std::exchange(m_opened, nullptr)(m_epoch);
    if (m_state != log_state::Open)
        return;
    startSnapshot();
    pump();
}

} // namespace camphorsaddle::journal
