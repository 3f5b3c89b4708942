#include "configuration/history.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::configuration {

absl::StatusOr<std::size_t> parseHistoryLimit(absl::string_view text)
{
    if (text.empty())
        return settings::maximumHistoryEntries;
    std::size_t limit = 0;
    if (!absl::SimpleAtoi(text, &limit) || limit == 0 || limit > settings::maximumHistoryEntries)
        return utils::makeError(absl::StatusCode::kInvalidArgument, "list the history", "limit", absl::StrCat("must be a number from 1 to ", settings::maximumHistoryEntries));
    return limit;
}

std::vector<settings::configuration_change> selectHistory(const settings::configuration_record& record, const history_filter& filter)
{
    std::vector<settings::configuration_change> selected;
    for (auto change = record.history.rbegin(); change != record.history.rend() && selected.size() < filter.limit; ++change) {
        const bool isMatch = (filter.document.empty() || filter.document == change->document) && (filter.operatorName.empty() || filter.operatorName == change->operatorName);
        if (isMatch)
            selected.push_back(*change);
    }
    return selected;
}

} // namespace camphorsaddle::configuration
