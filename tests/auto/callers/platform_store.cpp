#include "callers/platform_store.h"

#include <algorithm>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace camphorsaddle::callers {

namespace {

    using nlohmann::json;

    constexpr utils::milliseconds tickInterval { 10 };
    constexpr std::size_t itemsPerPage = 500;
    constexpr std::size_t bytesPerPage = 1 << 20;

    std::uint64_t readNumber(absl::string_view text)
    {
        std::uint64_t number = 0;
        return absl::SimpleAtoi(text, &number) ? number : 0;
    }

} // namespace

platform_store::platform_store(const std::string& ip)
    : m_ip(ip)
    , m_tickTimer(m_loop, [this] { onTick(); })
{
    transport::http_server_options options;
    options.address = ip;
    options.bodyLimit = 64 << 20;
    m_server = *transport::http_server::listen(m_loop, options, [this](const transport::http_request& request, const transport::http_responder& responder) { serve(request, responder); });
    m_tickTimer.startRepeating(tickInterval);
    m_thread = std::thread([this] { m_loop.run(); });
}

platform_store::~platform_store()
{
    m_loop.stop();
    m_thread.join();
    m_watches.clear();
    m_server.reset();
}

std::string platform_store::address() const
{
    return absl::StrCat(m_ip, ":", m_server->port());
}

void platform_store::setGrantsLeases(bool isGranting)
{
    m_grantsLeases = isGranting;
}

void platform_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    putItem(key, absl::Base64Escape(value), 0);
}

bool platform_store::contains(const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    return m_items.contains(key);
}

std::string platform_store::value(const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    std::string result;
    if (found != m_items.end())
        absl::Base64Unescape(found->second.value, &result);
    return result;
}

void platform_store::serve(const transport::http_request& request, const transport::http_responder& responder)
{
    const std::lock_guard lock(m_mutex);
    if (request.path != "/kv-watch") {
        responder.respond(respond(request));
        return;
    }
    const auto now = clock::now();
    const open_watch watch { responder, request.parameter("Prefix"), readNumber(request.parameter("After")), now + std::chrono::milliseconds(readNumber(request.parameter("WaitMs"))) };
    if (!answerWatch(watch, now))
        m_watches.push_back(watch);
}

transport::http_response platform_store::respond(const transport::http_request& request)
{
    absl::string_view path = request.path;
    if (path == "/kv-key") {
        const auto found = m_items.find(request.parameter("Key"));
        if (found == m_items.end())
            return transport::jsonResponse(404, json { { "CurrentRev", m_revision } }.dump());
        auto body = render(found->first, found->second);
        body["CurrentRev"] = m_revision;
        return transport::jsonResponse(200, body.dump());
    }
    if (path == "/kv-range")
        return list(request);
    if (path == "/kv-txn")
        return transact(json::parse(request.body));
    if (path == "/kv-lease")
        return grantLease(json::parse(request.body));
    if (absl::ConsumePrefix(&path, "/kv-keep/")) {
        const auto found = m_leases.find(readNumber(path));
        if (found == m_leases.end())
            return transport::jsonResponse(404, "{}");
        found->second.expiresAt = clock::now() + found->second.term;
        return transport::jsonResponse(200, json { { "TtlMs", found->second.term.count() } }.dump());
    }
    if (absl::ConsumePrefix(&path, "/kv-lease-end/")) {
        endLease(readNumber(path));
        return transport::jsonResponse(200, "{}");
    }
    return transport::jsonResponse(404, "{}");
}

json platform_store::render(const std::string& key, const item& stored) const
{
    return { { "Key", key }, { "Value", stored.value }, { "Revision", stored.revision }, { "Created", stored.revision }, { "Lease", stored.lease } };
}

