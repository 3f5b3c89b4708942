#include "tasks/configurator/configurator_task.h"

#include <map>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "configuration/history.h"
#include "nlohmann/json.hpp"
#include "tasks/error_response.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    using json = nlohmann::json;

    constexpr absl::string_view recordKey = "config/current";
    constexpr absl::string_view pathPrefix = "/v1/config/";
    constexpr utils::milliseconds storeTimeout { 3000 };
    constexpr utils::milliseconds watchWait { 10000 };
    constexpr utils::milliseconds tickInterval { 250 };
    constexpr std::size_t longestName = 128;
    //! Less than the administration waits for an answer.
    constexpr utils::milliseconds editTime { 7000 };

    std::string quotedRevision(std::uint64_t revision)
    {
        return absl::StrCat("\"", revision, "\"");
    }

    json errorsToJson(const std::vector<settings::setting_error>& errors)
    {
        json list = json::array();
        for (const auto& error : errors)
            list.push_back({ { "file", error.file }, { "key", error.key }, { "value", error.value }, { "message", error.message } });
        return list;
    }

    transport::http_response acceptedResponse(std::uint64_t revision)
    {
        auto response = transport::jsonResponse(200, json { { "revision", revision } }.dump());
        response.headers["etag"] = quotedRevision(revision);
        return response;
    }

    transport::http_response conflictResponse(const std::string& document, const configuration::edit_outcome& outcome)
    {
        const auto cause = utils::makeError(absl::StatusCode::kAborted, "submit a configuration", document, absl::StrCat("another edit came first; the present revision is ", outcome.revision, "; read it, take its changes over and submit again"));
        auto response = errorResponse(412, "conflict", cause, { { "revision", outcome.revision }, { "difference", json::parse(outcome.difference, nullptr, false) } });
        response.headers["etag"] = quotedRevision(outcome.revision);
        return response;
    }

    transport::http_response invalidResponse(const std::string& document, const std::vector<settings::setting_error>& errors)
    {
        const auto cause = utils::makeError(absl::StatusCode::kInvalidArgument, "submit a configuration", document, absl::StrCat(errors.size(), " errors, the first: ", settings::describe(errors.front())));
        return errorResponse(422, "invalid", cause, { { "errors", errorsToJson(errors) } });
    }

    transport::http_response unsettledResponse(const std::string& document, const configuration::edit_outcome& outcome)
    {
        const bool isUnknown = outcome.end == configuration::edit_end::Unknown;
        const absl::string_view advice = isUnknown ? "the edit may have been written; submit it again with the same change id to learn it" : "the edit was not written; submit it again later";
        const auto cause = utils::makeError(absl::StatusCode::kUnavailable, "submit a configuration", document, absl::StrCat(advice, " (", utils::describe(outcome.cause), ")"));
        return errorResponse(503, isUnknown ? "unknown" : "store_unavailable", cause);
    }

    transport::http_response responseTo(const std::string& document, const configuration::edit_outcome& outcome)
    {
        switch (outcome.end) {
        case configuration::edit_end::Accepted:
            return acceptedResponse(outcome.revision);
        case configuration::edit_end::Conflict:
            return conflictResponse(document, outcome);
        case configuration::edit_end::Invalid:
            return invalidResponse(document, outcome.errors);
        case configuration::edit_end::Corrupt:
            return errorResponse(500, "corrupt", outcome.cause);
        case configuration::edit_end::NotWritten:
        case configuration::edit_end::Unknown:
            break;
        }
        return unsettledResponse(document, outcome);
    }

    transport::http_response methodResponse(const std::string& document)
    {
        auto response = errorResponse(405, "method", utils::makeError(absl::StatusCode::kUnimplemented, "configuration", document, "only GET and PUT are known"));
        response.headers["allow"] = "GET, PUT";
        return response;
    }

    //! What is wrong with an edit before the store is asked; OK when nothing is.
    absl::Status checkEdit(const settings::configuration_edit& edit)
    {
        const auto wrong = [&](absl::string_view cause) {
            return utils::makeError(absl::StatusCode::kInvalidArgument, "submit a configuration", edit.document, cause);
        };
        if (edit.operatorName.size() > longestName || edit.changeId.size() > longestName)
            return wrong(absl::StrCat("Camphorsaddle-Operator and Camphorsaddle-Change have at most ", longestName, " bytes"));
        if (!json::accept(edit.text))
            return wrong("the body is no JSON text; camphorsaddle check names the place");
        return absl::OkStatus();
    }

    configuration::spread_settings spreadSettings(const daemon_context& context)
    {
        configuration::spread_settings settings;
        settings.self = context.settings.daemonId;
        return settings;
    }

    std::set<std::string> idsOf(const membership::member_view& view)
    {
        std::set<std::string> ids;
        for (const auto& member : view.members)
            ids.insert(member.id);
        return ids;
    }

} // namespace

configurator_task::configurator_task(daemon_context& context)
    : task(context)
    , m_client(transport::http_client::create(loop()))
    , m_store(*m_client, context.settings.storeUrl, storeTimeout, context.metrics)
    , m_tickTimer(loop(), [this] { perform(m_spread.onTick(loop().now())); })
    , m_spread(spreadSettings(context), [site = context.settings.dataCentre](const settings::configuration_record& record) {
        return settings::configurationForDataCentre(record, site).status();
    })
{
}

