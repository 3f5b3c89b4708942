#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace camphorsaddle::transport {

//! \brief HTTP headers; the keys are in lower case.
using http_headers = std::map<std::string, std::string, std::less<>>;

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    http_headers headers;
    std::string body;
    //! Address and port of the client.
    std::string peer;

    //! \brief Value of a header, empty when absent; \a name must be in lower case.
    std::string header(absl::string_view name) const;
    //! \brief Value of a query parameter, empty when absent.
    std::string parameter(absl::string_view name) const;
};

struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

//! \brief Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string percentEncode(absl::string_view text);

//! \brief Decodes percent-encoded text; malformed sequences are left unchanged.
std::string percentDecode(absl::string_view text);

http_response jsonResponse(int status, std::string body);

} // namespace camphorsaddle::transport
