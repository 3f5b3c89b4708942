#include "configuration/edit_transaction.h"

#include "configuration/json_patch.h"
#include "utils/errors.h"

namespace camphorsaddle::configuration {

namespace {

    std::string documentText(const settings::configuration_record& record, const std::string& document)
    {
        const auto found = record.documents.find(document);
        return found == record.documents.end() ? std::string() : found->second.text;
    }

} // namespace

absl::StatusOr<stored_record> parseStoredRecord(const absl::StatusOr<external::key_value>& reply)
{
    if (!reply.ok())
        return reply.status();
    auto record = settings::parseRecord(reply->value, "store");
    if (!record.ok())
        return record.status();
    return stored_record { *std::move(record), reply->version };
}

edit_transaction::edit_transaction(settings::configuration_edit edit, utils::time_point deadline)
    : m_edit(std::move(edit))
    , m_deadline(deadline)
{
}

edit_action edit_transaction::handleReadReply(const absl::StatusOr<stored_record>& stored, utils::time_point now, utils::wall_time_point wallNow)
{
    if (absl::IsDataLoss(stored.status()))
        return edit_outcome { m_mayHaveBeenWritten ? edit_outcome_type::Unknown : edit_outcome_type::Corrupt, {}, 0, {}, {}, stored.status() };
    if (!stored.ok() && !absl::IsNotFound(stored.status()))
        return makeFailure(stored.status());
    const auto current = stored.ok() ? *stored : stored_record {};
    // The store rejects an outstanding write once the key has a newer version than the one that the write replaces.
    if (current.version != m_replacedVersion)
        m_mayHaveBeenWritten = false;
    auto action = prepareWrite(current, wallNow);
    if (!std::holds_alternative<write_record>(action) || now < m_deadline)
        return action;
    return makeFailure(utils::makeError(absl::StatusCode::kDeadlineExceeded, "submit a configuration", m_edit.document, "the time limit passed because of concurrent edits or missing replies from the store"));
}

edit_action edit_transaction::prepareWrite(const stored_record& stored, utils::wall_time_point wallNow)
{
    auto result = settings::applyEdit(stored.record, m_edit, wallNow);
    switch (result.type) {
    case settings::edit_result_type::AlreadyAccepted:
        return edit_outcome { edit_outcome_type::Accepted, stored.record, result.revision, {}, {}, {} };
    case settings::edit_result_type::Conflict:
        return edit_outcome { edit_outcome_type::Conflict, stored.record, result.revision, createJsonPatch(documentText(stored.record, m_edit.document), m_edit.text), {}, {} };
    case settings::edit_result_type::Invalid:
        return edit_outcome { edit_outcome_type::Invalid, stored.record, result.revision, {}, std::move(result.errors), {} };
    case settings::edit_result_type::Accepted:
        break;
    }
    m_submittedRecord = result.record;
    m_replacedVersion = stored.version;
    m_submittedRevision = result.revision;
    return write_record { std::move(result.record), stored.version };
}

edit_action edit_transaction::handleWriteReply(const absl::StatusOr<external::revision>& written, utils::time_point now)
{
    if (written.ok())
        return edit_outcome { edit_outcome_type::Accepted, m_submittedRecord, m_submittedRevision, {}, {}, {} };
    const auto& status = written.status();
    // These errors mean that this write had no effect; an earlier one may have been applied nevertheless.
    const bool hadNoEffect = absl::IsAborted(status) || absl::IsUnavailable(status) || absl::IsInvalidArgument(status);
    m_mayHaveBeenWritten = m_mayHaveBeenWritten || !hadNoEffect;
    if (absl::IsUnavailable(status) || absl::IsInvalidArgument(status) || now >= m_deadline)
        return makeFailure(status);
    return read_record {};
}

edit_action edit_transaction::makeFailure(const absl::Status& cause) const
{
    return edit_outcome { m_mayHaveBeenWritten ? edit_outcome_type::Unknown : edit_outcome_type::NotWritten, {}, 0, {}, {}, cause };
}

} // namespace camphorsaddle::configuration
