#include "journal/record.h"

#include "absl/strings/str_cat.h"
#include "protocol/journal.pb.h"
#include "utils/errors.h"
#include "utils/hashing.h"

namespace camphorsaddle::journal {

namespace {

    constexpr std::uint32_t storedFormat = 1;

    absl::Status corrupt(absl::string_view key, absl::string_view cause)
    {
        return utils::makeError(absl::StatusCode::kDataLoss, "decode journal value", key, cause);
    }

} // namespace

std::string logPrefix(absl::string_view name)
{
    return absl::StrCat("journal/", name, "/");
}

std::string slotKey(absl::string_view name, std::uint64_t slot, std::uint64_t ring)
{
    return absl::StrCat(logPrefix(name), "slot/", slot % ring);
}

std::string snapshotHeadKey(absl::string_view name)
{
    return absl::StrCat(logPrefix(name), "snapshot/head");
}

std::string snapshotChunkKey(absl::string_view name, std::uint64_t generation, std::uint32_t index)
{
    return absl::StrCat(logPrefix(name), "snapshot/", generation % 2, ".", index);
}

std::string encodeEnvelope(const google::protobuf::MessageLite& message)
{
    protocol::JournalEnvelope envelope;
    message.SerializeToString(envelope.mutable_content());
    envelope.set_format(storedFormat);
    envelope.set_checksum(utils::stableHash(envelope.content()));
    return envelope.SerializeAsString();
}

absl::Status decodeEnvelope(absl::string_view key, absl::string_view value, google::protobuf::MessageLite& message)
{
    protocol::JournalEnvelope envelope;
    if (!envelope.ParseFromArray(value.data(), static_cast<int>(value.size())))
        return corrupt(key, "not a journal value");
    if (envelope.format() != storedFormat)
        return corrupt(key, absl::StrCat("unknown format ", envelope.format()));
    if (envelope.checksum() != utils::stableHash(envelope.content()))
        return corrupt(key, "checksum mismatch");
    if (!message.ParseFromString(envelope.content()))
        return corrupt(key, "content does not parse");
    return absl::OkStatus();
}

} // namespace camphorsaddle::journal
