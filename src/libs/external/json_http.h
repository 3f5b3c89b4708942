#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "transport/http_client.h"
#include "utils/errors.h"

namespace camphorsaddle::external {

//! \brief Parses the body of an answer as JSON; the error message contains \a step and \a peer.
absl::StatusOr<nlohmann::json> parseBody(const transport::http_result& result, absl::string_view step, absl::string_view peer);

//! \brief Calls \a read and converts the exception for a missing or mistyped field into an error with \a step and \a peer.
template <typename Function>
auto readFields(absl::string_view step, absl::string_view peer, Function read) -> absl::StatusOr<decltype(read())>
{
    try {
        return read();
    } catch (const nlohmann::json::exception& failure) {
        return utils::makeError(absl::StatusCode::kInternal, step, peer, failure.what());
    }
}

} // namespace camphorsaddle::external
