#include "tasks/error_response.h"

#include "utils/errors.h"

namespace camphorsaddle::tasks {

transport::http_response errorResponse(int status, absl::string_view reason, const absl::Status& cause, nlohmann::json extraFields)
{
    extraFields["error"] = {
        { "step", utils::errorStep(cause) },
        { "peer", utils::errorPeer(cause) },
        { "reason", std::string(reason) },
        { "message", std::string(cause.message()) },
    };
    return transport::jsonResponse(status, extraFields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace camphorsaddle::tasks
