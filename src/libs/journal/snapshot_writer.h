#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "journal/confirmed_write.h"
#include "protocol/journal.pb.h"

namespace camphorsaddle::journal {

struct snapshot_options {
    std::string writer;
    std::uint64_t epoch = 0;
    std::size_t maximumChunkBytes = 0;
    std::uint32_t stateVersion = 1;
};

//! \brief Writes the snapshots of one owner of a log, one after the other.
//!
//! Before its first snapshot, an owner rewrites the head with its own epoch, which makes head writes of previous owners
//! fail. Chunks are written to the set of keys that the head does not refer to. A chunk with a lower epoch is overwritten; a
//! chunk with a higher epoch, or with the same epoch and another writer, means that this owner has lost the log.
//! The head is written last. If the store rejects a chunk as too large, the chunk size is halved.
class snapshot_writer {
public:
    //! \brief Receives the last covered slot. Errors: Aborted when another owner has superseded this one, InvalidArgument when
    //! the store rejects even the smallest chunk.
    using completion_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;

    snapshot_writer(std::shared_ptr<write_context> context, snapshot_options options,
        protocol::SnapshotHead head, std::map<std::string, external::revision> versions, std::weak_ptr<void> owner);

    bool isBusy() const
    {
        return m_isBusy;
    }

    //! \brief Starts to write \a state as of \a slot. Must not be called while isBusy().
    void start(std::string state, std::uint64_t slot, completion_callback callback);

private:
    void fenceHead();
    void writeChunk(std::uint32_t index);
    void writeHead();
    void send(const std::string& key, const google::protobuf::MessageLite& message, std::function<void(write_result)> callback);
    void finish(absl::StatusOr<std::uint64_t> result);
    void fail(const write_result& result);
    //! Whether a snapshot key with this epoch and writer was written by an owner that supersedes this one.
    bool isSupersededBy(std::uint64_t epoch, const std::string& writer) const
    {
        return epoch > m_options.epoch || (epoch == m_options.epoch && writer != m_options.writer);
    }

    std::shared_ptr<write_context> m_context;
    snapshot_options m_options;
    protocol::SnapshotHead m_head;
    std::map<std::string, external::revision> m_versions;
    std::weak_ptr<void> m_owner;
    bool m_isHeadFenced = false;
    bool m_isBusy = false;
    std::string m_state;
    std::uint64_t m_slot = 0;
    completion_callback m_callback;
};

} // namespace camphorsaddle::journal
