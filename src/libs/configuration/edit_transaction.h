#pragma once

#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "external/key_value_store.h"
#include "settings/configuration_record.h"

namespace camphorsaddle::configuration {

//! \brief The configuration record in the store and the version of its key; version 0 if the key does not exist.
struct stored_record {
    settings::configuration_record record;
    external::revision version = 0;

    auto operator<=>(const stored_record&) const = default;
};

//! \brief Parses the record that the store returned.
//!
//! Returns DataLoss if the value can't be parsed, and \a reply's own error if the read failed.
absl::StatusOr<stored_record> parseStoredRecord(const absl::StatusOr<external::key_value>& reply);

//! \brief How the submission of an edit ended.
enum class edit_outcome_type {
    Accepted,
    //! The document has changed since the operator read it.
    Conflict,
    //! The configuration would be invalid with the edit.
    Invalid,
    //! The edit was not written.
    NotWritten,
    //! The edit may have been written. The operator can submit it again with the same change id without applying it twice.
    Unknown,
    //! The stored record can't be parsed.
    Corrupt,
};

//! \brief Result of an edit, with the details that the operator is shown.
struct edit_outcome {
    edit_outcome_type type = edit_outcome_type::NotWritten;
    //! The stored record as last read, for Accepted, Conflict and Invalid; includes the edit if it was accepted.
    settings::configuration_record record;
    //! Revision of the document after the edit, or its current revision for a conflict.
    std::uint64_t revision = 0;
    //! JSON patch from the stored document to the submitted one; only for a conflict.
    std::string jsonPatch;
    //! Validation errors, for Invalid.
    std::vector<settings::setting_error> errors;
    //! Error of the store, for NotWritten, Unknown and Corrupt.
    absl::Status cause;
};

//! \brief Read the record from the store.
struct read_record { };

//! \brief Write the record if the version of its key is still expectedVersion.
struct write_record {
    settings::configuration_record record;
    external::revision expectedVersion = 0;
};

//! \brief What the caller of an edit_transaction has to do next.
using edit_action = std::variant<read_record, write_record, edit_outcome>;

//! \brief Applies one edit to the stored record exactly once.
//!
//! Reads the record, applies the edit and writes the result conditionally. Repeats this after a concurrent write or a lost
//! reply, until the deadline. Does no input or output itself.
class edit_transaction {
public:
    edit_transaction(settings::configuration_edit edit, utils::time_point deadline);

    const settings::configuration_edit& edit() const
    {
        return m_edit;
    }

    //! \brief Handles the reply to read_record; NotFound means that no record is stored.
    edit_action handleReadReply(const absl::StatusOr<stored_record>& stored, utils::time_point now, utils::wall_time_point wallNow);
    //! \brief Handles the reply to write_record.
    edit_action handleWriteReply(const absl::StatusOr<external::revision>& written, utils::time_point now);

private:
    edit_action prepareWrite(const stored_record& stored, utils::wall_time_point wallNow);
    edit_action makeFailure(const absl::Status& cause) const;

    settings::configuration_edit m_edit;
    utils::time_point m_deadline;
    //! The record of the last write, with the edit.
    settings::configuration_record m_submittedRecord;
    //! Version of the key that the last write replaces.
    external::revision m_replacedVersion = 0;
    std::uint64_t m_submittedRevision = 0;
    //! The result of an earlier write is unknown: it may be in the store or still arrive there.
    bool m_mayHaveBeenWritten = false;
};

} // namespace camphorsaddle::configuration