configurator_task::~configurator_task() = default;

absl::Status configurator_task::open()
{
    context().mailboxes.configurator.open(loop(), [this](configurator_message message) { handle(std::move(message)); });
    m_tickTimer.startRepeating(tickInterval);
    return absl::OkStatus();
}

void configurator_task::handle(configurator_message message)
{
    std::visit(overloaded {
                   [this](const membership_changed& change) {
                       m_members = change.view;
                       m_spread.onMembers(idsOf(change.view));
                   },
                   [this](const peer_message_received& received) { receive(received.envelope); },
                   [this](const administration_call& call) { answer(call); },
                   [this](const drain&) { context().mailboxes.application.post(task_drained { "configurator" }); },
                   [this](const stop_task&) { loop().stop(); },
               },
        message);
}

void configurator_task::receive(const protocol::PeerEnvelope& envelope)
{
    if (envelope.has_heartbeat()) {
        m_spread.onHeartbeat(envelope.sender(), envelope.heartbeat().configuration_revision(), loop().now());
        return;
    }
    if (!envelope.has_configuration())
        return;
    const auto record = settings::parseRecord(envelope.configuration().content(), envelope.sender());
    if (record.ok())
        perform(m_spread.onRecord(*record, configuration::record_source::Peer, loop().now()));
    else
        utils::logEvent(utils::events::configurationRejected, { { "cause", utils::describe(record.status()) } });
}

void configurator_task::perform(const configuration::spread_actions& actions)
{
    for (const auto& action : actions) {
        std::visit(overloaded {
                       [this](const configuration::read_record&) { readStore(); },
                       [this](const configuration::watch_record& watch) { watchStore(watch.after); },
                       [this](const configuration::send_record& send) { sendRecord(send.receiver); },
                       [this](const configuration::apply_record&) { applyRecord(); },
                       [](const configuration::reject_record& rejected) {
                           utils::logEvent(utils::events::configurationRejected, { { "revision", absl::StrCat(rejected.revision) }, { "cause", utils::describe(rejected.cause) } });
                       },
                       [](const configuration::report_silent_watch& silent) {
                           utils::logEvent(utils::events::configurationWatchSilent, { { "revision", absl::StrCat(silent.revision) } });
                       },
                   },
            action);
    }
}

void configurator_task::readStore()
{
    m_store.list(std::string(recordKey), {}, 1, [this](const absl::StatusOr<external::key_listing>& listing) {
        const auto now = loop().now();
        if (!listing.ok())
            perform(m_spread.onRead(listing.status(), 0, now));
        else if (listing->entries.empty()) {
            // The administration must know that there are no tokens, as against not having read them yet.
            if (m_spread.record().revision == 0)
                context().mailboxes.administration.post(configuration_applied {});
            perform(m_spread.onRead(absl::NotFoundError("nothing is stored"), listing->at, now));
        } else
            perform(m_spread.onRead(settings::parseRecord(listing->entries.front().value, "store"), listing->at, now));
    });
}

void configurator_task::watchStore(external::revision after)
{
    m_store.watch(std::string(recordKey), after, watchWait, [this](const absl::StatusOr<external::watch_result>& result) {
        if (!result.ok()) {
            perform(m_spread.onWatched(result.status(), nullptr, loop().now()));
            return;
        }
        absl::StatusOr<settings::configuration_record> last = absl::NotFoundError("no change");
        for (const auto& change : result->changes) {
            if (!change.deleted)
                last = settings::parseRecord(change.value, "store");
        }
        perform(m_spread.onWatched(result->at, last.ok() ? &*last : nullptr, loop().now()));
    });
}

void configurator_task::applyRecord()
{
    const auto& record = m_spread.record();
    auto value = settings::configurationForDataCentre(record, context().settings.dataCentre);
    if (!value.ok())
        return;
    utils::logEvent(utils::events::configurationApplied, { { "revision", absl::StrCat(record.revision) }, { "data_centre", context().settings.dataCentre } });
    const configuration_applied change { record.revision, std::make_shared<const model::configuration>(*std::move(value)) };
    context().mailboxes.gateway.post(change);
    context().mailboxes.scheduler.post(change);
    context().mailboxes.membership.post(change);
    context().mailboxes.administration.post(change);
}

void configurator_task::sendRecord(const std::string& receiver)
{
    send_peer_message message { receiver, {} };
    message.envelope.mutable_configuration()->set_revision(m_spread.record().revision);
    message.envelope.mutable_configuration()->set_content(settings::formatRecord(m_spread.record()));
    context().mailboxes.membership.post(std::move(message));
}

void configurator_task::answer(const administration_call& call)
{
    const auto& request = call.request;
    const auto document = std::string(absl::StripPrefix(request.path, pathPrefix));
    if (request.method == "GET" && document == "status")
        reply(call.ticket, statusResponse());
    else if (request.method == "GET" && document == "history")
        reply(call.ticket, historyResponse(request));
    else if (request.method == "GET")
        reply(call.ticket, documentResponse(document));
    else if (request.method == "PUT" && document != "status" && document != "history")
        beginEdit(call, document);
    else
        reply(call.ticket, methodResponse(document));
}

