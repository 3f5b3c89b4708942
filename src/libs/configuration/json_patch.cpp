#include "configuration/json_patch.h"

#include "nlohmann/json.hpp"

namespace camphorsaddle::configuration {

std::string createJsonPatch(absl::string_view current, absl::string_view submitted)
{
    using nlohmann::json;
    const auto parse = [](absl::string_view text) {
        return text.empty() ? json::object() : json::parse(text.begin(), text.end(), nullptr, false);
    };
    const json from = parse(current);
    const json to = parse(submitted);
    if (from.is_discarded() || to.is_discarded())
        return "null";
    return json::diff(from, to).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace camphorsaddle::configuration
