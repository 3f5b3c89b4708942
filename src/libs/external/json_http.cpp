#include "external/json_http.h"

#include "external/limits.h"

namespace camphorsaddle::external {

absl::StatusOr<nlohmann::json> parseBody(const transport::http_result& result, absl::string_view step, absl::string_view peer)
{
    return input::readInput(absl::StatusCode::kInternal, step, peer, [&] { return input::parseDocument(result.response.body, limits::reply); });
}

} // namespace camphorsaddle::external
