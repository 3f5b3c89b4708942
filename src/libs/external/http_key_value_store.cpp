#include "external/http_key_value_store.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "external/json_http.h"
#include "external/limits.h"

namespace camphorsaddle::external {

namespace {

    std::string decodeValue(const nlohmann::json& entry)
    {
        std::string value;
        if (!absl::Base64Unescape(input::readText(input::requireField(entry, "value"), "value", limits::payload), &value))
            throw input::input_error("a value is not valid base64");
        return value;
    }

    absl::StatusCode statusCodeOf(int status)
    {
        switch (status) {
        case 404:
            return absl::StatusCode::kNotFound;
        case 410:
            return absl::StatusCode::kFailedPrecondition;
        case 412:
            return absl::StatusCode::kAborted;
        case 413:
            return absl::StatusCode::kInvalidArgument;
        case 503:
            return absl::StatusCode::kUnavailable;
        default:
            return absl::StatusCode::kUnknown;
        }
    }

    absl::StatusOr<revision> readVersion(const transport::http_result& result, absl::string_view step, absl::string_view peer)
    {
        auto body = parseBody(result, step, peer);
        if (!body.ok())
            return body.status();
        return readFields(step, peer, [&] { return input::readUnsigned(input::requireField(*body, "version"), "version"); });
    }

    key_listing readListing(const nlohmann::json& body)
    {
        key_listing listing { input::readUnsigned(input::requireField(body, "revision"), "revision"), {} };
        for (const auto& entry : input::readList(input::requireField(body, "entries"), "entries", limits::rowsPerList))
            listing.entries.push_back({ input::textField(entry, "key", limits::key), input::readUnsigned(input::requireField(entry, "version"), "version"), decodeValue(entry) });
        return listing;
    }

    watch_result readChanges(const nlohmann::json& body)
    {
        watch_result result { input::readUnsigned(input::requireField(body, "revision"), "revision"), {} };
        for (const auto& entry : input::readList(input::requireField(body, "events"), "events", limits::rowsPerList)) {
            const bool deleted = input::flagField(entry, "deleted", false);
            result.changes.push_back({ input::textField(entry, "key", limits::key), input::readUnsigned(input::requireField(entry, "version"), "version"), deleted ? std::string() : decodeValue(entry), deleted });
        }
        return result;
    }

} // namespace

http_key_value_store::http_key_value_store(transport::http_client& client, std::string url, utils::milliseconds timeout, utils::metric_registry& metrics)
    : m_client(client)
    , m_url(std::move(url))
    , m_peer(absl::StrCat("store ", m_url))
    , m_timeout(timeout)
    , m_calls(metrics, "camphorsaddle_store_calls_total")
{
}

transport::http_call http_key_value_store::call(std::string method, const std::string& path) const
{
    transport::http_call result;
    result.method = std::move(method);
    result.url = m_url + path;
    result.timeout = m_timeout;
    result.connectTimeout = m_timeout;
    return result;
}

void http_key_value_store::send(store_call kind, transport::http_call call, std::string step, std::function<void(absl::StatusOr<transport::http_result>)> callback)
{
    m_calls.count(kind);
    call.isSentAtMostOnce = !isRepeatable(kind);
    m_client.start(std::move(call), [this, step = std::move(step), callback = std::move(callback)](transport::http_result result) {
        if (!result.status.ok()) {
            callback(utils::makeError(result.status.code(), step, m_peer, result.status.message()));
            return;
        }
        if (result.response.status != 200) {
            callback(utils::makeError(statusCodeOf(result.response.status), step, m_peer, absl::StrCat("status ", result.response.status)));
            return;
        }
        callback(std::move(result));
    });
}

void http_key_value_store::read(const std::string& key, store_callback<key_value> callback)
{
    const std::string step = absl::StrCat("read ", key);
    send(store_call::Read, call("GET", absl::StrCat("/v1/kv/", transport::percentEncode(key))), step, [this, key, step, callback = std::move(callback)](auto result) {
        if (!result.ok()) {
            callback(result.status());
            return;
        }
        key_value value { key, 0, std::move(result->response.body) };
        const auto found = result->response.headers.find("version");
        if (found == result->response.headers.end() || !absl::SimpleAtoi(found->second, &value.version)) {
            callback(utils::makeError(absl::StatusCode::kInternal, step, m_peer, "the answer has no version"));
            return;
        }
        callback(std::move(value));
    });
}

void http_key_value_store::list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback)
{
    const std::string step = absl::StrCat("list ", prefix);
    std::string path = absl::StrCat("/v1/kv?prefix=", transport::percentEncode(prefix));
    if (limit > 0)
        absl::StrAppend(&path, "&limit=", limit);
    if (!start.empty())
        absl::StrAppend(&path, "&start=", transport::percentEncode(start));
    send(store_call::List, call("GET", path), step, [this, step, callback = std::move(callback)](auto result) {
        if (!result.ok()) {
            callback(result.status());
            return;
        }
        const auto body = parseBody(*result, step, m_peer);
        if (!body.ok())
            callback(body.status());
        else
            callback(readFields(step, m_peer, [&] { return readListing(*body); }));
    });
}

