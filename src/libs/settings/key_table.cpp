#include "settings/key_table.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace camphorsaddle::settings {

namespace {

    constexpr int maximumDepth = 16;
    //! Maximum size of a value in the store.
    constexpr std::size_t maximumDocumentBytes = 1'000'000;
    constexpr std::size_t maximumNameLength = 63;
    constexpr std::size_t maximumTextLength = 1024;
    constexpr std::size_t maximumDisplayedLength = 120;

    std::string abbreviatedValue(const json& value)
    {
        std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
        if (text.size() > maximumDisplayedLength)
            return absl::StrCat(text.substr(0, maximumDisplayedLength), "...");
        return text;
    }

    //! Parser callback that reports duplicate keys, which the JSON parser accepts, and stops parsing at too deep nesting.
    class structure_validator {
    public:
        explicit structure_validator(error_collector& errors)
            : m_errors(errors)
        {
        }

        bool operator()(int depth, json::parse_event_t event, const json& parsed)
        {
            m_isTooDeep = m_isTooDeep || depth > maximumDepth;
            if (m_isTooDeep)
                return false;
            if (event == json::parse_event_t::object_start)
                m_keys.emplace_back();
            else if (event == json::parse_event_t::object_end && !m_keys.empty())
                m_keys.pop_back();
            else if (event == json::parse_event_t::key && !m_keys.empty() && !m_keys.back().insert(parsed.get<std::string>()).second)
                m_errors.add(parsed.get<std::string>(), nullptr, "duplicate key in an object");
            return true;
        }

        bool isTooDeep() const
        {
            return m_isTooDeep;
        }

    private:
        error_collector& m_errors;
        std::vector<std::set<std::string>> m_keys;
        bool m_isTooDeep = false;
    };

    std::string textError(value_type type, const std::string& text)
    {
        if (type == value_type::Name)
            return nameError(text);
        if (text.size() > maximumTextLength)
            return absl::StrCat("must have at most ", maximumTextLength, " characters");
        if (type == value_type::Url && !absl::StartsWith(text, "http://") && !absl::StartsWith(text, "https://"))
            return "must start with http:// or https://";
        if (type == value_type::Address) {
            std::array<unsigned char, sizeof(in6_addr)> parsed {};
            if (inet_pton(AF_INET, text.c_str(), parsed.data()) != 1 && inet_pton(AF_INET6, text.c_str(), parsed.data()) != 1)
                return "must be an IP address";
        }
        return "";
    }

    std::string listError(const key_declaration& declaration, const json& value)
    {
        std::set<std::string> seen;
        for (const json& item : value) {
            if (!item.is_string() || item.get_ref<const std::string&>().empty())
                return "must be a list of non-empty strings";
            const auto& text = item.get_ref<const std::string&>();
            if (!seen.insert(text).second)
                return absl::StrCat("contains ", text, " more than once");
            const auto& choices = declaration.choices;
            if (!choices.empty() && std::find(choices.begin(), choices.end(), text) == choices.end())
                return absl::StrCat(text, " is not one of ", absl::StrJoin(choices, ", "));
        }
        return "";
    }

    std::string rangeError(const key_declaration& declaration, double value)
    {
        if (value >= declaration.minimum && value <= declaration.maximum)
            return "";
        return absl::StrCat("must be within ", boundsText(declaration), declaration.unit.empty() ? "" : " ", declaration.unit);
    }

} // namespace

void error_collector::add(absl::string_view path, const json* value, absl::string_view message)
{
    m_errors.push_back({ m_file, std::string(path), value ? abbreviatedValue(*value) : "", std::string(message) });
}

