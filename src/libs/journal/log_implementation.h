#pragma once

#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "journal/confirmed_write.h"
#include "journal/log.h"
#include "journal/reader.h"
#include "journal/snapshot_writer.h"
#include "protocol/journal.pb.h"
#include "utils/errors.h"
#include "utils/hashing.h"

namespace camphorsaddle::journal {

struct queued_entry {
    std::string bytes;
    log::append_callback callback;
};

class log::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(external::key_value_store& store, executor& loop, write_budget& budget, options options, observer& observer)
        : m_options(std::move(options))
        , m_observer(observer)
        , m_context(std::make_shared<write_context>(write_context { store, loop, budget, m_options.initialRetryDelay, m_options.maximumRetryDelay, utils::stableHash(m_options.writer), true, 0 }))
    {
    }

    void open(std::uint64_t minimumEpoch, open_callback callback);
    void append(std::string entry, append_callback callback);
    void release(release_callback callback);
    void close();

private:
    friend class log;

    // Opening
    void read();
    void evaluateContents(absl::StatusOr<log_contents> contents);
    absl::Status checkVersions(const log_contents& contents) const;
    void takeOver(const std::shared_ptr<log_contents>& contents);
    void adoptCompetingRecord(const std::shared_ptr<log_contents>& contents, const write_result& result);
    void writeSnapshotBeforeTakeover(const std::shared_ptr<log_contents>& contents);
    void replay(const log_contents& contents);
    void finishOpen(const log_contents& contents);
    void retryRead(utils::milliseconds delay);
    void failOpen(const absl::Status& cause);

    // Appending
    void scheduleWrite();
    void writeBatch();
    void finishBatch(const protocol::JournalRecord& record, const write_result& result);
    void splitBatch(protocol::JournalRecord record, const write_result& result);
    void commitBatch(const protocol::JournalRecord& record, external::revision version);
    void startSnapshot();
    void finishSnapshot(const absl::StatusOr<std::uint64_t>& covered);
    void writeRelease();
    void loseOwnership(const absl::Status& cause, bool isBatchUncertain);

    absl::Status error(absl::StatusCode code, absl::string_view step, absl::string_view cause) const
    {
        return utils::makeError(code, step, absl::StrCat("journal ", m_options.name), cause);
    }

    protocol::JournalRecord makeRecord(std::uint64_t slot)
    {
        protocol::JournalRecord record;
        record.set_journal(m_options.name);
        record.set_slot(slot);
        record.set_writer(m_options.writer);
        record.set_epoch(m_epoch);
        record.set_batch(++m_batchNumber);
        record.set_entry_version(m_options.entryVersion);
        return record;
    }

    options m_options;
    observer& m_observer;
    std::shared_ptr<write_context> m_context;
    log_state m_state = log_state::Closed;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_lastSlot = 0;
    std::deque<queued_entry> m_queue;
    std::uint64_t m_minimumEpoch = 0;
    open_callback m_openCallback;
    bool m_wasOpened = false;
    unsigned m_openFailures = 0;
    //! Fingerprint of the last inconsistent contents that were read; 0 for none.
    std::uint64_t m_inconsistentFingerprint = 0;
    bool m_wasReleased = false;
    std::uint64_t m_batchNumber = 0;
    std::uint64_t m_coveredSlot = 0;
    std::vector<external::revision> m_slotVersions;
    std::optional<snapshot_writer> m_snapshotWriter;
    std::size_t m_queuedBytes = 0;
    bool m_isWriteScheduled = false;
    std::vector<append_callback> m_callbacksInFlight;
    //! Maximum number of entries in a record; lowered after the store rejected a record as too large.
    std::size_t m_maximumBatchEntries = std::numeric_limits<std::size_t>::max();
    release_callback m_releaseCallback;
};

} // namespace camphorsaddle::journal
