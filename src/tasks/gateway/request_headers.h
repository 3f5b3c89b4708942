#pragma once

#include <string>

#include "model/configuration.h"
#include "transport/http_message.h"
#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief Returns \a headers without the hop-by-hop headers, which apply to a single connection.
transport::http_headers withoutHopByHopHeaders(const transport::http_headers& headers);

//! \brief Encoded query string with its question mark; empty if there is no query.
std::string encodedQuery(const transport::http_request& request);

//! \brief Time allowed for the request: the camphorsaddle-deadline-ms header, or the default of the service.
utils::milliseconds requestTimeout(const transport::http_request& request, const model::service_configuration& service);
//! \brief Whether the request may run more than once: the camphorsaddle-repeatable header, or the default of the service.
bool isRepeatable(const transport::http_request& request, const model::service_configuration& service);

} // namespace camphorsaddle::tasks
