#include "input/bounded_json.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace camphorsaddle::input {

namespace {

    using nlohmann::json;

    constexpr std::uint32_t highestPort = 65'535;

    template <typename... Parts>
    [[noreturn]] void fail(const Parts&... parts)
    {
        throw input_error(absl::StrCat(parts...));
    }

    //! Counts the nesting outside of strings; invalid documents are left to the parser.
    unsigned deepestNesting(absl::string_view text, unsigned limit)
    {
        unsigned depth = 0;
        unsigned deepest = 0;
        bool isInString = false;
        for (std::size_t position = 0; position < text.size() && deepest <= limit; ++position) {
            const char character = text[position];
            if (isInString && character == '\\')
                ++position;
            else if (character == '"')
                isInString = !isInString;
            else if (!isInString && (character == '[' || character == '{'))
                deepest = std::max(deepest, ++depth);
            else if (!isInString && (character == ']' || character == '}') && depth > 0)
                --depth;
        }
        return deepest;
    }

    //! Callback of the parser that fails at the second occurrence of a key in one object.
    class repeated_key_check {
    public:
        bool operator()(int, json::parse_event_t event, const json& parsed)
        {
            if (event == json::parse_event_t::object_start)
                m_keys.emplace_back();
            else if (event == json::parse_event_t::object_end)
                m_keys.pop_back();
            else if (event == json::parse_event_t::key && !m_keys.back().insert(parsed.get_ref<const std::string&>()).second)
                fail("has the key \"", printableText(parsed.get_ref<const std::string&>()), "\" twice");
            return true;
        }

    private:
        std::vector<std::set<std::string>> m_keys;
    };

    json parse(absl::string_view text, const document_limits& limits)
    {
        // The library takes a NUL for the end of the text.
        if (const auto position = text.find('\0'); position != absl::string_view::npos)
            fail("is not JSON at byte ", position + 1, " of ", text.size());
        try {
            if (!limits.rejectsRepeatedKeys)
                return json::parse(text.begin(), text.end());
            repeated_key_check check;
            return json::parse(text.begin(), text.end(), std::ref(check));
        } catch (const json::parse_error& failure) {
            // The text of the exception repeats the input.
            fail("is not JSON at byte ", failure.byte, " of ", text.size());
        } catch (const json::out_of_range&) {
            fail("has a number that no floating-point type holds");
        }
    }

    std::string described(const json& value)
    {
        if (value.is_number_unsigned())
            return absl::StrCat(value.get<std::uint64_t>());
        if (value.is_number_integer())
            return absl::StrCat(value.get<std::int64_t>());
        if (value.is_number())
            return absl::StrCat(value.get<double>());
        if (value.is_string())
            return absl::StrCat("\"", printableText(value.get_ref<const std::string&>()), "\"");
        return absl::StrCat("of type ", value.type_name());
    }

    bool isControlCharacter(char character)
    {
        const auto code = static_cast<unsigned char>(character);
        return code < 0x20 || code == 0x7f;
    }

} // namespace

json parseDocument(absl::string_view text, const document_limits& limits)
{
    if (text.size() > limits.bytes)
        fail("has ", text.size(), " bytes, at most ", limits.bytes, " are allowed");
    if (deepestNesting(text, limits.depth) > limits.depth)
        fail("is nested more than ", limits.depth, " deep");
    return parse(text, limits);
}

json parseObject(absl::string_view text, const document_limits& limits)
{
    auto root = parseDocument(text, limits);
    if (!root.is_object())
        fail("is ", described(root), " instead of an object");
    return root;
}

std::int64_t readWhole(const json& value, absl::string_view name, whole_range range)
{
    const auto isOutside = [&](auto number) {
        return std::cmp_less(number, range.lowest) || std::cmp_greater(number, range.highest);
    };
    const bool isRejected = value.is_number_unsigned() ? isOutside(value.get<std::uint64_t>()) : !value.is_number_integer() || isOutside(value.get<std::int64_t>());
    if (isRejected)
        fail(name, " is ", described(value), " instead of a whole number from ", range.lowest, " to ", range.highest);
    return value.get<std::int64_t>();
}

