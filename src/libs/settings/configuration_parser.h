#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "model/configuration.h"
#include "settings/setting_error.h"

namespace camphorsaddle::settings {

//! \brief JSON text and the name of the document that it comes from, for example "base" or "overlays/vc-1".
struct named_document {
    std::string name;
    std::string text;

    auto operator<=>(const named_document&) const = default;
};

//! \brief The parsed configuration and all errors; if there are errors, the value may be incomplete.
struct configuration_result {
    model::configuration value;
    std::vector<setting_error> errors;

    auto operator<=>(const configuration_result&) const = default;
};

//! \brief Applies \a overlay to \a base as a JSON merge patch; null in the overlay removes an entry of a map.
//!
//! Returns InvalidArgument if either text is not a JSON object.
absl::StatusOr<std::string> mergeOverlay(absl::string_view base, absl::string_view overlay);

//! \brief Parses and validates a merged configuration; \a file is the document name in the errors.
configuration_result readConfiguration(absl::string_view text, absl::string_view file);

//! \brief Merges the configuration of a data centre from \a base and its \a overlay and validates it; an empty overlay text
//! changes nothing.
absl::StatusOr<model::configuration> parseConfiguration(const named_document& base, const named_document& overlay);

//! \brief Returns the errors of \a base alone and of \a base merged with each of \a overlays.
//!
//! Errors of the base are not repeated for the overlays.
std::vector<setting_error> checkConfiguration(const named_document& base, const std::vector<named_document>& overlays);

//! \brief Formats \a value as JSON that readConfiguration() parses to the same value.
std::string renderConfiguration(const model::configuration& value);

} // namespace camphorsaddle::settings
