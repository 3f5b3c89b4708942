#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "external/key_value_store.h"
#include "protocol/journal.pb.h"

namespace camphorsaddle::journal {

//! \brief The contents of a log as read from the store.
struct log_contents {
    protocol::SnapshotHead head;
    //! Serialized state of the snapshot, which covers all slots up to head.covered_slot().
    std::string state;
    //! Consecutive records, starting with slot head.covered_slot() + 1.
    std::vector<protocol::JournalRecord> records;
    std::uint64_t lastSlot = 0;
    std::uint64_t lastEpoch = 0;
    //! Store versions of the keys that were read.
    std::map<std::string, external::revision> versions;
    //! Aborted when a concurrent writer changed the log during the read, so that the values do not match; the other fields
    //! are incomplete then and the log must be read again.
    absl::Status inconsistency;
    //! Number of store calls and bytes that the read took.
    std::size_t calls = 0;
    std::size_t bytes = 0;

    //! \brief Hash over all keys and versions; equal for two reads only if no key changed in between.
    std::uint64_t fingerprint() const;

    external::revision versionOf(const std::string& key) const;
};

struct read_options {
    std::uint64_t slotCount = 256;
    //! Number of keys that one list call requests.
    std::size_t keysPerPage = 64;
};

//! \brief Reads a log: the head of the snapshot, the chunks that the head refers to, then the slots page by page.
//!
//! The record in a slot does not change until a snapshot covers it, so records that follow the snapshot without a gap belong
//! to the log even if the pages were listed at different times. A concurrent writer is detected later, when the version of
//! the next slot does not match.
//! Errors: those of the store, and DataLoss with the key when a value fails its check.
void readLog(external::key_value_store& store, const std::string& name, read_options options, std::function<void(absl::StatusOr<log_contents>)> callback);

} // namespace camphorsaddle::journal