transport::http_response configurator_task::documentResponse(const std::string& name) const
{
    const auto& documents = m_spread.record().documents;
    const auto found = documents.find(name);
    if (found == documents.end())
        return errorResponse(404, "unknown_document", utils::makeError(absl::StatusCode::kNotFound, "read a configuration", name, "no such document"));
    auto response = transport::jsonResponse(200, found->second.text);
    response.headers["etag"] = quotedRevision(found->second.revision);
    return response;
}

transport::http_response configurator_task::statusResponse() const
{
    std::map<std::string, json> sites;
    for (const auto& member : m_members.members) {
        auto& site = sites.try_emplace(member.dataCentre, json { { "data_centre", member.dataCentre }, { "daemons", json::array() } }).first->second;
        site["daemons"].push_back({ { "id", member.id }, { "revision", m_spread.revisionOf(member.id) } });
    }
    json list = json::array();
    for (const auto& [name, site] : sites)
        list.push_back(site);
    return transport::jsonResponse(200, json { { "revision", m_spread.record().revision }, { "sites", list } }.dump());
}

transport::http_response configurator_task::historyResponse(const transport::http_request& request) const
{
    const auto limit = configuration::parseHistoryLimit(request.parameter("limit"));
    if (!limit.ok())
        return errorResponse(400, "limit", limit.status());
    json list = json::array();
    for (const auto& change : configuration::selectHistory(m_spread.record(), { request.parameter("document"), request.parameter("operator"), *limit }))
        list.push_back({ { "revision", change.revision }, { "document", change.document }, { "operator", change.operatorName }, { "change", change.changeId }, { "time", change.time } });
    return transport::jsonResponse(200, json { { "changes", list } }.dump());
}

void configurator_task::beginEdit(const administration_call& call, const std::string& document)
{
    settings::configuration_edit edit { document, call.request.body, 0, call.request.header("camphorsaddle-operator"), call.request.header("camphorsaddle-change") };
    const std::string match = call.request.header("if-match");
    const auto digits = absl::StripSuffix(absl::StripPrefix(match, "\""), "\"");
    if (!absl::SimpleAtoi(digits, &edit.expectedRevision)) {
        reply(call.ticket, errorResponse(428, "if_match", utils::makeError(absl::StatusCode::kInvalidArgument, "submit a configuration", document, "If-Match must name the revision that was read, \"0\" for a new document")));
        return;
    }
    if (const auto status = checkEdit(edit); !status.ok()) {
        reply(call.ticket, errorResponse(400, "bad_request", status));
        return;
    }
    if (edit.changeId.empty())
        edit.changeId = absl::StrCat(context().settings.daemonId, "-", context().incarnation, "-", call.ticket);
    const auto deadline = loop().now() + editTime;
    performEdit(std::make_shared<pending_edit>(pending_edit { call.ticket, { std::move(edit), deadline } }), configuration::read_record {});
}

void configurator_task::performEdit(const std::shared_ptr<pending_edit>& pending, configuration::edit_step step)
{
    std::visit(overloaded {
                   [&](const configuration::read_record&) { readForEdit(pending); },
                   [&](const configuration::write_record& write) { writeForEdit(pending, write); },
                   [&](const configuration::edit_outcome& outcome) { finishEdit(*pending, outcome); },
               },
        step);
}

void configurator_task::readForEdit(const std::shared_ptr<pending_edit>& pending)
{
    m_store.read(std::string(recordKey), [this, pending](const absl::StatusOr<external::key_value>& stored) {
        performEdit(pending, pending->process.onRead(configuration::parseStored(stored), loop().now(), std::chrono::system_clock::now()));
    });
}

void configurator_task::writeForEdit(const std::shared_ptr<pending_edit>& pending, const configuration::write_record& write)
{
    const external::write_request request { std::string(recordKey), settings::formatRecord(write.record), write.expectedVersion, 0 };
    m_store.write(request, [this, pending](const absl::StatusOr<external::revision>& written) {
        performEdit(pending, pending->process.onWritten(written, loop().now()));
    });
}

void configurator_task::finishEdit(const pending_edit& pending, const configuration::edit_outcome& outcome)
{
    const auto& edit = pending.process.edit();
    if (outcome.end == configuration::edit_end::Accepted) {
        utils::logEvent(utils::events::configurationSubmitted, { { "revision", absl::StrCat(outcome.revision) }, { "document", edit.document }, { "operator", edit.operatorName }, { "change", edit.changeId } });
        perform(m_spread.onRecord(outcome.record, configuration::record_source::OwnEdit, loop().now()));
    }
    reply(pending.ticket, responseTo(edit.document, outcome));
}

void configurator_task::reply(std::uint64_t ticket, transport::http_response response)
{
    context().mailboxes.administration.post(administration_reply { ticket, std::move(response) });
}

} // namespace camphorsaddle::tasks