void http_key_value_store::write(const write_request& request, store_callback<revision> callback)
{
    const std::string step = absl::StrCat("write ", request.key);
    auto prepared = call("PUT", absl::StrCat("/v1/kv/", transport::percentEncode(request.key), "?version=", request.expectedVersion));
    if (request.lease != 0)
        absl::StrAppend(&prepared.url, "&lease=", request.lease);
    prepared.body = request.value;
    send(store_call::Write, std::move(prepared), step, [this, step, callback = std::move(callback)](auto result) {
        callback(result.ok() ? readVersion(*result, step, m_peer) : result.status());
    });
}

void http_key_value_store::erase(const std::string& key, revision expectedVersion, store_callback<revision> callback)
{
    const std::string step = absl::StrCat("erase ", key);
    send(store_call::Erase, call("DELETE", absl::StrCat("/v1/kv/", transport::percentEncode(key), "?version=", expectedVersion)), step, [this, step, callback = std::move(callback)](auto result) {
        callback(result.ok() ? readVersion(*result, step, m_peer) : result.status());
    });
}

void http_key_value_store::grantLease(utils::milliseconds term, store_callback<lease_id> callback)
{
    const std::string step = "grant a lease";
    send(store_call::Lease, call("POST", absl::StrCat("/v1/leases?ttl_ms=", term.count())), step, [this, step, callback = std::move(callback)](auto result) {
        if (!result.ok()) {
            callback(result.status());
            return;
        }
        const auto body = parseBody(*result, step, m_peer);
        if (!body.ok())
            callback(body.status());
        else
            callback(readFields(step, m_peer, [&] { return body->at("lease").template get<lease_id>(); }));
    });
}

void http_key_value_store::renewLease(lease_id lease, std::function<void(absl::Status)> callback)
{
    send(store_call::Lease, call("POST", absl::StrCat("/v1/leases/", lease, "/renew")), absl::StrCat("renew lease ", lease), [callback = std::move(callback)](auto result) {
        callback(result.status());
    });
}

void http_key_value_store::revokeLease(lease_id lease, std::function<void(absl::Status)> callback)
{
    send(store_call::Lease, call("DELETE", absl::StrCat("/v1/leases/", lease)), absl::StrCat("revoke lease ", lease), [callback = std::move(callback)](auto result) {
        callback(result.status());
    });
}

void http_key_value_store::watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback)
{
    const std::string step = absl::StrCat("watch ", prefix);
    auto prepared = call("GET", absl::StrCat("/v1/watch?prefix=", transport::percentEncode(prefix), "&after=", after, "&wait_ms=", wait.count()));
    prepared.timeout += wait;
    send(store_call::Watch, std::move(prepared), step, [this, step, callback = std::move(callback)](auto result) {
        if (!result.ok()) {
            const bool isForgotten = absl::IsFailedPrecondition(result.status());
            callback(isForgotten ? utils::makeError(absl::StatusCode::kOutOfRange, step, m_peer, "the revision is older than the history that the store keeps") : result.status());
            return;
        }
        const auto body = parseBody(*result, step, m_peer);
        if (!body.ok())
            callback(body.status());
        else
            callback(readFields(step, m_peer, [&] { return readChanges(*body); }));
    });
}

} // namespace camphorsaddle::external
