#include "journal/snapshot_writer.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "journal/record.h"
#include "utils/errors.h"
#include "utils/hashing.h"

namespace camphorsaddle::journal {

namespace {

    constexpr std::size_t smallestChunk = 16;

} // namespace

snapshot_writer::snapshot_writer(std::shared_ptr<write_context> context, snapshot_options options,
    protocol::SnapshotHead head, std::map<std::string, external::revision> versions, std::weak_ptr<void> owner)
    : m_context(std::move(context))
    , m_options(std::move(options))
    , m_head(std::move(head))
    , m_versions(std::move(versions))
    , m_owner(std::move(owner))
{
}

void snapshot_writer::start(std::string state, std::uint64_t slot, done_callback callback)
{
    m_isBusy = true;
    m_state = std::move(state);
    m_slot = slot;
    m_callback = std::move(callback);
    if (m_isFenced)
        writeChunk(0);
    else
        fenceHead();
}

void snapshot_writer::fenceHead()
{
    protocol::SnapshotHead fenced = m_head;
    fenced.set_writer(m_options.writer);
    fenced.set_epoch(m_options.epoch);
    send(snapshotHeadKey(m_head.journal()), fenced, [this, fenced](const write_result& result) {
        if (result.outcome == write_outcome::Written) {
            m_head = fenced;
            m_isFenced = true;
            writeChunk(0);
            return;
        }
        protocol::SnapshotHead other;
        const auto status = decodeEnvelope(result.current.key, result.current.value, other);
        if (result.outcome == write_outcome::Refused || !status.ok() || isRival(other.epoch(), other.writer())) {
            fail(result);
            return;
        }
        // A former owner completed a snapshot after this owner read the log.
        m_head = other;
        m_versions[result.current.key] = result.current.version;
        fenceHead();
    });
}

void snapshot_writer::writeChunk(std::uint32_t index)
{
    const std::size_t offset = index * m_options.chunkBytes;
    if (offset >= m_state.size()) {
        writeHead();
        return;
    }
    protocol::SnapshotChunk chunk;
    chunk.set_journal(m_head.journal());
    chunk.set_writer(m_options.writer);
    chunk.set_epoch(m_options.epoch);
    chunk.set_generation(m_head.generation() + 1);
    chunk.set_index(index);
    chunk.set_content(m_state.substr(offset, m_options.chunkBytes));
    send(snapshotChunkKey(m_head.journal(), chunk.generation(), index), chunk, [this, index](const write_result& result) {
        if (result.outcome == write_outcome::Written) {
            writeChunk(index + 1);
            return;
        }
        if (result.outcome == write_outcome::Refused && !result.wasUncertain && m_options.chunkBytes / 2 >= smallestChunk) {
            m_options.chunkBytes /= 2;
            writeChunk(0);
            return;
        }
        protocol::SnapshotChunk other;
        const auto status = decodeEnvelope(result.current.key, result.current.value, other);
        if (result.outcome == write_outcome::Refused || (status.ok() && isRival(other.epoch(), other.writer()))) {
            fail(result);
            return;
        }
        m_versions[result.current.key] = result.current.version;
        writeChunk(index);
    });
}

void snapshot_writer::writeHead()
{
    protocol::SnapshotHead head = m_head;
    head.set_generation(m_head.generation() + 1);
    head.set_covered_slot(m_slot);
    head.set_chunks(static_cast<std::uint32_t>((m_state.size() + m_options.chunkBytes - 1) / m_options.chunkBytes));
    head.set_state_version(m_options.stateVersion);
    head.set_bytes(m_state.size());
    head.set_checksum(utils::stableHash(m_state));
    send(snapshotHeadKey(m_head.journal()), head, [this, head](const write_result& result) {
        if (result.outcome != write_outcome::Written) {
            fail(result);
            return;
        }
        m_head = head;
        finish(m_slot);
    });
}

void snapshot_writer::send(const std::string& key, const google::protobuf::MessageLite& message, std::function<void(write_result)> callback)
{
    external::write_request request { .key = key, .value = encodeEnvelope(message), .expectedVersion = m_versions[key], .lease = 0 };
    runPaced(m_context, m_owner, [this, request = std::move(request), callback = std::move(callback)] {
        writeSettled(m_context, m_owner, request, [this, callback](write_result result) {
            if (result.outcome == write_outcome::Written)
                m_versions[result.current.key] = result.current.version;
            callback(std::move(result));
        });
    });
}

void snapshot_writer::finish(absl::StatusOr<std::uint64_t> result)
{
    m_isBusy = false;
    m_state.clear();
    // The callback may start the next snapshot.
    std::exchange(m_callback, nullptr)(std::move(result));
}

void snapshot_writer::fail(const write_result& result)
{
    if (result.outcome == write_outcome::Refused)
        finish(utils::withContext(result.cause, "write snapshot", m_head.journal()));
    else
        finish(utils::makeError(absl::StatusCode::kAborted, "write snapshot", result.current.key, "another owner has written the key"));
}

} // namespace camphorsaddle::journal
