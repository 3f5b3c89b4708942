#pragma once

#include <cstdint>

#include "absl/strings/string_view.h"

namespace camphorsaddle::utils {

//! \brief Hash that is the same in every process and release (FNV-1a with a finalizer).
//!
//! The assignment of keys to shards depends on it, so its values must never change.
std::uint64_t stableHash(absl::string_view text, std::uint64_t seed = 0);

} // namespace camphorsaddle::utils
