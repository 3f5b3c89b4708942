#pragma once

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"
#include "transport/http_message.h"

namespace camphorsaddle::tasks {

//! \brief Creates a response with a JSON object "error" of \a reason and the step, peer and message of \a cause.
//!
//! \a extraFields are added to the JSON document beside "error".
transport::http_response errorResponse(int status, absl::string_view reason, const absl::Status& cause, nlohmann::json extraFields = nlohmann::json::object());

} // namespace camphorsaddle::tasks
