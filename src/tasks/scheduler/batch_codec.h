#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "placement/shard_state.h"

namespace camphorsaddle::tasks {

//! \brief Serializes an entry for the journal (protobuf BatchEntry).
std::string encodeEntry(const placement::batch_entry& change);

//! \brief Parses the result of encodeEntry(); DataLoss for any other text.
absl::StatusOr<placement::batch_entry> decodeEntry(absl::string_view text);

//! \brief Serializes the state of a shard for a journal snapshot (protobuf ShardSnapshot).
std::string encodeSnapshot(const placement::shard_state& state);

//! \brief Parses the result of encodeSnapshot(); DataLoss for any other text. Empty text is an empty shard.
absl::StatusOr<placement::shard_state> decodeSnapshot(absl::string_view text);

} // namespace camphorsaddle::tasks
