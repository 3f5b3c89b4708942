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

inline constexpr absl::string_view baseDocumentName = "base";
inline constexpr absl::string_view overlayNamePrefix = "overlays/";

//! \brief One accepted edit.
struct configuration_change {
    std::uint64_t revision = 0;
    std::string document;
    std::string operatorName;
    //! Chosen by the operator's client; an edit that is submitted again with the same id is applied once.
    std::string changeId;
    //! Milliseconds since the Unix epoch.
    std::int64_t time = 0;

    auto operator<=>(const configuration_change&) const = default;
};

//! \brief The text of a document and the revision of its last edit.
struct configuration_document {
    std::uint64_t revision = 0;
    std::string text;

    auto operator<=>(const configuration_document&) const = default;
};

//! \brief The complete configuration. The store holds it as one value, so that an edit is validated together with all other
//! documents and written atomically.
struct configuration_record {
    //! Incremented by each edit.
    std::uint64_t revision = 0;
    std::map<std::string, configuration_document> documents;
    //! The last edits, at most maximumHistoryEntries, oldest first.
    std::vector<configuration_change> history;

    auto operator<=>(const configuration_record&) const = default;
};

//! \brief Number of edits that a record keeps in its history.
inline constexpr std::size_t maximumHistoryEntries = 200;

//! \brief An operator's request to replace one document.
struct configuration_edit {
    std::string document;
    std::string text;
    //! Revision of the document that the operator has read; 0 for a new document.
    std::uint64_t expectedRevision = 0;
    std::string operatorName;
    std::string changeId;

    auto operator<=>(const configuration_edit&) const = default;
};

//! \brief Whether an edit was applied, or why not.
enum class edit_result_type {
    Accepted,
    //! The history has the change id already; the record is unchanged.
    AlreadyAccepted,
    //! The document has changed since the operator read it.
    Conflict,
    //! The configuration would be invalid with the edit.
    Invalid,
};

struct edit_result {
    edit_result_type type = edit_result_type::Invalid;
    //! The record with the edit, or the unchanged record.
    configuration_record record;
    //! Revision of the document after the edit, or its current revision if the edit was not applied; 0 for an
    //! invalid document name.
    std::uint64_t revision = 0;
    std::vector<setting_error> errors;

    auto operator<=>(const edit_result&) const = default;
};

//! \brief Applies \a edit to \a record if its expected revision is current and the result is valid.
edit_result applyEdit(const configuration_record& record, const configuration_edit& edit, utils::wall_time_point now);

//! \brief The configuration of a data centre: the base merged with the overlay of the data centre.
absl::StatusOr<model::configuration> configurationForDataCentre(const configuration_record& record, absl::string_view dataCentre);

//! \brief Formats \a record as the JSON text that the store and peers receive.
std::string formatRecord(const configuration_record& record);
//! \brief Parses the text of formatRecord(); returns DataLoss, with \a peer as the source, if it is malformed.
absl::StatusOr<configuration_record> parseRecord(absl::string_view text, absl::string_view peer);

} // namespace camphorsaddle::settings
