#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "external/key_value_store.h"
#include "journal/executor.h"
#include "journal/write_budget.h"

namespace camphorsaddle::journal {

//! \brief Applies the committed entries of a log in log order, including those that this process appended.
class observer {
public:
    virtual ~observer() = default;

    //! \brief Replaces the state with \a snapshot, which is empty for a new log. open() calls this again each time it reads the log again.
    virtual void restore(absl::string_view snapshot) = 0;
    //! \brief Applies one committed entry that the writer with \a epoch appended.
    virtual void apply(std::uint64_t epoch, absl::string_view entry) = 0;
    //! \brief Applies an entry of any format version up to options::newestSupportedEntryVersion; by default there is one format.
    virtual void applyVersion(std::uint32_t, std::uint64_t epoch, absl::string_view entry)
    {
        apply(epoch, entry);
    }
    //! \brief Returns the state after the last applied entry, in the form that restore() takes.
    virtual std::string snapshot() = 0;
    //! \brief Another writer has taken the log over, so nothing can be appended any more. Called once.
    virtual void ownershipLost(const absl::Status& cause) = 0;
};

struct options {
    //! Name of the log, a part of its keys in the store.
    std::string name;
    //! Identifies this log instance among all instances of all processes, for instance member id, incarnation and a counter.
    std::string writer;
    //! Number of slots in the ring, at least 8; all writers and readers of a log must use the same number.
    std::uint64_t slotCount = 256;
    //! Maximum size of the entries in one record, in bytes.
    std::size_t maximumBatchBytes = 256 * 1024;
    //! Maximum size of the entries that wait to be written, in bytes; append() rejects more.
    std::size_t maximumQueuedBytes = 4 * 1024 * 1024;
    //! Maximum size of a snapshot chunk, in bytes. The store limits values to 1 MB.
    std::size_t maximumChunkBytes = 512 * 1024;
    //! Number of keys that one list call requests.
    std::size_t keysPerPage = 64;
    //! Format version of the entries and snapshots that this writer writes.
    std::uint32_t entryVersion = 1;
    //! Newest format version that the observer can read; open() fails when the log holds a newer one.
    std::uint32_t newestSupportedEntryVersion = 1;
    utils::milliseconds initialRetryDelay { 50 };
    utils::milliseconds maximumRetryDelay { 2000 };
};

enum class log_state {
    Closed,
    Opening,
    Open,
    OwnershipLost,
    //! The writer gave up its ownership by release().
    Released,
};

//! \brief A log that is stored in the key-value store and has one owner at a time, which writes it.
//!
//! Slot n is stored under the key journal/<name>/slot/<n mod slot count>. Each slot is written once, by compare-and-swap,
//! so the slots define the order of the records and a writer that has lost ownership cannot append. All calls and callbacks
//! run on the executor's thread; the referenced objects must outlive the log. The destructor completes pending callbacks
//! with Unknown for entries in flight and FailedPrecondition for entries that were never sent.
class log {
public:
    using open_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;
    using append_callback = std::function<void(absl::Status)>;
    using release_callback = std::function<void(absl::Status)>;

    log(external::key_value_store& store, executor& loop, write_budget& budget, options options, observer& observer);
    ~log();
    log(const log&) = delete;
    log& operator=(const log&) = delete;

    //! \brief Reads the log, writes a takeover record, restores the observer and passes the new epoch to \a callback.
    //!
    //! The epoch is at least \a minimumEpoch and greater than all earlier epochs. Retries while the store is unavailable.
    //! Errors: DataLoss with key and slot for a corrupt log or an unknown format; FailedPrecondition when another writer
    //! took over in the meantime or open() was called before.
    void open(std::uint64_t minimumEpoch, open_callback callback);

    //! \brief Appends an entry; \a callback runs after the observer has applied it.
    //!
    //! Errors: FailedPrecondition when the entry is known not to be in the log (the log is not open or has another owner),
    //! Unknown when it may be in the log, ResourceExhausted when too many bytes are queued, InvalidArgument when the entry
    //! is too large for a record or for the store.
    void append(std::string entry, append_callback callback);

    //! \brief Commits the queued entries, then writes a final record that gives up ownership; later append() calls fail.
    //!
    //! Errors: FailedPrecondition when the log is not open or another writer took over in the meantime, Unknown when the log
    //! was closed before the store answered.
    void release(release_callback callback);
    //! \brief Whether the previous owner had released the log before this one took it over.
    bool wasReleased() const;

    log_state state() const;
    std::uint64_t epoch() const;
    //! \brief Number of the last slot that is known to be committed.
    std::uint64_t lastSlot() const;
    //! \brief Whether the last call to the store succeeded, where a version conflict counts as success; callers reject new work
    //! while this is false.
    bool isStoreReachable() const;
    std::size_t queuedEntryCount() const;
    //! \brief Number of store writes issued so far, including retries.
    std::uint64_t issuedWrites() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace camphorsaddle::journal
