#include "input/printable_text.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace camphorsaddle::input {

namespace {

    constexpr std::size_t maximumShownBytes = 100;

} // namespace

std::string printableText(absl::string_view text)
{
    const auto shown = absl::CHexEscape(text.substr(0, maximumShownBytes));
    return text.size() <= maximumShownBytes ? shown : absl::StrCat(shown, "... (", text.size(), " bytes)");
}

} // namespace camphorsaddle::input
