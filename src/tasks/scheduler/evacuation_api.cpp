#include "tasks/scheduler/evacuation_api.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "nlohmann/json.hpp"
#include "tasks/error_response.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    using json = nlohmann::json;

    constexpr absl::string_view requestStep = "request an evacuation";
    constexpr absl::string_view cancelStep = "cancel an evacuation";
    constexpr std::size_t maximumOperatorBytes = 128;
    //! A request and a cancellation that keep replacing each other make a call fail after so many attempts to change the key.
    constexpr unsigned maximumTries = 2;

    transport::http_response storeErrorResponse(absl::string_view step, const std::string& dataCentre, const absl::Status& cause)
    {
        const bool isNotWritten = absl::IsUnavailable(cause) || absl::IsAborted(cause);
        const absl::string_view advice = isNotWritten ? "nothing was changed; repeat the call later" : "the change may have been written; repeat the call to find out";
        return errorResponse(503, isNotWritten ? "store_unavailable" : "unknown", utils::makeError(absl::StatusCode::kUnavailable, step, dataCentre, absl::StrCat(advice, " (", utils::describe(cause), ")")));
    }

    //! Response to a failed read, which changed nothing.
    transport::http_response readErrorResponse(absl::string_view step, const std::string& peer, const absl::Status& cause)
    {
        return errorResponse(503, "store_unavailable", utils::makeError(absl::StatusCode::kUnavailable, step, peer, absl::StrCat("the store does not answer; nothing was changed, repeat the call later (", utils::describe(cause), ")")));
    }

    json toJson(const evacuation_request& request)
    {
        return { { "data_centre", request.dataCentre }, { "operator", request.operatorName }, { "since", request.time } };
    }

    transport::http_response requestResponse(int status, const evacuation_request& request)
    {
        return transport::jsonResponse(status, toJson(request).dump(-1, ' ', false, json::error_handler_t::replace));
    }

    transport::http_response unknownDataCentreResponse(const std::string& dataCentre)
    {
        return errorResponse(404, "unknown_data_centre", utils::makeError(absl::StatusCode::kNotFound, requestStep, dataCentre, "cluster.data_centres has no data centre of this name"));
    }

    transport::http_response notEvacuatedResponse(const std::string& dataCentre)
    {
        return errorResponse(404, "not_evacuated", utils::makeError(absl::StatusCode::kNotFound, cancelStep, dataCentre, "there is no request to evacuate it"));
    }

    transport::http_response methodNotAllowedResponse(const std::string& path, bool isList)
    {
        const std::string allowed = isList ? "GET" : "PUT, DELETE";
        auto response = errorResponse(405, "method", utils::makeError(absl::StatusCode::kUnimplemented, "evacuations", path, absl::StrCat("the method must be one of ", allowed)));
        response.headers["allow"] = allowed;
        return response;
    }

} // namespace

bool isEvacuationPath(absl::string_view path)
{
    return path == evacuationsPath || absl::StartsWith(path, absl::StrCat(evacuationsPath, "/"));
}

evacuation_api::evacuation_api(external::key_value_store& store, evacuation_follower& follower, std::set<std::string> dataCentres, std::function<evacuation_overview()> readOverview)
    : m_store(store)
    , m_follower(follower)
    , m_dataCentres(std::move(dataCentres))
    , m_readOverview(std::move(readOverview))
{
}

void evacuation_api::handle(const transport::http_request& call, std::chrono::system_clock::time_point now, const reply_callback& reply)
{
    absl::string_view rest = call.path;
    absl::ConsumePrefix(&rest, evacuationsPath);
    absl::ConsumePrefix(&rest, "/");
    const auto dataCentre = transport::percentDecode(rest);
    const auto operatorName = call.header("camphorsaddle-operator");
    if (dataCentre.empty() && call.method == "GET")
        list(reply);
    else if (!dataCentre.empty() && call.method == "DELETE")
        cancel(dataCentre, maximumTries, reply);
    else if (dataCentre.empty() || call.method != "PUT")
        reply(methodNotAllowedResponse(call.path, dataCentre.empty()));
    else if (!m_dataCentres.contains(dataCentre))
        reply(unknownDataCentreResponse(dataCentre));
    else if (operatorName.size() > maximumOperatorBytes)
        reply(errorResponse(400, "bad_request", utils::makeError(absl::StatusCode::kInvalidArgument, requestStep, dataCentre, absl::StrCat("Camphorsaddle-Operator must have at most ", maximumOperatorBytes, " bytes"))));
    else
        request({ dataCentre, operatorName, std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() }, maximumTries, reply);
}

