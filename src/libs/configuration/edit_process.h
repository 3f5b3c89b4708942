#pragma once

#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "external/key_value_store.h"
#include "settings/configuration_record.h"

namespace camphorsaddle::configuration {

//! \brief The record as the store holds it; version 0 and an empty record when there is none.
struct stored_record {
    settings::configuration_record record;
    external::revision version = 0;

    auto operator<=>(const stored_record&) const = default;
};

//! \brief Reads the store's answer; DataLoss when its value is no record, else the answer's own error.
absl::StatusOr<stored_record> parseStored(const absl::StatusOr<external::key_value>& answer);

enum class edit_end {
    Accepted,
    Conflict,
    Invalid,
    //! The edit surely was not written.
    NotWritten,
    //! The edit may have been written; the same change id settles it.
    Unknown,
    //! The stored record can't be read.
    Corrupt,
};

//! \brief How an edit ended, with what the operator is told.
struct edit_outcome {
    edit_end end = edit_end::NotWritten;
    //! The record in the store as last seen; for Accepted it holds the edit.
    settings::configuration_record record;
    //! Revision of the document after the edit, or at present for a conflict.
    std::uint64_t revision = 0;
    //! JSON patch from the present document to the submitted one, for a conflict.
    std::string difference;
    std::vector<settings::setting_error> errors;
    absl::Status cause;
};

struct read_record { };

struct write_record {
    settings::configuration_record record;
    external::revision expectedVersion = 0;
};

//! \brief What the owner of an edit does next.
using edit_step = std::variant<read_record, write_record, edit_outcome>;

//! \brief Brings one edit into the store exactly once, over conflicts and lost answers.
class edit_process {
public:
    edit_process(settings::configuration_edit edit, utils::time_point deadline);

    const settings::configuration_edit& edit() const
    {
        return m_edit;
    }

    //! \brief The answer to read_record; NotFound means that nothing is stored.
    edit_step onRead(const absl::StatusOr<stored_record>& stored, utils::time_point now, utils::wall_time_point wallNow);
    //! \brief The answer to write_record.
    edit_step onWritten(const absl::StatusOr<external::revision>& written, utils::time_point now);

private:
    edit_step decide(const stored_record& stored, utils::wall_time_point wallNow);
    edit_step giveUp(const absl::Status& cause) const;

    settings::configuration_edit m_edit;
    utils::time_point m_deadline;
    settings::configuration_record m_written;
    external::revision m_writtenOver = 0;
    std::uint64_t m_writtenRevision = 0;
    //! A former write has no answer and may be in the store, or may yet reach it.
    bool m_mayBeWritten = false;
};

} // namespace camphorsaddle::configuration
