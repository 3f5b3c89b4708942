#pragma once

#include <string>

#include "absl/strings/string_view.h"

namespace camphorsaddle::input {

//! \brief Text of another process for a log line or an error: bytes that aren't printable ASCII are escaped, long texts cut.
std::string printableText(absl::string_view text);

} // namespace camphorsaddle::input
