// Stand-in of the platform's metadata store.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <vector>

#include "http.h"
#include "nlohmann/json.hpp"
#include "record.h"

namespace review {

using json = nlohmann::json;

inline std::string encodeBase64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = (group << 8) | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        for (int digit = 0; digit < 4; ++digit)
            text += at + static_cast<std::size_t>(digit) > bytes.size() ? '=' : digits[(group >> (18 - 6 * digit)) & 63];
    }
    return text;
}

class store {
public:
    store(const std::string& ip, int port)
        : m_server(ip, port, [this](const http_request& request) { return answer(request); })
    {
        std::thread([this] { endLeases(); }).detach();
    }

    http_server& server()
    {
        return m_server;
    }

    //! Another address of the store, so that one daemon can be cut off from it.
    void addEntrance(const std::string& ip, int port)
    {
        m_entrances.push_back(std::make_unique<http_server>(ip, port, [this](const http_request& request) { return answer(request); }));
    }

    http_server& entrance(std::size_t number)
    {
        return *m_entrances[number];
    }

    //! Calls get 503 and nothing is done. Leases go on expiring, which the pages allow.
    std::atomic<bool> isBusy { false };

    //! Share of the executed writes whose answers are lost.
    std::atomic<double> lostShare { 0 };

    //! A write of the operator or of a minion.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        write(key, encodeBase64(value), 0);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        erase(key);
    }

    bool contains(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        return m_items.contains(key);
    }

    //! \a listener is called with each executed transaction, while the store is locked.
    void setTransactionListener(std::function<void(const json& transaction)> listener)
    {
        const std::lock_guard lock(m_mutex);
        m_onTransaction = std::move(listener);
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t revision;
        std::string key;
        bool isTombstone;
        item content;
    };
    struct lease_state {
        std::int64_t ttlMs = 0;
        std::int64_t endsAt = 0;
    };

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& target = m_items[key];
        if (target.created == 0)
            target.created = m_revision;
        target = { value, m_revision, target.created, lease };
        m_events.push_back({ m_revision, key, false, target });
        m_changed.notify_all();
    }

    void erase(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_events.push_back({ m_revision, key, true, {} });
        m_changed.notify_all();
    }

    void endLease(std::uint64_t id)
    {
        m_leases.erase(id);
        ++m_revision;
        std::vector<std::string> keys;
        for (const auto& [key, value] : m_items) {
            if (value.lease == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key);
    }

    void endLeases()
    {
        for (;; sleepMs(10)) {
            const std::lock_guard lock(m_mutex);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, state] : m_leases) {
                if (nowMs() >= state.endsAt)
                    ended.push_back(id);
            }
            for (const auto id : ended)
                endLease(id);
        }
    }

    static json describe(const std::string& key, const item& content)
    {
        return { { "Key", key }, { "Value", content.value }, { "Revision", content.revision }, { "Created", content.created }, { "Lease", content.lease } };
    }

    http_response answer(const http_request& request)
    {
        if (isBusy)
            return { 503, "{}" };
        const auto field = [&](const std::string& name) {
            const auto found = request.query.find(name);
            return found == request.query.end() ? std::string() : found->second;
        };
        std::unique_lock lock(m_mutex);
        if (request.path == "/kv-key") {
            const auto found = m_items.find(field("Key"));
            if (found == m_items.end())
                return { 404, "{}" };
            auto body = describe(found->first, found->second);
            body["CurrentRev"] = m_revision;
            return { 200, body.dump() };
        }
        if (request.path == "/kv-range")
            return list(field("Prefix"), field("After"));
        if (request.path == "/kv-watch")
            return watch(lock, field("Prefix"), std::strtoull(field("After").c_str(), nullptr, 10), std::atoi(field("WaitMs").c_str()));
        if (request.path == "/kv-txn")
            return transact(json::parse(request.body));
        if (request.path == "/kv-lease") {
            const std::int64_t ttl = json::parse(request.body)["TtlMs"];
            m_leases[++m_lastLease] = { ttl, nowMs() + ttl };
            return { 200, json { { "Lease", m_lastLease }, { "TtlMs", ttl } }.dump() };
        }
        const auto id = std::strtoull(request.path.substr(request.path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = m_leases.find(id);
        if (lease == m_leases.end())
            return { 404, "{}" };
        if (request.path.starts_with("/kv-keep/")) {
            lease->second.endsAt = nowMs() + lease->second.ttlMs;
            return { 200, json { { "TtlMs", lease->second.ttlMs } }.dump() };
        }
        endLease(id);
        return { 200, "{}" };
    }

    http_response list(const std::string& prefix, const std::string& after)
    {
        constexpr std::size_t pageSize = 500;
        json items = json::array();
        bool hasMore = false;
        for (auto entry = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); entry != m_items.end() && entry->first.starts_with(prefix); ++entry) {
            if (items.size() == pageSize) {
                hasMore = true;
                break;
            }
            items.push_back(describe(entry->first, entry->second));
        }
        return { 200, json { { "items", items }, { "MorePages", hasMore }, { "CurrentRev", m_revision } }.dump() };
    }

    http_response watch(std::unique_lock<std::mutex>& lock, const std::string& prefix, std::uint64_t after, int waitMs)
    {
        const auto until = steady::now() + std::chrono::milliseconds(waitMs);
        for (;;) {
            json events = json::array();
            for (const auto& change : m_events) {
                if (change.revision <= after || !change.key.starts_with(prefix))
                    continue;
                events.push_back(change.isTombstone ? json { { "Key", change.key }, { "Revision", change.revision }, { "Tombstone", true } } : describe(change.key, change.content));
            }
            if (!events.empty() || steady::now() >= until)
                return { 200, json { { "events", events }, { "CurrentRev", m_revision } }.dump() };
            m_changed.wait_until(lock, until);
        }
    }

    http_response transact(const json& change)
    {
        json conflicts = json::array();
        bool isExpected = true;
        for (const auto& row : change["ExpectedRev"]) {
            const auto found = m_items.find(row["Key"]);
            isExpected = isExpected && (found == m_items.end() ? 0 : found->second.revision) == row["Revision"].get<std::uint64_t>();
            if (found != m_items.end())
                conflicts.push_back(describe(found->first, found->second));
        }
        if (!isExpected)
            return { 412, json { { "items", conflicts } }.dump() };
        for (const auto& row : change["Puts"]) {
            if (const std::uint64_t lease = row.value("Lease", std::uint64_t(0)); lease != 0 && !m_leases.contains(lease))
                return { 404, "{}" };
        }
        // All changes of a transaction have one revision.
        ++m_revision;
        for (const auto& row : change["Puts"])
            write(row["Key"], row["Value"], row.value("Lease", std::uint64_t(0)));
        for (const auto& key : change["Remove"])
            erase(key);
        if (m_onTransaction)
            m_onTransaction(change);
        if (std::uniform_real_distribution<double>()(m_random) < lostShare)
            return { lostAnswer, {} };
        return { 200, json { { "Revision", m_revision } }.dump() };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<event> m_events;
    std::map<std::uint64_t, lease_state> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 100;
    std::mt19937 m_random { 1 };
    std::function<void(const json& transaction)> m_onTransaction;
    std::vector<std::unique_ptr<http_server>> m_entrances;
    http_server m_server;
};

} // namespace review
