#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "input/printable_text.h"
#include "nlohmann/json.hpp"
#include "utils/errors.h"

//! \brief Reads JSON of other processes: every size, depth and number has a bound.
namespace camphorsaddle::input {

//! \brief Why a document or a field was rejected; readInput() converts it into an error.
class input_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct document_limits {
    std::size_t bytes = 0;
    //! Nesting of lists and objects.
    unsigned depth = 0;
    //! Reject an object that has a key twice.
    bool rejectsRepeatedKeys = false;
};

//! \brief Inclusive bounds of a whole number.
struct whole_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

//! \brief Inclusive bounds of a number that may have a fraction.
struct real_range {
    double lowest = 0;
    double highest = 0;
};

enum class text_content {
    Any,
    //! Without control characters.
    SingleLine,
};

struct text_limits {
    std::size_t bytes = 0;
    text_content content = text_content::SingleLine;
};

//! \brief Parses a document. Checks size and depth beforehand, with a stack use that doesn't grow with the depth; throws input_error.
nlohmann::json parseDocument(absl::string_view text, const document_limits& limits);
//! \brief Parses a document whose root must be an object.
nlohmann::json parseObject(absl::string_view text, const document_limits& limits);

//! The readers throw input_error with \a name and the bound if the value has another type or is out of bounds.
std::int64_t readWhole(const nlohmann::json& value, absl::string_view name, whole_range range);
//! \brief Whole number of the full unsigned range, as revisions and ids of leases are.
std::uint64_t readUnsigned(const nlohmann::json& value, absl::string_view name);
double readReal(const nlohmann::json& value, absl::string_view name, real_range range);
bool readFlag(const nlohmann::json& value, absl::string_view name);
std::string readText(const nlohmann::json& value, absl::string_view name, text_limits limits);
//! \brief "ADDRESS:PORT" with an IPv4 address and a port from 1 to 65535.
std::string readEndpoint(const nlohmann::json& value, absl::string_view name);
const nlohmann::json& readList(const nlohmann::json& value, absl::string_view name, std::size_t maximumLength);

//! \brief The field \a name of \a object, which must have it.
const nlohmann::json& requireField(const nlohmann::json& object, const char* name);
//! \brief The field \a name of \a object, or null if it has no such field.
const nlohmann::json* findField(const nlohmann::json& object, const char* name);

std::int64_t wholeField(const nlohmann::json& object, const char* name, whole_range range);
std::int64_t wholeField(const nlohmann::json& object, const char* name, whole_range range, std::int64_t missing);
double realField(const nlohmann::json& object, const char* name, real_range range);
double realField(const nlohmann::json& object, const char* name, real_range range, double missing);
bool flagField(const nlohmann::json& object, const char* name, bool missing);
std::string textField(const nlohmann::json& object, const char* name, text_limits limits);
std::string textField(const nlohmann::json& object, const char* name, text_limits limits, const std::string& missing);

//! \brief Element \a index of the list \a row.
const nlohmann::json& elementAt(const nlohmann::json& row, absl::string_view name, std::size_t index);

//! \brief Calls \a read and converts what it throws into an error of bounded length with \a step and \a peer.
template <typename Function>
auto readInput(absl::StatusCode code, absl::string_view step, absl::string_view peer, Function read) -> absl::StatusOr<decltype(read())>
{
    try {
        return read();
    } catch (const input_error& failure) {
        return utils::makeError(code, step, printableText(peer), failure.what());
    } catch (const nlohmann::json::exception& failure) {
        return utils::makeError(code, step, printableText(peer), printableText(failure.what()));
    }
}

} // namespace camphorsaddle::input
