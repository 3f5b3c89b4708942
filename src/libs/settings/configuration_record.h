#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "model/configuration.h"
#include "settings/configuration_parser.h"
#include "utils/clock.h"

namespace camphorsaddle::settings {

inline constexpr absl::string_view baseDocument = "base";
inline constexpr absl::string_view overlayPrefix = "overlays/";

//! \brief One accepted edit.
struct configuration_change {
    std::uint64_t revision = 0;
    std::string document;
    std::string operatorName;
    //! Chosen by the operator's client; a repetition of it is not a second change.
    std::string changeId;
    //! Milliseconds since 1970.
    std::int64_t time = 0;

    auto operator<=>(const configuration_change&) const = default;
};

//! \brief A document with the revision that it got by its last edit.
struct configuration_document {
    std::uint64_t revision = 0;
    std::string text;

    auto operator<=>(const configuration_document&) const = default;
};

//! \brief The whole stored configuration: one value in the store, so that an edit is checked and written as a whole.
struct configuration_record {
    //! Grows by one with each edit.
    std::uint64_t revision = 0;
    std::map<std::string, configuration_document> documents;
    //! The last edits, oldest first.
    std::vector<configuration_change> history;

    auto operator<=>(const configuration_record&) const = default;
};

//! \brief Edits that the record remembers.
inline constexpr std::size_t historyLimit = 200;

//! \brief An operator's wish to replace one document.
struct configuration_edit {
    std::string document;
    std::string text;
    //! Revision of the document that the operator read; 0 for a new one.
    std::uint64_t expectedRevision = 0;
    std::string operatorName;
    std::string changeId;

    auto operator<=>(const configuration_edit&) const = default;
};

enum class edit_verdict {
    Accepted,
    //! The change id is in the history; the record is unchanged.
    AlreadyAccepted,
    //! Another edit of the document came first.
    Conflict,
    //! The configuration as a whole would be wrong.
    Invalid,
};

struct edit_result {
    edit_verdict verdict = edit_verdict::Invalid;
    configuration_record record;
    //! Revision of the document after the edit, or at present for a conflict.
    std::uint64_t revision = 0;
    std::vector<setting_error> errors;

    auto operator<=>(const edit_result&) const = default;
};

//! \brief Decides an edit against the present record.
edit_result applyEdit(const configuration_record& record, const configuration_edit& edit, utils::wall_time_point now);

//! \brief The configuration in force at a data centre.
absl::StatusOr<model::configuration> configurationForDataCentre(const configuration_record& record, absl::string_view dataCentre);

std::string formatRecord(const configuration_record& record);
absl::StatusOr<configuration_record> parseRecord(absl::string_view text, absl::string_view peer);

} // namespace camphorsaddle::settings
