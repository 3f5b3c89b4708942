#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <vector>

#include "http.h"
#include "nlohmann/json.hpp"

//! \brief Stand-in of the platform's store, as PROTOCOL.md has it. Each daemon gets an address of its own, so that the path
//! of one daemon can be disturbed.
namespace review {

using nlohmann::json;

inline std::string encodeBase64(const std::string& text)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned value = 0;
        for (std::size_t part = 0; part < 3; ++part)
            value = value * 256 + (at + part < text.size() ? static_cast<unsigned char>(text[at + part]) : 0);
        for (std::size_t part = 0; part < 4; ++part)
            result += at + part <= text.size() ? letters[value >> (18 - 6 * part) & 63] : '=';
    }
    return result;
}

class store {
public:
    store()
    {
        m_expiry = std::thread([this] {
            while (!m_isEnding) {
                std::this_thread::sleep_for(ms(20));
                expireLeases();
            }
        });
    }

    ~store()
    {
        m_isEnding = true;
        m_changed.notify_all();
        m_expiry.join();
        m_servers.clear();
    }

    //! Opens an address for one daemon and returns its port. \a disturb may answer a call in the store's place; it is called before the
    //! call is executed.
    int open(const std::string& ip, std::function<std::optional<response>(const request&)> disturb = {})
    {
        m_servers.push_back(std::make_unique<http_server>([this, disturb = std::move(disturb)](const request& call) {
            if (disturb) {
                if (auto answer = disturb(call))
                    return *answer;
            }
            return handle(call);
        }));
        return m_servers.back()->start(ip);
    }

    //! Writes an item as the operator or a minion does; the value is the text before its encoding.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, encodeBase64(value), 0, ++m_revision);
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key, ++m_revision);
        m_changed.notify_all();
    }

    std::vector<std::string> keys(const std::string& prefix)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix))
                result.push_back(key);
        }
        return result;
    }

    response handle(const request& call)
    {
        std::unique_lock lock(m_mutex);
        try {
            if (call.path == "/kv-key")
                return read(call);
            if (call.path == "/kv-range")
                return list(call);
            if (call.path == "/kv-watch")
                return watch(call, lock);
            if (call.path == "/kv-txn")
                return transact(json::parse(call.body));
            if (call.path == "/kv-lease")
                return grant(json::parse(call.body));
            if (call.path.starts_with("/kv-keep/"))
                return renew(std::stoull(call.path.substr(9)));
            if (call.path.starts_with("/kv-lease-end/"))
                return end(std::stoull(call.path.substr(14)));
        } catch (const std::exception& failure) {
            return { 400, json { { "error", failure.what() } }.dump() };
        }
        return { 404, "{}" };
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease {
        ms ttl;
        clock::time_point endsAt;
    };

    static json toJson(const std::string& key, const item& value)
    {
        return { { "Key", key }, { "Value", value.value }, { "Revision", value.revision }, { "Created", value.created }, { "Lease", value.lease } };
    }

    void write(const std::string& key, const std::string& encoded, std::uint64_t lease, std::uint64_t revision)
    {
        auto& known = m_items[key];
        known = { encoded, revision, known.created == 0 ? revision : known.created, lease };
        m_events.push_back({ revision, key, toJson(key, known) });
    }

    void erase(const std::string& key, std::uint64_t revision)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ revision, key, { { "Key", key }, { "Revision", revision }, { "Tombstone", true } } });
    }

    response read(const request& call)
    {
        const auto found = m_items.find(call.query.at("Key"));
        if (found == m_items.end())
            return { 404, "{}" };
        auto result = toJson(found->first, found->second);
        result["CurrentRev"] = m_revision;
        return { 200, result.dump() };
    }

    response list(const request& call)
    {
        const auto& prefix = call.query.at("Prefix");
        const auto after = call.query.contains("After") ? call.query.at("After") : std::string();
        json items = json::array();
        bool hasMore = false;
        for (const auto& [key, value] : m_items) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                continue;
            hasMore = items.size() == 500;
            if (hasMore)
                break;
            items.push_back(toJson(key, value));
        }
        return { 200, json { { "items", items }, { "MorePages", hasMore }, { "CurrentRev", m_revision } }.dump() };
    }

    response watch(const request& call, std::unique_lock<std::mutex>& lock)
    {
        const auto& prefix = call.query.at("Prefix");
        const auto after = std::stoull(call.query.at("After"));
        const auto until = clock::now() + ms(std::stoll(call.query.at("WaitMs")));
        for (;;) {
            json events = json::array();
            for (const auto& event : m_events) {
                if (event.revision > after && event.key.starts_with(prefix))
                    events.push_back(event.content);
            }
            if (!events.empty() || clock::now() >= until || m_isEnding)
                return { 200, json { { "events", events }, { "CurrentRev", m_revision } }.dump() };
            m_changed.wait_until(lock, until);
        }
    }

    response transact(const json& call)
    {
        json present = json::array();
        bool holds = true;
        for (const auto& expected : call.value("ExpectedRev", json::array())) {
            const std::string key = expected.at("Key");
            const auto found = m_items.find(key);
            holds = holds && (found == m_items.end() ? 0 : found->second.revision) == expected.at("Revision").get<std::uint64_t>();
            if (found != m_items.end())
                present.push_back(toJson(key, found->second));
        }
        if (!holds)
            return { 412, json { { "items", present }, { "CurrentRev", m_revision } }.dump() };
        for (const auto& put : call.value("Puts", json::array())) {
            if (put.value("Lease", std::uint64_t(0)) != 0 && !m_leases.contains(put.at("Lease").get<std::uint64_t>()))
                return { 404, "{}" };
        }
        ++m_revision;
        for (const auto& put : call.value("Puts", json::array()))
            write(put.at("Key"), put.at("Value"), put.value("Lease", std::uint64_t(0)), m_revision);
        for (const std::string key : call.value("Remove", json::array()))
            erase(key, m_revision);
        m_changed.notify_all();
        return { 200, json { { "Revision", m_revision } }.dump() };
    }

    response grant(const json& call)
    {
        const auto id = ++m_lastLease;
        const ms ttl(call.at("TtlMs").get<std::int64_t>());
        m_leases[id] = { ttl, clock::now() + ttl };
        return { 200, json { { "Lease", id }, { "TtlMs", ttl.count() } }.dump() };
    }

    response renew(std::uint64_t id)
    {
        const auto found = m_leases.find(id);
        if (found == m_leases.end())
            return { 404, "{}" };
        found->second.endsAt = clock::now() + found->second.ttl;
        return { 200, json { { "TtlMs", found->second.ttl.count() } }.dump() };
    }

    response end(std::uint64_t id)
    {
        if (!m_leases.contains(id))
            return { 404, "{}" };
        endLease(id);
        return { 200, "{}" };
    }

    void endLease(std::uint64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> ended;
        for (const auto& [key, value] : m_items) {
            if (value.lease == id)
                ended.push_back(key);
        }
        if (ended.empty())
            return;
        ++m_revision;
        for (const auto& key : ended)
            erase(key, m_revision);
        m_changed.notify_all();
    }

    void expireLeases()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::uint64_t> ended;
        for (const auto& [id, known] : m_leases) {
            if (clock::now() > known.endsAt)
                ended.push_back(id);
        }
        for (const auto id : ended)
            endLease(id);
    }

    struct event {
        std::uint64_t revision = 0;
        std::string key;
        json content;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<event> m_events;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 1000;
    std::atomic<bool> m_isEnding = false;
    std::thread m_expiry;
    std::vector<std::unique_ptr<http_server>> m_servers;
};

} // namespace review
