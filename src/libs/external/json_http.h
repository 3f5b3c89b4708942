#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "input/bounded_json.h"
#include "transport/http_client.h"

namespace camphorsaddle::external {

//! \brief Parses the body of an answer as JSON; the error message contains \a step and \a peer.
absl::StatusOr<nlohmann::json> parseBody(const transport::http_result& result, absl::string_view step, absl::string_view peer);

//! \brief Calls \a read and converts the exception for a field that is missing, mistyped or out of bounds into an error with \a step and \a peer.
template <typename Function>
auto readFields(absl::string_view step, absl::string_view peer, Function read) -> absl::StatusOr<decltype(read())>
{
    return input::readInput(absl::StatusCode::kInternal, step, peer, read);
}

} // namespace camphorsaddle::external
