#include "request_keys/key_codec.h"

#include "utils/errors.h"

namespace camphorsaddle::request_keys {

namespace {

    protocol::KeyEntry toMessage(const std::string& key, wall_milliseconds createdAt, const key_record& record)
    {
        protocol::KeyEntry message;
        message.set_key(key);
        message.set_at_ms(createdAt);
        message.set_kind(static_cast<std::uint32_t>(record.phase));
        message.set_claimant(record.holder.member);
        message.set_incarnation(record.holder.incarnation);
        message.set_ticket(record.holder.ticket);
        message.set_fingerprint(record.fingerprint);
        if (record.phase == key_phase::Answered)
            *message.mutable_answer() = request_keys::toMessage(record.answer);
        return message;
    }

    absl::StatusOr<key_entry> fromMessage(const protocol::KeyEntry& message)
    {
        if (message.kind() > static_cast<std::uint32_t>(key_phase::Withdrawn))
            return utils::makeError(absl::StatusCode::kDataLoss, "decode request key", message.key(), "unknown entry kind");
        key_record record { static_cast<key_phase>(message.kind()), { message.claimant(), message.incarnation(), message.ticket() }, message.fingerprint(), message.at_ms(),
            request_keys::fromMessage(message.answer()) };
        return key_entry { message.key(), message.at_ms(), std::move(record) };
    }

} // namespace

std::string encodeEntry(const key_entry& change)
{
    return toMessage(change.key, change.createdAt, change.record).SerializeAsString();
}

absl::StatusOr<key_entry> decodeEntry(absl::string_view text)
{
    protocol::KeyEntry message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size())))
        return utils::makeError(absl::StatusCode::kDataLoss, "decode request key", "", "the entry cannot be parsed");
    return fromMessage(message);
}

std::string encodeSnapshot(const key_table& table)
{
    protocol::KeySnapshot snapshot;
    for (const auto& [key, record] : table.records())
        *snapshot.add_keys() = toMessage(key, record.claimedAt, record);
    return snapshot.SerializeAsString();
}

absl::StatusOr<std::map<std::string, key_record>> decodeSnapshot(absl::string_view text)
{
    protocol::KeySnapshot snapshot;
    if (!snapshot.ParseFromArray(text.data(), static_cast<int>(text.size())))
        return utils::makeError(absl::StatusCode::kDataLoss, "decode request keys", "", "the snapshot cannot be parsed");
    std::map<std::string, key_record> records;
    for (const auto& message : snapshot.keys()) {
        auto entry = fromMessage(message);
        if (!entry.ok())
            return entry.status();
        records[entry->key] = std::move(entry->record);
    }
    return records;
}

protocol::KeyAnswer toMessage(const key_answer& answer)
{
    protocol::KeyAnswer message;
    message.set_status(answer.status);
    message.mutable_headers()->insert(answer.headers.begin(), answer.headers.end());
    message.set_body(answer.body);
    return message;
}

key_answer fromMessage(const protocol::KeyAnswer& message)
{
    return { message.status(), { message.headers().begin(), message.headers().end() }, message.body() };
}

} // namespace camphorsaddle::request_keys