std::optional<json> parseObject(absl::string_view text, error_collector& errors)
{
    if (text.size() > maximumDocumentBytes) {
        errors.add("", nullptr, absl::StrCat("has more than ", maximumDocumentBytes, " bytes"));
        return std::nullopt;
    }
    structure_validator check(errors);
    json parsed;
    try {
        parsed = json::parse(text.begin(), text.end(), std::ref(check));
    } catch (const json::exception& error) {
        errors.add("", nullptr, absl::StrCat("is not valid JSON: ", error.what()));
        return std::nullopt;
    }
    if (check.isTooDeep()) {
        errors.add("", nullptr, absl::StrCat("is nested deeper than ", maximumDepth));
        return std::nullopt;
    }
    if (!parsed.is_object()) {
        errors.add("", &parsed, "must be an object");
        return std::nullopt;
    }
    return parsed;
}

const json* findValue(const json& object, absl::string_view path)
{
    const json* current = &object;
    for (absl::string_view part : absl::StrSplit(path, '.')) {
        if (!current->is_object())
            return nullptr;
        const auto found = current->find(std::string(part));
        if (found == current->end())
            return nullptr;
        current = &*found;
    }
    return current;
}

void setValue(json& object, absl::string_view path, json value)
{
    json* current = &object;
    for (absl::string_view part : absl::StrSplit(path, '.'))
        current = &(*current)[std::string(part)];
    *current = std::move(value);
}

std::string joinPath(absl::string_view parent, absl::string_view child)
{
    return parent.empty() ? std::string(child) : absl::StrCat(parent, ".", child);
}

std::string valueError(const key_declaration& declaration, const json& value)
{
    switch (declaration.type) {
    case value_type::Name:
    case value_type::Text:
    case value_type::Url:
    case value_type::Address:
        return value.is_string() ? textError(declaration.type, value.get<std::string>()) : "must be a string";
    case value_type::Integer:
        return value.is_number_integer() ? rangeError(declaration, value.get<double>()) : "must be an integer";
    case value_type::Number:
        return value.is_number() ? rangeError(declaration, value.get<double>()) : "must be a number";
    case value_type::Boolean:
        return value.is_boolean() ? "" : "must be true or false";
    case value_type::TextList:
        return value.is_array() ? listError(declaration, value) : "must be a list of strings";
    }
    return "has an unknown type";
}

std::string nameError(absl::string_view name)
{
    const auto isPermitted = [](char c) {
        return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-' || c == '_';
    };
    if (!name.empty() && name.size() <= maximumNameLength && std::all_of(name.begin(), name.end(), isPermitted))
        return "";
    return absl::StrCat("must be a name of 1 to ", maximumNameLength, " lower-case letters, digits, '-' or '_'");
}

void checkUnknownKeys(const json& object, absl::string_view prefix, const std::vector<std::string>& paths, error_collector& errors)
{
    for (const auto& [name, value] : object.items()) {
        std::vector<std::string> inner;
        bool isDeclared = false;
        for (const std::string& path : paths) {
            isDeclared = isDeclared || path == name;
            if (absl::StartsWith(path, absl::StrCat(name, ".")))
                inner.push_back(path.substr(name.size() + 1));
        }
        const std::string path = joinPath(prefix, name);
        if (inner.empty()) {
            if (!isDeclared)
                errors.add(path, &value, "unknown key");
        } else if (value.is_object()) {
            checkUnknownKeys(value, path, inner, errors);
        } else {
            errors.add(path, &value, "must be an object");
        }
    }
}

std::string typeName(value_type type)
{
    switch (type) {
    case value_type::Name:
        return "name";
    case value_type::Text:
        return "string";
    case value_type::Url:
        return "URL";
    case value_type::Address:
        return "IP address";
    case value_type::Integer:
        return "integer";
    case value_type::Number:
        return "number";
    case value_type::Boolean:
        return "boolean";
    case value_type::TextList:
        return "list of strings";
    }
    return "";
}

std::string boundsText(const key_declaration& declaration)
{
    if (declaration.type == value_type::Integer)
        return absl::StrCat(static_cast<std::int64_t>(declaration.minimum), " to ", static_cast<std::int64_t>(declaration.maximum));
    if (declaration.type == value_type::Number)
        return absl::StrCat(declaration.minimum, " to ", declaration.maximum);
    return absl::StrJoin(declaration.choices, ", ");
}

} // namespace camphorsaddle::settings
