#pragma once

#include <string>

#include "absl/status/statusor.h"

namespace camphorsaddle::access {

//! Maximum size of a token in bytes.
inline constexpr std::size_t maximumTokenSize = 256;

//! \brief Team name in a token "TEAM:SECRET"; empty when the token has no colon.
std::string teamOfToken(absl::string_view token);

//! \brief Salted argon2id hash of a token in the encoded form that the configuration stores. Takes tens of milliseconds.
//!
//! Fails with InvalidArgument for a token that is not of the form TEAM:SECRET, has a secret of less than 16 bytes, or exceeds
//! maximumTokenSize.
absl::StatusOr<std::string> hashToken(const std::string& token);

//! \brief Whether \a hash was made from \a token; compares in constant time. Takes as long as hashToken().
bool verifyToken(const std::string& hash, const std::string& token);

} // namespace camphorsaddle::access