transport::http_response platform_store::list(const transport::http_request& request) const
{
    const auto prefix = request.parameter("Prefix");
    const auto after = request.parameter("After");
    json items = json::array();
    std::size_t bytes = 0;
    auto entry = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    for (; entry != m_items.end() && absl::StartsWith(entry->first, prefix) && items.size() < itemsPerPage && bytes < bytesPerPage; ++entry) {
        items.push_back(render(entry->first, entry->second));
        bytes += entry->second.value.size();
    }
    const bool hasMore = entry != m_items.end() && absl::StartsWith(entry->first, prefix);
    return transport::jsonResponse(200, json { { "items", items }, { "MorePages", hasMore }, { "CurrentRev", m_revision } }.dump());
}

transport::http_response platform_store::transact(const json& body)
{
    bool isMet = true;
    json present = json::array();
    for (const auto& expected : body.at("ExpectedRev")) {
        const auto found = m_items.find(expected.at("Key").get<std::string>());
        isMet = isMet && expected.at("Revision").get<std::uint64_t>() == (found == m_items.end() ? 0 : found->second.revision);
        if (found != m_items.end())
            present.push_back(render(found->first, found->second));
    }
    if (!isMet)
        return transport::jsonResponse(412, json { { "items", present } }.dump());
    const auto isLeaseGone = [this](const json& put) {
        const auto lease = put.at("Lease").get<std::uint64_t>();
        return lease != 0 && !m_leases.contains(lease);
    };
    if (std::ranges::any_of(body.at("Puts"), isLeaseGone))
        return transport::jsonResponse(404, "{}");
    ++m_revision;
    for (const auto& put : body.at("Puts"))
        putItem(put.at("Key"), put.at("Value"), put.at("Lease"));
    for (const auto& key : body.at("Remove"))
        removeItem(key);
    return transport::jsonResponse(200, json { { "Revision", m_revision } }.dump());
}

transport::http_response platform_store::grantLease(const json& body)
{
    if (!m_grantsLeases)
        return transport::jsonResponse(503, "{}");
    const std::chrono::milliseconds term(body.at("TtlMs").get<std::int64_t>());
    m_leases[++m_lastLease] = { term, clock::now() + term };
    return transport::jsonResponse(200, json { { "Lease", m_lastLease }, { "TtlMs", term.count() } }.dump());
}

void platform_store::putItem(const std::string& key, const std::string& value, std::uint64_t lease)
{
    m_items[key] = { value, m_revision, lease };
    m_changes.push_back({ key, m_revision, false });
}

void platform_store::removeItem(const std::string& key)
{
    if (m_items.erase(key) > 0)
        m_changes.push_back({ key, m_revision, true });
}

void platform_store::endLease(std::uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, stored] : m_items) {
        if (stored.lease == lease)
            keys.push_back(key);
    }
    ++m_revision;
    for (const auto& key : keys)
        removeItem(key);
}

void platform_store::onTick()
{
    const std::lock_guard lock(m_mutex);
    const auto now = clock::now();
    std::vector<std::uint64_t> ended;
    for (const auto& [lease, state] : m_leases) {
        if (now > state.expiresAt)
            ended.push_back(lease);
    }
    for (const auto lease : ended)
        endLease(lease);
    std::erase_if(m_watches, [&](const open_watch& watch) { return answerWatch(watch, now); });
}

bool platform_store::answerWatch(const open_watch& watch, clock::time_point now) const
{
    json events = json::array();
    const auto first = std::ranges::upper_bound(m_changes, watch.after, {}, &change::revision);
    for (auto entry = first; entry != m_changes.end(); ++entry) {
        if (!absl::StartsWith(entry->key, watch.prefix))
            continue;
        const auto stored = m_items.find(entry->key);
        if (entry->isRemoval)
            events.push_back({ { "Key", entry->key }, { "Revision", entry->revision }, { "Tombstone", true } });
        else if (stored != m_items.end() && stored->second.revision == entry->revision)
            events.push_back(render(entry->key, stored->second));
    }
    if (events.empty() && now < watch.until)
        return false;
    watch.responder.respond(transport::jsonResponse(200, json { { "events", events }, { "CurrentRev", m_revision } }.dump()));
    return true;
}

} // namespace camphorsaddle::callers
