#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"
#include "settings/setting_error.h"

namespace camphorsaddle::settings {

using json = nlohmann::json;

//! \brief The type of a setting's value.
enum class value_type {
    //! Lower-case letters, digits, '-' and '_', at most 63 characters.
    Name,
    Text,
    //! HTTP or HTTPS URL.
    Url,
    //! IPv4 or IPv6 address.
    Address,
    Integer,
    Number,
    Boolean,
    //! List of non-empty strings without duplicates.
    TextList,
};

//! \brief Describes one key, independently of the member that holds its value.
struct key_declaration {
    //! Path within the object, with dots between the parts.
    std::string path;
    value_type type = value_type::Text;
    //! Not set for a required key.
    std::optional<json> defaultValue;
    std::string unit;
    //! Bounds of an Integer or a Number, inclusive.
    double minimum = 0;
    double maximum = 0;
    std::string help;
    //! The allowed items of a TextList; if empty, all are allowed.
    std::vector<std::string> choices;
};

//! \brief A key whose value is stored in a member of \a T.
template <typename T>
struct setting_key {
    key_declaration declaration;
    //! Stores a valid JSON value in the member.
    std::function<void(T&, const json&)> assign;
    //! Returns the member's value as JSON.
    std::function<json(const T&)> render;
};

template <typename T>
using key_table = std::vector<setting_key<T>>;

//! \brief Collects the errors of one file.
class error_collector {
public:
    explicit error_collector(absl::string_view file)
        : m_file(file)
    {
    }

    //! \brief Adds an error; \a value may be null.
    void add(absl::string_view path, const json* value, absl::string_view message);
    //! \brief Returns the collected errors and removes them from the collector.
    std::vector<setting_error> takeErrors()
    {
        return std::exchange(m_errors, {});
    }

private:
    std::string m_file;
    std::vector<setting_error> m_errors;
};

//! \brief Parses \a text as a JSON object without duplicate keys; adds to \a errors and returns std::nullopt on failure.
//!
//! Duplicate keys are reported, but the object is returned.
std::optional<json> parseObject(absl::string_view text, error_collector& errors);

//! \brief Returns the value at \a path within \a object, or a null pointer if it does not exist.
const json* findValue(const json& object, absl::string_view path);

//! \brief Sets the value at \a path within \a object and creates missing parent objects.
void setValue(json& object, absl::string_view path, json value);

//! \brief Joins two parts of a path with a dot; an empty \a parent adds nothing.
std::string joinPath(absl::string_view parent, absl::string_view child);

//! \brief Returns an error message if \a value is not valid for \a declaration, otherwise an empty string.
std::string valueError(const key_declaration& declaration, const json& value);

//! \brief Returns an error message if \a name is not valid as the name of an entry, otherwise an empty string.
std::string nameError(absl::string_view name);

//! \brief Reports every member of \a object, at any depth, that is not on one of \a paths.
void checkUnknownKeys(const json& object, absl::string_view prefix, const std::vector<std::string>& paths, error_collector& errors);

//! \brief Returns the name of \a type for documentation and help texts.
std::string typeName(value_type type);

//! \brief Returns the bounds or choices of \a declaration for documentation and error messages, empty if it has none.
std::string boundsText(const key_declaration& declaration);

//! \brief Validates \a object and reads \a keys from it into \a value; missing keys get their defaults.
//!
//! \a sections are further paths of the object that the caller reads itself.
template <typename T>
void readKeys(const json& object, absl::string_view prefix, const key_table<T>& keys, std::vector<std::string> sections, T& value, error_collector& errors)
{
    std::vector<std::string> paths = std::move(sections);
    for (const setting_key<T>& entry : keys) {
        const key_declaration& declaration = entry.declaration;
        paths.push_back(declaration.path);
        const json* found = findValue(object, declaration.path);
        if (!found) {
            if (declaration.defaultValue)
                entry.assign(value, *declaration.defaultValue);
            else
                errors.add(joinPath(prefix, declaration.path), nullptr, "required key is missing");
            continue;
        }
        const std::string message = valueError(declaration, *found);
        if (message.empty())
            entry.assign(value, *found);
        else
            errors.add(joinPath(prefix, declaration.path), found, message);
    }
    checkUnknownKeys(object, prefix, paths, errors);
}

//! \brief Formats \a value as a JSON object that readKeys() reads to the same value.
template <typename T>
json renderKeys(const key_table<T>& keys, const T& value)
{
    json object = json::object();
    for (const setting_key<T>& entry : keys)
        setValue(object, entry.declaration.path, entry.render(value));
    return object;
}

} // namespace camphorsaddle::settings
