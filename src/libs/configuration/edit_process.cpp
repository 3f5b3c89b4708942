#include "configuration/edit_process.h"

#include "configuration/difference.h"
#include "utils/errors.h"

namespace camphorsaddle::configuration {

namespace {

    std::string textOf(const settings::configuration_record& record, const std::string& document)
    {
        const auto found = record.documents.find(document);
        return found == record.documents.end() ? std::string() : found->second.text;
    }

} // namespace

absl::StatusOr<stored_record> parseStored(const absl::StatusOr<external::key_value>& answer)
{
    if (!answer.ok())
        return answer.status();
    auto record = settings::parseRecord(answer->value, "store");
    if (!record.ok())
        return record.status();
    return stored_record { *std::move(record), answer->version };
}

edit_process::edit_process(settings::configuration_edit edit, utils::time_point deadline)
    : m_edit(std::move(edit))
    , m_deadline(deadline)
{
}

edit_step edit_process::onRead(const absl::StatusOr<stored_record>& stored, utils::time_point now, utils::wall_time_point wallNow)
{
    if (absl::IsDataLoss(stored.status()))
        return edit_outcome { m_mayBeWritten ? edit_end::Unknown : edit_end::Corrupt, {}, 0, {}, {}, stored.status() };
    if (!stored.ok() && !absl::IsNotFound(stored.status()))
        return giveUp(stored.status());
    const auto present = stored.ok() ? *stored : stored_record {};
    // Once the key has moved on, a write against its former version can't land any more.
    if (present.version != m_writtenOver)
        m_mayBeWritten = false;
    auto step = decide(present, wallNow);
    if (!std::holds_alternative<write_record>(step) || now < m_deadline)
        return step;
    return giveUp(utils::makeError(absl::StatusCode::kDeadlineExceeded, "submit a configuration", m_edit.document, "other edits and lost answers took all the time"));
}

edit_step edit_process::decide(const stored_record& stored, utils::wall_time_point wallNow)
{
    auto result = settings::applyEdit(stored.record, m_edit, wallNow);
    switch (result.verdict) {
    case settings::edit_verdict::AlreadyAccepted:
        return edit_outcome { edit_end::Accepted, stored.record, result.revision, {}, {}, {} };
    case settings::edit_verdict::Conflict:
        return edit_outcome { edit_end::Conflict, stored.record, result.revision, differenceOf(textOf(stored.record, m_edit.document), m_edit.text), {}, {} };
    case settings::edit_verdict::Invalid:
        return edit_outcome { edit_end::Invalid, stored.record, result.revision, {}, std::move(result.errors), {} };
    case settings::edit_verdict::Accepted:
        break;
    }
    m_written = result.record;
    m_writtenOver = stored.version;
    m_writtenRevision = result.revision;
    return write_record { std::move(result.record), stored.version };
}

edit_step edit_process::onWritten(const absl::StatusOr<external::revision>& written, utils::time_point now)
{
    if (written.ok())
        return edit_outcome { edit_end::Accepted, m_written, m_writtenRevision, {}, {}, {} };
    const auto& status = written.status();
    // These errors say that this write had no effect; a former one may still have had it.
    const bool hadNoEffect = absl::IsAborted(status) || absl::IsUnavailable(status) || absl::IsInvalidArgument(status);
    m_mayBeWritten = m_mayBeWritten || !hadNoEffect;
    if (absl::IsUnavailable(status) || absl::IsInvalidArgument(status) || now >= m_deadline)
        return giveUp(status);
    return read_record {};
}

edit_step edit_process::giveUp(const absl::Status& cause) const
{
    return edit_outcome { m_mayBeWritten ? edit_end::Unknown : edit_end::NotWritten, {}, 0, {}, {}, cause };
}

} // namespace camphorsaddle::configuration
