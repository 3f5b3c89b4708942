#include "tasks/gateway/request_headers.h"

#include <algorithm>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds maximumTimeout { 600000 };

    const std::set<std::string, std::less<>> hopByHopHeaders { "connection", "keep-alive", "transfer-encoding", "content-length", "host", "expect", "upgrade", "te", "trailer", "proxy-connection" };

} // namespace

transport::http_headers withoutHopByHopHeaders(const transport::http_headers& headers)
{
    transport::http_headers result;
    for (const auto& [name, value] : headers) {
        if (hopByHopHeaders.count(name) == 0)
            result[name] = value;
    }
    return result;
}

std::string encodedQuery(const transport::http_request& request)
{
    std::string text;
    for (const auto& [name, value] : request.query)
        absl::StrAppend(&text, text.empty() ? "?" : "&", transport::percentEncode(name), "=", transport::percentEncode(value));
    return text;
}

utils::milliseconds requestTimeout(const transport::http_request& request, const model::service_configuration& service)
{
    std::int64_t timeoutMs = 0;
    if (!absl::SimpleAtoi(request.header("camphorsaddle-deadline-ms"), &timeoutMs) || timeoutMs <= 0)
        return service.deadline;
    return std::min(utils::milliseconds(timeoutMs), maximumTimeout);
}

bool isRepeatable(const transport::http_request& request, const model::service_configuration& service)
{
    const std::string headerValue = request.header("camphorsaddle-repeatable");
    return headerValue.empty() ? service.repeatable : headerValue == "true";
}

} // namespace camphorsaddle::tasks
