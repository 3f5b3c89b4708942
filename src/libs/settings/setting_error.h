#pragma once

#include <compare>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace camphorsaddle::settings {

//! \brief One error in a settings or configuration file.
struct setting_error {
    std::string file;
    //! Path of the key, with dots between the parts; empty if the error concerns the whole file.
    std::string key;
    //! The value as JSON, abbreviated if it is long; empty if the key is missing or the value isn't shown.
    std::string value;
    //! Describes the error, with the violated bound if there is one.
    std::string message;

    auto operator<=>(const setting_error&) const = default;
};

//! \brief Formats \a error as "file: key = value: message".
std::string describe(const setting_error& error);

//! \brief Returns an InvalidArgument status that lists all \a errors, or OK if there are none.
absl::Status toStatus(const std::vector<setting_error>& errors, absl::string_view operation, absl::string_view file);

} // namespace camphorsaddle::settings
