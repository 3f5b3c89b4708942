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

//! \brief Receives the committed entries of a log in log order, its own ones included.
class observer {
public:
    virtual ~observer() = default;

    //! \brief Replaces the state by a snapshot; empty for a new log. Called again when opening reads the log again.
    virtual void restore(absl::string_view snapshot) = 0;
    //! \brief Applies one committed entry that the writer of \a epoch appended.
    virtual void apply(std::uint64_t epoch, absl::string_view entry) = 0;
    //! \brief Applies an entry of a format that options::newestEntryVersion allows; one format by default.
    virtual void applyVersion(std::uint32_t, std::uint64_t epoch, absl::string_view entry)
    {
        apply(epoch, entry);
    }
    //! \brief The state after the last applied entry, in the form that restore() takes.
    virtual std::string snapshot() = 0;
    //! \brief Another writer owns the log; nothing can be appended any more. Called once.
    virtual void ownershipLost(const absl::Status& cause) = 0;
};

struct options {
    //! Name of the log, part of its keys.
    std::string name;
    //! Unique among all log instances of all processes, for instance member, incarnation and a count.
    std::string writer;
    //! Number of slots; every participant must use the same number, at least 8.
    std::uint64_t ring = 256;
    //! Largest sum of entry bytes in one record.
    std::size_t batchBytes = 256 * 1024;
    //! Largest sum of entry bytes that wait for a record; append() refuses more.
    std::size_t waitingBytes = 4 * 1024 * 1024;
    //! Largest chunk of a snapshot in bytes; values of the store are bounded by 1 MB.
    std::size_t chunkBytes = 512 * 1024;
    //! Keys that one listing asks for.
    std::size_t pageKeys = 64;
    //! Format of the entries and the state that this writer writes.
    std::uint32_t entryVersion = 1;
    //! Newest format that the observer reads; greater ones make open() fail.
    std::uint32_t newestEntryVersion = 1;
    utils::milliseconds firstRetry { 50 };
    utils::milliseconds longestRetry { 2000 };
};

enum class log_state {
    Closed,
    Opening,
    Open,
    OwnershipLost,
    //! Given up by release().
    Released,
};

//! \brief A replicated log in the store, written by one owner at a time.
//!
//! Slot n is the key journal/<name>/slot/<n mod ring>, written once by compare-and-swap, so the order of
//! the slots is the truth and a deposed writer cannot add to it. All calls and callbacks happen on the
//! executor's thread; the referenced objects must outlive the log. Destruction ends pending callbacks: Unknown for
//! entries in flight, FailedPrecondition for entries that were never sent.
class log {
public:
    using open_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;
    using append_callback = std::function<void(absl::Status)>;
    using release_callback = std::function<void(absl::Status)>;

    log(external::key_value_store& store, executor& loop, write_budget& budget, options options, observer& observer);
    ~log();
    log(const log&) = delete;
    log& operator=(const log&) = delete;

    //! \brief Reads the log, writes a takeover record, restores the observer and answers with the own epoch.
    //!
    //! The epoch is at least \a epochWish and above all former ones. Retries while the store is unavailable.
    //! Errors: DataLoss with key and slot for a corrupt log or an unknown format, FailedPrecondition when another writer took over meanwhile or open() was called before.
    void open(std::uint64_t epochWish, open_callback callback);

    //! \brief Appends an entry; the callback follows the observer's apply().
    //!
    //! Errors: FailedPrecondition when the entry surely is not in the log (not open, or deposed),
    //! Unknown when it may be, ResourceExhausted when too much waits, InvalidArgument when it is too large for a record or the store.
    void append(std::string entry, append_callback callback);

    //! \brief Commits what waits, then gives the log up by a last record; nothing can be appended from the call on.
    //!
    //! Errors: FailedPrecondition when not open or deposed meanwhile, Unknown when closed before the answer.
    void release(release_callback callback);
    //! \brief Whether the former owner had given the log up before this one took it over.
    bool wasReleased() const;

    log_state state() const;
    std::uint64_t epoch() const;
    //! \brief Number of the last slot known to be committed.
    std::uint64_t lastSlot() const;
    //! \brief Whether the last call to the store succeeded; callers refuse new work while it is false.
    bool isStoreReachable() const;
    std::size_t waitingEntries() const;
    //! \brief Store writes issued so far, repeats included.
    std::uint64_t writes() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace camphorsaddle::journal
