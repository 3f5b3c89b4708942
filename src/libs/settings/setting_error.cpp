#include "settings/setting_error.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "utils/errors.h"

namespace camphorsaddle::settings {

std::string describe(const setting_error& error)
{
    std::string text = error.file;
    if (!error.key.empty())
        absl::StrAppend(&text, ": ", error.key);
    if (!error.value.empty())
        absl::StrAppend(&text, error.key.empty() ? ": " : " = ", error.value);
    return absl::StrCat(text, ": ", error.message);
}

absl::Status toStatus(const std::vector<setting_error>& errors, absl::string_view operation, absl::string_view file)
{
    if (errors.empty())
        return absl::OkStatus();
    const auto append = [](std::string* text, const setting_error& error) {
        absl::StrAppend(text, describe(error));
    };
    return utils::makeError(absl::StatusCode::kInvalidArgument, operation, file, absl::StrJoin(errors, "\n", append));
}

} // namespace camphorsaddle::settings
