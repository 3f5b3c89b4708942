#pragma once

#include <string>

#include "absl/strings/string_view.h"

namespace camphorsaddle::configuration {

//! \brief Returns the JSON patch (RFC 6902) that turns \a current into \a submitted.
//!
//! An empty text counts as an empty object. The patch is an empty array when both documents are equal, and "null" when
//! either of them is not valid JSON.
std::string createJsonPatch(absl::string_view current, absl::string_view submitted);

} // namespace camphorsaddle::configuration
