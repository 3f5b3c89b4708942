#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "settings/configuration_record.h"

namespace camphorsaddle::configuration {

//! \brief Selects the edits to list; an empty string matches everything.
struct history_filter {
    std::string document;
    std::string operatorName;
    std::size_t limit = settings::maximumHistoryEntries;

    auto operator<=>(const history_filter&) const = default;
};

//! \brief Parses the limit of a history query; an empty \a text means the default, maximumHistoryEntries.
//!
//! Returns InvalidArgument if it is not a number from 1 to maximumHistoryEntries.
absl::StatusOr<std::size_t> parseHistoryLimit(absl::string_view text);

//! \brief Returns the edits that match \a filter, newest first.
std::vector<settings::configuration_change> selectHistory(const settings::configuration_record& record, const history_filter& filter);

} // namespace camphorsaddle::configuration