// Reads the store, so that the response includes each change that was confirmed before the call.
void evacuation_api::list(const reply_callback& reply)
{
    m_follower.list(wrapCallback([this, reply](const absl::Status& status) {
        reply(status.ok() ? listResponse() : readErrorResponse("list the evacuations", "store", status));
    }));
}

transport::http_response evacuation_api::listResponse() const
{
    const auto overview = m_readOverview();
    json list = json::array();
    for (const auto& [name, stored] : m_follower.requests()) {
        auto entry = toJson(stored);
        entry["known"] = m_dataCentres.contains(name);
        const auto tasks = overview.tasks.find(name);
        entry["tasks"] = tasks == overview.tasks.end() ? 0 : tasks->second;
        list.push_back(std::move(entry));
    }
    const auto& workers = overview.dataCentresWithWorkers;
    const bool canStart = std::any_of(workers.begin(), workers.end(), [this](const std::string& name) { return !m_follower.requests().contains(name); });
    return transport::jsonResponse(200, json { { "evacuations", list }, { "can_start", canStart } }.dump(-1, ' ', false, json::error_handler_t::replace));
}

void evacuation_api::request(const evacuation_request& requested, unsigned triesLeft, const reply_callback& reply)
{
    const external::write_request write { evacuationKey(requested.dataCentre), formatEvacuation(requested), 0, 0 };
    m_store.write(write, wrapCallback([this, requested, triesLeft, reply](const absl::StatusOr<external::revision>& written) {
        if (written.ok()) {
            utils::logEvent(utils::events::evacuationRequested, { { "data_centre", requested.dataCentre }, { "operator", requested.operatorName } });
            m_follower.list([](const absl::Status&) {});
            reply(requestResponse(201, requested));
        } else if (absl::IsAborted(written.status()))
            handleExisting(requested, triesLeft, reply);
        else
            reply(storeErrorResponse(requestStep, requested.dataCentre, written.status()));
    }));
}

void evacuation_api::handleExisting(const evacuation_request& requested, unsigned triesLeft, const reply_callback& reply)
{
    m_store.read(evacuationKey(requested.dataCentre), wrapCallback([this, requested, triesLeft, reply](const absl::StatusOr<external::key_value>& stored) {
        if (stored.ok()) {
            const auto existing = parseEvacuation(stored->key, stored->value);
            reply(requestResponse(200, existing.ok() ? *existing : requested));
        } else if (!absl::IsNotFound(stored.status()))
            reply(readErrorResponse(requestStep, requested.dataCentre, stored.status()));
        else if (triesLeft > 1)
            request(requested, triesLeft - 1, reply);
        else
            reply(storeErrorResponse(requestStep, requested.dataCentre, absl::AbortedError("the request was cancelled by another call")));
    }));
}

void evacuation_api::cancel(const std::string& dataCentre, unsigned triesLeft, const reply_callback& reply)
{
    m_store.read(evacuationKey(dataCentre), wrapCallback([this, dataCentre, triesLeft, reply](const absl::StatusOr<external::key_value>& stored) {
        if (stored.ok())
            erase(*stored, dataCentre, triesLeft, reply);
        else if (absl::IsNotFound(stored.status()))
            reply(notEvacuatedResponse(dataCentre));
        else
            reply(readErrorResponse(cancelStep, dataCentre, stored.status()));
    }));
}

void evacuation_api::erase(const external::key_value& stored, const std::string& dataCentre, unsigned triesLeft, const reply_callback& reply)
{
    m_store.erase(evacuationKey(dataCentre), stored.version, wrapCallback([this, stored, dataCentre, triesLeft, reply](const absl::StatusOr<external::revision>& erased) {
        if (erased.ok()) {
            utils::logEvent(utils::events::evacuationCancelled, { { "data_centre", dataCentre } });
            m_follower.list([](const absl::Status&) {});
            const auto former = parseEvacuation(evacuationKey(dataCentre), stored.value);
            reply(requestResponse(200, former.ok() ? *former : evacuation_request { dataCentre, {}, 0 }));
        } else if (absl::IsNotFound(erased.status()))
            reply(notEvacuatedResponse(dataCentre));
        else if (absl::IsAborted(erased.status()) && triesLeft > 1)
            cancel(dataCentre, triesLeft - 1, reply);
        else
            reply(storeErrorResponse(cancelStep, dataCentre, erased.status()));
    }));
}

} // namespace camphorsaddle::tasks
