#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "placement/shard_state.h"

namespace camphorsaddle::tasks {

//! \brief Journal form of an entry (protobuf).
std::string encodeEntry(const placement::batch_entry& change);

//! \brief Reverses encodeEntry; DataLoss for anything else.
absl::StatusOr<placement::batch_entry> decodeEntry(absl::string_view text);

//! \brief Journal snapshot of a shard.
std::string encodeSnapshot(const placement::shard_state& state);

//! \brief Reverses encodeSnapshot; empty text is an empty shard.
absl::StatusOr<placement::shard_state> decodeSnapshot(absl::string_view text);

} // namespace camphorsaddle::tasks