std::uint64_t readUnsigned(const json& value, absl::string_view name)
{
    if (!value.is_number_unsigned())
        fail(name, " is ", described(value), " instead of a whole number from 0 to 18446744073709551615");
    return value.get<std::uint64_t>();
}

double readReal(const json& value, absl::string_view name, real_range range)
{
    const double number = value.is_number() ? value.get<double>() : range.highest + 1;
    if (!value.is_number() || !(number >= range.lowest && number <= range.highest))
        fail(name, " is ", described(value), " instead of a number from ", range.lowest, " to ", range.highest);
    return number;
}

bool readFlag(const json& value, absl::string_view name)
{
    if (!value.is_boolean())
        fail(name, " is ", described(value), " instead of true or false");
    return value.get<bool>();
}

std::string readText(const json& value, absl::string_view name, text_limits limits)
{
    if (!value.is_string())
        fail(name, " is ", described(value), " instead of a text");
    const auto& text = value.get_ref<const std::string&>();
    if (text.size() > limits.bytes)
        fail(name, " has ", text.size(), " bytes, at most ", limits.bytes, " are allowed");
    if (limits.content == text_content::SingleLine && std::ranges::any_of(text, &isControlCharacter))
        fail(name, " has a control character: ", described(value));
    return text;
}

std::string readEndpoint(const json& value, absl::string_view name)
{
    const auto isEndpoint = [](const std::string& text) {
        const auto colon = text.find(':');
        if (colon == std::string::npos || text.size() > colon + 6)
            return false;
        const auto port = text.substr(colon + 1);
        // inet_pton() reads up to the first NUL.
        const bool hasNul = text.find('\0') != std::string::npos;
        const bool hasOnlyDigits = !hasNul && !port.empty() && port.front() != '0' && std::ranges::all_of(port, [](char digit) { return digit >= '0' && digit <= '9'; });
        std::uint32_t number = 0;
        in_addr address {};
        return hasOnlyDigits && absl::SimpleAtoi(port, &number) && number <= highestPort && inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) == 1;
    };
    if (!value.is_string() || !isEndpoint(value.get_ref<const std::string&>()))
        fail(name, " is ", described(value), " instead of an IPv4 address and a port from 1 to ", highestPort);
    return value.get<std::string>();
}

const json& readList(const json& value, absl::string_view name, std::size_t maximumLength)
{
    if (!value.is_array())
        fail(name, " is ", described(value), " instead of a list");
    if (value.size() > maximumLength)
        fail(name, " has ", value.size(), " elements, at most ", maximumLength, " are allowed");
    return value;
}

const json* findField(const json& object, const char* name)
{
    if (!object.is_object())
        fail("what should have the field ", name, " is ", described(object));
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

const json& requireField(const json& object, const char* name)
{
    const auto* field = findField(object, name);
    if (field == nullptr)
        fail(name, " is missing");
    return *field;
}

std::int64_t wholeField(const json& object, const char* name, whole_range range)
{
    return readWhole(requireField(object, name), name, range);
}

std::int64_t wholeField(const json& object, const char* name, whole_range range, std::int64_t missing)
{
    const auto* field = findField(object, name);
    return field == nullptr ? missing : readWhole(*field, name, range);
}

double realField(const json& object, const char* name, real_range range)
{
    return readReal(requireField(object, name), name, range);
}

double realField(const json& object, const char* name, real_range range, double missing)
{
    const auto* field = findField(object, name);
    return field == nullptr ? missing : readReal(*field, name, range);
}

bool flagField(const json& object, const char* name, bool missing)
{
    const auto* field = findField(object, name);
    return field == nullptr ? missing : readFlag(*field, name);
}

std::string textField(const json& object, const char* name, text_limits limits)
{
    return readText(requireField(object, name), name, limits);
}

std::string textField(const json& object, const char* name, text_limits limits, const std::string& missing)
{
    const auto* field = findField(object, name);
    return field == nullptr ? missing : readText(*field, name, limits);
}

const json& elementAt(const json& row, absl::string_view name, std::size_t index)
{
    if (!row.is_array() || row.size() <= index)
        fail(name, " is missing: the row is ", described(row), " with ", row.size(), " elements");
    return row[index];
}

} // namespace camphorsaddle::input
