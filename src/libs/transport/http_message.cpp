#include "transport/http_message.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace camphorsaddle::transport {

namespace {

    bool isUnreserved(char character)
    {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || absl::string_view("-._~").find(character) != absl::string_view::npos;
    }

    std::string findOrEmpty(const http_headers& values, absl::string_view name)
    {
        const auto found = values.find(name);
        return found == values.end() ? std::string() : found->second;
    }

} // namespace

std::string http_request::header(absl::string_view name) const
{
    return findOrEmpty(headers, name);
}

std::string http_request::parameter(absl::string_view name) const
{
    return findOrEmpty(query, name);
}

std::string percentEncode(absl::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        if (isUnreserved(character))
            encoded.push_back(character);
        else
            absl::StrAppend(&encoded, "%", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
    }
    return encoded;
}

std::string percentDecode(absl::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool isEscape = text[index] == '%' && index + 2 < text.size()
            && absl::ascii_isxdigit(static_cast<unsigned char>(text[index + 1])) && absl::ascii_isxdigit(static_cast<unsigned char>(text[index + 2]));
        if (!isEscape) {
            decoded.push_back(text[index]);
            continue;
        }
        decoded += absl::HexStringToBytes(text.substr(index + 1, 2));
        index += 2;
    }
    return decoded;
}

http_response jsonResponse(int status, std::string body)
{
    return { status, { { "content-type", "application/json" } }, std::move(body) };
}

} // namespace camphorsaddle::transport
