#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "transport/http_client.h"

namespace camphorsaddle::app {

inline constexpr auto defaultAdministrationUrl = "http://127.0.0.1:7201";

//! \brief Sends a request to a daemon's administration port and waits for the response.
//!
//! Sends the token in the environment variable CAMPHORSADDLE_TOKEN if there is one.
absl::StatusOr<transport::http_response> callAdministration(const std::string& url, transport::http_call call);

//! \brief Prints an error response to standard error as "step: peer: message", with a line for each configuration error.
void printErrorResponse(const transport::http_response& response);

//! \brief Parses the body of a response; returns null if it is not valid JSON.
nlohmann::json parseBody(const transport::http_response& response);

} // namespace camphorsaddle::app
