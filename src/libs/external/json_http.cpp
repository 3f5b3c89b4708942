#include "external/json_http.h"

#include "absl/strings/str_cat.h"

namespace camphorsaddle::external {

absl::StatusOr<nlohmann::json> parseBody(const transport::http_result& result, absl::string_view step, absl::string_view peer)
{
    auto body = nlohmann::json::parse(result.response.body, nullptr, false);
    if (body.is_discarded())
        return utils::makeError(absl::StatusCode::kInternal, step, peer, absl::StrCat("the answer of ", result.response.body.size(), " bytes is not JSON"));
    return body;
}

} // namespace camphorsaddle::external
