#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "google/protobuf/message_lite.h"

namespace camphorsaddle::journal {

//! \brief Keys of a log in the store.
std::string logPrefix(absl::string_view name);
std::string slotKey(absl::string_view name, std::uint64_t slot, std::uint64_t ring);
std::string snapshotHeadKey(absl::string_view name);
//! Successive generations use two alternating sets of chunk keys, so that writing one leaves the other whole.
std::string snapshotChunkKey(absl::string_view name, std::uint64_t generation, std::uint32_t index);

//! \brief Wraps a message into the stored form: format version, checksum, content.
std::string encodeEnvelope(const google::protobuf::MessageLite& message);

//! \brief Unwraps a stored value into \a message; DataLoss with \a key as the peer when it fails its check.
absl::Status decodeEnvelope(absl::string_view key, absl::string_view value, google::protobuf::MessageLite& message);

} // namespace camphorsaddle::journal
