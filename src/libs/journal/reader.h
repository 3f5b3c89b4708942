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

//! \brief What the store holds of a log.
struct log_contents {
    protocol::SnapshotHead head;
    //! State bytes of the snapshot, after head.covered_slot().
    std::string state;
    //! Consecutive records from head.covered_slot() + 1 on.
    std::vector<protocol::JournalRecord> records;
    std::uint64_t lastSlot = 0;
    std::uint64_t lastEpoch = 0;
    //! Versions of the keys that were read.
    std::map<std::string, external::revision> versions;
    //! Aborted when the values come from several moments of the log: the other fields are not whole, read again.
    absl::Status inconsistency;
    //! What reading took.
    std::size_t calls = 0;
    std::size_t bytes = 0;

    //! \brief Equal for two readings only if no key changed in between.
    std::uint64_t fingerprint() const;

    external::revision versionOf(const std::string& key) const;
};

struct read_options {
    std::uint64_t slotCount = 256;
    //! Keys that one listing asks for.
    std::size_t keysPerPage = 64;
};

//! \brief Reads a log: the snapshot's head, the chunks that it names, then the slots page by page.
//!
//! A slot's record never changes until it is covered, so the records that follow the snapshot without a gap are part of
//! the log whatever the moments of the pages; a later writer is found by the version of the next slot.
//! Errors are those of the store, and DataLoss with the key when a value fails its check.
void readLog(external::key_value_store& store, const std::string& name, read_options options, std::function<void(absl::StatusOr<log_contents>)> callback);

} // namespace camphorsaddle::journal
