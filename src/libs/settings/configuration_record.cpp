#include "settings/configuration_record.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "utils/errors.h"

namespace camphorsaddle::settings {

namespace {

    using json = nlohmann::json;

    std::uint64_t revisionOf(const configuration_record& record, const std::string& document)
    {
        const auto found = record.documents.find(document);
        return found == record.documents.end() ? 0 : found->second.revision;
    }

    named_document documentOf(const configuration_record& record, const std::string& name)
    {
        const auto found = record.documents.find(name);
        return { name, found == record.documents.end() ? std::string() : found->second.text };
    }

    std::vector<setting_error> check(const configuration_record& record)
    {
        std::vector<named_document> overlays;
        for (const auto& [name, document] : record.documents) {
            if (absl::StartsWith(name, overlayPrefix))
                overlays.push_back({ name, document.text });
        }
        return checkConfiguration(documentOf(record, std::string(baseDocument)), overlays);
    }

    bool isDocumentName(absl::string_view name)
    {
        return name == baseDocument || (absl::StartsWith(name, overlayPrefix) && name.size() > overlayPrefix.size());
    }

    configuration_record withEdit(const configuration_record& record, const configuration_edit& edit, utils::wall_time_point now)
    {
        configuration_record next = record;
        ++next.revision;
        next.documents[edit.document] = { next.revision, edit.text };
        const auto time = std::chrono::duration_cast<utils::milliseconds>(now.time_since_epoch()).count();
        next.history.push_back({ next.revision, edit.document, edit.operatorName, edit.changeId, time });
        if (next.history.size() > historyLimit)
            next.history.erase(next.history.begin());
        return next;
    }

} // namespace

edit_result applyEdit(const configuration_record& record, const configuration_edit& edit, utils::wall_time_point now)
{
    const auto known = std::find_if(record.history.begin(), record.history.end(), [&](const configuration_change& change) {
        return change.changeId == edit.changeId && change.document == edit.document;
    });
    if (!edit.changeId.empty() && known != record.history.end())
        return { edit_verdict::AlreadyAccepted, record, known->revision, {} };
    if (!isDocumentName(edit.document))
        return { edit_verdict::Invalid, record, 0, { { edit.document, "", "", "the document is neither base nor overlays/SITE" } } };
    const auto present = revisionOf(record, edit.document);
    if (present != edit.expectedRevision)
        return { edit_verdict::Conflict, record, present, {} };

    auto next = withEdit(record, edit, now);
    auto errors = check(next);
    if (!errors.empty())
        return { edit_verdict::Invalid, record, present, std::move(errors) };
    const auto revision = next.revision;
    return { edit_verdict::Accepted, std::move(next), revision, {} };
}

absl::StatusOr<model::configuration> configurationForDataCentre(const configuration_record& record, absl::string_view dataCentre)
{
    return parseConfiguration(documentOf(record, std::string(baseDocument)), documentOf(record, absl::StrCat(overlayPrefix, dataCentre)));
}

std::string formatRecord(const configuration_record& record)
{
    json documents = json::object();
    for (const auto& [name, document] : record.documents)
        documents[name] = { { "revision", document.revision }, { "text", document.text } };
    json history = json::array();
    for (const auto& change : record.history)
        history.push_back({ { "revision", change.revision }, { "document", change.document }, { "operator", change.operatorName }, { "change", change.changeId }, { "time", change.time } });
    return json { { "revision", record.revision }, { "documents", documents }, { "history", history } }.dump();
}

absl::StatusOr<configuration_record> parseRecord(absl::string_view text, absl::string_view peer)
{
    const auto body = json::parse(text.begin(), text.end(), nullptr, false);
    try {
        configuration_record record;
        record.revision = body.at("revision").get<std::uint64_t>();
        for (const auto& [name, document] : body.at("documents").items())
            record.documents[name] = { document.at("revision").get<std::uint64_t>(), document.at("text").get<std::string>() };
        for (const auto& change : body.at("history")) {
            record.history.push_back({ change.at("revision").get<std::uint64_t>(), change.at("document").get<std::string>(),
                change.at("operator").get<std::string>(), change.at("change").get<std::string>(), change.at("time").get<std::int64_t>() });
        }
        return record;
    } catch (const json::exception& failure) {
        return utils::makeError(absl::StatusCode::kDataLoss, "read the stored configuration", peer, failure.what());
    }
}

} // namespace camphorsaddle::settings
