#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "protocol/peer.pb.h"
#include "request_keys/key_table.h"

namespace camphorsaddle::request_keys {

//! \brief Encodes a journal entry.
std::string encodeEntry(const key_entry& change);
//! \brief Decodes a journal entry. Error: DataLoss if \a text is not an entry of a known kind.
absl::StatusOr<key_entry> decodeEntry(absl::string_view text);

//! \brief Encodes all keys of a shard.
std::string encodeSnapshot(const key_table& table);
//! \brief Decodes a snapshot; an empty text is an empty shard. Error: DataLoss if \a text is not a snapshot.
absl::StatusOr<std::map<std::string, key_record>> decodeSnapshot(absl::string_view text);

protocol::KeyAnswer toMessage(const key_answer& answer);
key_answer fromMessage(const protocol::KeyAnswer& message);

} // namespace camphorsaddle::request_keys
