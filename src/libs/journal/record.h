#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "google/protobuf/message_lite.h"

namespace camphorsaddle::journal {

//! \brief Prefix of all keys of a log in the store.
std::string logKeyPrefix(absl::string_view name);
std::string slotKey(absl::string_view name, std::uint64_t slot, std::uint64_t slotCount);
std::string snapshotHeadKey(absl::string_view name);
//! \brief Key of a snapshot chunk. Generations alternate between two sets of keys, so that writing one leaves the previous one intact.
std::string snapshotChunkKey(absl::string_view name, std::uint64_t generation, std::uint32_t index);

//! \brief Serializes a message into the stored form: format version, checksum, content.
std::string encodeEnvelope(const google::protobuf::MessageLite& message);

//! \brief Parses a stored value into \a message. Errors: DataLoss with \a key as the peer when the value fails its check.
absl::Status decodeEnvelope(absl::string_view key, absl::string_view value, google::protobuf::MessageLite& message);

} // namespace camphorsaddle::journal
