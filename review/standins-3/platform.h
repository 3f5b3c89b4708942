// Stand-ins of the platform's store and of the minions, after PROTOCOL.md.
#pragma once

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace standins {

using nlohmann::json;

//! Writes what happens, with the time since the start in seconds.
class record_file {
public:
    explicit record_file(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(nowMs())
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(nowMs() - m_start) / 1000, line.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    std::int64_t m_start;
};

inline std::string base64(const std::string& text)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? letters[bits >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

struct store_item {
    std::string key;
    std::string value; // base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
};

//! How the store treats the calls that come through one of its addresses.
enum class store_fault {
    None,
    Busy, // 503
    Silent,
};

class kv_store {
public:
    explicit kv_store(record_file& record)
        : m_record(record)
        , m_expiry([this] { expireLeases(); })
    {
        m_expiry.detach();
    }

    //! Answers a call that came through the address with the given number.
    bool handle(std::size_t address, const request& call, response& answer)
    {
        const auto fault = faultOf(address);
        if (fault == store_fault::Busy) {
            answer = { 503, "{}" };
            return true;
        }
        if (fault == store_fault::Silent) {
            while (faultOf(address) == store_fault::Silent)
                sleepMs(20);
            return false;
        }
        sleepMs(4);
        answer = respond(call);
        return true;
    }

    void setFault(std::size_t address, store_fault fault)
    {
        const std::lock_guard lock(m_mutex);
        m_faults[address] = fault;
    }

    //! A write of the operator or of a minion.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        putItem(key, base64(value), 0, ++m_revision);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        if (m_items.contains(key))
            removeItem(key, ++m_revision);
    }

    bool contains(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        return m_items.contains(key);
    }

    std::vector<std::string> keys()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto& [key, item] : m_items)
            result.push_back(key);
        return result;
    }

    //! The value of a key, in base64.
    std::string value(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? "" : found->second.value;
    }

private:
    struct event {
        std::uint64_t revision;
        std::int64_t at;
        store_item item;
        bool isRemoval;
    };
    struct lease {
        std::int64_t ttl;
        std::int64_t expires;
    };

    static constexpr std::int64_t historyMs = 20'000;
    static constexpr std::size_t pageItems = 500;

    store_fault faultOf(std::size_t address)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_faults.find(address);
        return found == m_faults.end() ? store_fault::None : found->second;
    }

    static json toJson(const store_item& item)
    {
        return { { "Key", item.key }, { "Value", item.value }, { "Revision", item.revision }, { "Created", item.created }, { "Lease", item.lease } };
    }

    response respond(const request& call)
    {
        if (call.path == "/kv-watch")
            return watch(call);
        const std::lock_guard lock(m_mutex);
        if (call.path == "/kv-key") {
            const auto found = m_items.find(call.parameter("Key"));
            if (found == m_items.end())
                return { 404, json { { "CurrentRev", m_revision } }.dump() };
            auto body = toJson(found->second);
            body["CurrentRev"] = m_revision;
            return { 200, body.dump() };
        }
        if (call.path == "/kv-range")
            return range(call);
        if (call.path == "/kv-txn")
            return transact(json::parse(call.body));
        if (call.path == "/kv-lease") {
            const auto ttl = json::parse(call.body).at("TtlMs").get<std::int64_t>();
            const auto id = ++m_lastLease;
            m_leases[id] = { ttl, nowMs() + ttl };
            return { 200, json { { "Lease", id }, { "TtlMs", ttl } }.dump() };
        }
        if (call.path.starts_with("/kv-keep/")) {
            const auto found = m_leases.find(std::stoull(call.path.substr(9)));
            if (found == m_leases.end())
                return { 404, "{}" };
            found->second.expires = nowMs() + found->second.ttl;
            return { 200, json { { "TtlMs", found->second.ttl } }.dump() };
        }
        if (call.path.starts_with("/kv-lease-end/")) {
            const auto id = std::stoull(call.path.substr(14));
            if (!m_leases.contains(id))
                return { 404, "{}" };
            endLease(id);
            return { 200, "{}" };
        }
        return { 404, "{}" };
    }

    response range(const request& call)
    {
        const auto prefix = call.parameter("Prefix");
        const auto after = call.parameter("After");
        json items = json::array();
        bool hasMore = false;
        for (auto entry = m_items.lower_bound(prefix); entry != m_items.end() && entry->first.starts_with(prefix); ++entry) {
            if (!after.empty() && entry->first <= after)
                continue;
            if (items.size() == pageItems) {
                hasMore = true;
                break;
            }
            items.push_back(toJson(entry->second));
        }
        return { 200, json { { "items", items }, { "MorePages", hasMore }, { "CurrentRev", m_revision } }.dump() };
    }

    response transact(const json& body)
    {
        json present = json::array();
        bool holds = true;
        const auto expectations = body.value("ExpectedRev", json::array());
        const auto puts = body.value("Puts", json::array());
        const auto removals = body.value("Remove", json::array());
        for (const auto& expected : expectations) {
            const auto found = m_items.find(expected.at("Key").get<std::string>());
            const auto revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == expected.at("Revision").get<std::uint64_t>();
            if (found != m_items.end())
                present.push_back(toJson(found->second));
        }
        if (!holds)
            return { 412, json { { "items", present } }.dump() };
        for (const auto& put : puts) {
            const auto lease = put.value("Lease", std::uint64_t(0));
            if (lease != 0 && !m_leases.contains(lease))
                return { 404, "{}" };
        }
        const auto revision = ++m_revision;
        for (const auto& put : puts)
            putItem(put.at("Key"), put.value("Value", ""), put.value("Lease", std::uint64_t(0)), revision);
        for (const auto& key : removals) {
            if (m_items.contains(key.get<std::string>()))
                removeItem(key, revision);
        }
        return { 200, json { { "Revision", revision } }.dump() };
    }

    response watch(const request& call)
    {
        const auto prefix = call.parameter("Prefix");
        const auto after = std::stoull(call.parameter("After"));
        const auto until = steady::now() + std::chrono::milliseconds(std::stoll(call.parameter("WaitMs")));
        std::unique_lock lock(m_mutex);
        while (true) {
            if (after < m_forgottenUntil)
                return { 410, "{}" };
            json events = json::array();
            for (const auto& change : m_events) {
                if (change.revision <= after || !change.item.key.starts_with(prefix))
                    continue;
                if (change.isRemoval)
                    events.push_back({ { "Key", change.item.key }, { "Revision", change.revision }, { "Tombstone", true } });
                else
                    events.push_back(toJson(change.item));
            }
            if (!events.empty() || steady::now() >= until)
                return { 200, json { { "events", events }, { "CurrentRev", m_revision } }.dump() };
            m_changed.wait_until(lock, until);
        }
    }

    void putItem(const std::string& key, const std::string& value, std::uint64_t lease, std::uint64_t revision)
    {
        auto& item = m_items[key];
        item.key = key;
        item.value = value;
        item.created = item.created == 0 ? revision : item.created;
        item.revision = revision;
        item.lease = lease;
        addEvent({ revision, nowMs(), item, false });
    }

    void removeItem(const std::string& key, std::uint64_t revision)
    {
        store_item item;
        item.key = key;
        m_items.erase(key);
        addEvent({ revision, nowMs(), item, true });
    }

    void addEvent(event change)
    {
        m_events.push_back(std::move(change));
        while (m_events.front().at < nowMs() - historyMs) {
            m_forgottenUntil = m_events.front().revision;
            m_events.pop_front();
        }
        m_changed.notify_all();
    }

    void endLease(std::uint64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> ended;
        for (const auto& [key, item] : m_items) {
            if (item.lease == id)
                ended.push_back(key);
        }
        for (const auto& key : ended)
            removeItem(key, ++m_revision);
    }

    void expireLeases()
    {
        while (true) {
            sleepMs(20);
            const std::lock_guard lock(m_mutex);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, known] : m_leases) {
                if (nowMs() > known.expires)
                    ended.push_back(id);
            }
            for (const auto id : ended)
                endLease(id);
        }
    }

    record_file& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, store_item> m_items;
    std::deque<event> m_events;
    std::uint64_t m_revision = 100;
    std::uint64_t m_forgottenUntil = 0;
    std::uint64_t m_lastLease = 0;
    std::map<std::uint64_t, lease> m_leases;
    std::map<std::size_t, store_fault> m_faults;
    std::thread m_expiry;
};

struct step_shape {
    int count = 1;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t workMs = 0;
    bool lasts = false;
};

struct task_start {
    std::string task;
    std::uint64_t run = 0;
    std::string minion;
    std::uint64_t fence = 0;
    std::int64_t at = 0;
    std::int64_t endedAt = 0; // 0 while it runs
    std::string how;
};

//! What was handed in and what has run.
class ledger {
public:
    explicit ledger(record_file& record)
        : m_record(record)
    {
    }

    void addJob(const std::string& id, std::vector<step_shape> steps)
    {
        const std::lock_guard lock(m_mutex);
        m_jobs[id] = std::move(steps);
    }

    //! The step of a task that a client has sent; null for any other.
    const step_shape* stepOf(const std::string& task)
    {
        const std::lock_guard lock(m_mutex);
        const auto first = task.find('.');
        const auto second = task.find('.', first + 1);
        const auto third = task.find('.', second + 1);
        const auto job = m_jobs.find(task.substr(0, first));
        if (job == m_jobs.end())
            return nullptr;
        const auto step = std::stoul(task.substr(second + 1, third - second - 1));
        return step < job->second.size() ? &job->second[step] : nullptr;
    }

    void addStart(const std::string& task, std::uint64_t run, const std::string& minion, std::uint64_t fence)
    {
        const std::lock_guard lock(m_mutex);
        m_starts.push_back({ task, run, minion, fence, nowMs(), 0, "" });
        m_record.write("run " + task + "/" + std::to_string(run) + " starts on " + minion + " token " + std::to_string(fence));
    }

    void addEnd(const std::string& task, std::uint64_t run, const std::string& minion, const std::string& how)
    {
        const std::lock_guard lock(m_mutex);
        for (auto& start : m_starts) {
            if (start.task == task && start.run == run && start.minion == minion && start.endedAt == 0) {
                start.endedAt = nowMs();
                start.how = how;
            }
        }
        m_record.write("run " + task + "/" + std::to_string(run) + " ends on " + minion + ": " + how);
    }

    std::vector<task_start> starts()
    {
        const std::lock_guard lock(m_mutex);
        return m_starts;
    }

private:
    record_file& m_record;
    std::mutex m_mutex;
    std::map<std::string, std::vector<step_shape>> m_jobs;
    std::vector<task_start> m_starts;
};

struct minion_settings {
    std::string service;
    std::string zone;
    std::string rack;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t heartbeatMs = 1500;
    std::int64_t maxHoldMs = 0;
    std::int64_t stopMs = 0;
};

//! A machine with one minion after the other: each start is a new life with an id of its own.
class minion {
public:
    minion(const std::string& ip, std::string machine, minion_settings settings, kv_store& store, ledger& runs, record_file& record)
        : m_machine(std::move(machine))
        , m_settings(std::move(settings))
        , m_store(store)
        , m_runs(runs)
        , m_record(record)
        , m_server(ip, [this](const request& call, response& answer) { return handle(call, answer); })
    {
    }

    void start()
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_lives;
            m_id = "i-" + m_machine + "-" + std::to_string(m_lives);
            m_startedAt = nowMs();
            m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            m_fence = 0;
            m_leaseEnd = 0;
            m_lastEnd = 0;
            m_sequence = 0;
            m_running.clear();
            m_ends.clear();
            m_highestEnded.clear();
            m_isUp = true;
        }
        m_server.start();
        m_record.write("minion " + m_id + " starts at " + m_server.endpoint());
        beat();
        if (!m_ticker.joinable())
            m_ticker = std::thread([this] { tick(); });
    }

    //! All that runs ends, and nothing is sent any more; the entry lapses after three intervals.
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isUp = false;
            for (const auto& [task, run] : m_running)
                m_runs.addEnd(task, run.number, m_id, "lost with its minion");
            m_running.clear();
            m_crashedIds.push_back({ m_id, nowMs() });
        }
        m_record.write("minion " + m_id + " crashes");
        m_server.stop();
    }

    bool isUp()
    {
        const std::lock_guard lock(m_mutex);
        return m_isUp;
    }

    std::string id()
    {
        const std::lock_guard lock(m_mutex);
        return m_id;
    }

private:
    struct running_task {
        std::uint64_t number = 0;
        std::int64_t startedAt = 0;
        std::int64_t workMs = 0;
        bool lasts = false;
        std::int64_t cpu = 0;
        std::int64_t memory = 0;
        std::int64_t stopsAt = 0;
    };

    std::int64_t clock() const { return nowMs() - m_startedAt + 1000; }

    json endsFrom(std::uint64_t seen)
    {
        std::erase_if(m_ends, [&](const json& end) { return end[0].get<std::uint64_t>() <= seen; });
        json result = json::array();
        for (const auto& end : m_ends) {
            if (result.size() < 500)
                result.push_back(end);
        }
        return result;
    }

    void endRun(const std::string& task, const running_task& run, const std::string& how)
    {
        m_ends.push_back(json::array({ ++m_lastEnd, task, run.number, how, "" }));
        auto& highest = m_highestEnded[task];
        highest = std::max(highest, run.number);
        m_runs.addEnd(task, run.number, m_id, how);
        m_hasEnded.notify_all();
    }

    void tick()
    {
        std::int64_t lastBeat = nowMs();
        while (true) {
            sleepMs(10);
            bool beats = false;
            {
                const std::lock_guard lock(m_mutex);
                for (auto known = m_crashedIds.begin(); known != m_crashedIds.end();) {
                    if (nowMs() < known->second + 3 * m_settings.heartbeatMs) {
                        ++known;
                        continue;
                    }
                    m_store.remove("servers/" + known->first);
                    known = m_crashedIds.erase(known);
                }
                if (!m_isUp)
                    continue;
                std::vector<std::pair<std::string, std::string>> ended;
                for (const auto& [task, run] : m_running) {
                    if (m_leaseEnd < clock())
                        ended.emplace_back(task, "lapsed");
                    else if (run.stopsAt != 0 && nowMs() >= run.stopsAt)
                        ended.emplace_back(task, "stopped");
                    else if (!run.lasts && nowMs() >= run.startedAt + run.workMs)
                        ended.emplace_back(task, "done");
                }
                for (const auto& [task, how] : ended) {
                    const auto run = m_running.at(task);
                    m_running.erase(task);
                    endRun(task, run, how);
                }
                beats = nowMs() >= lastBeat + m_settings.heartbeatMs;
            }
            if (beats) {
                lastBeat = nowMs();
                beat();
            }
        }
    }

    void beat()
    {
        std::string key;
        std::string value;
        {
            const std::lock_guard lock(m_mutex);
            key = "servers/" + m_id;
            value = json { { "Service", m_settings.service }, { "Address", m_server.endpoint() }, { "Zone", m_settings.zone }, { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 }, { "Machine", m_machine },
                { "Capacity", { { "Cpu", m_settings.cpu }, { "MemMb", m_settings.memory }, { "Gpu", 0 } } }, { "Labels", { "a", m_settings.rack } }, { "ClockMs", clock() }, { "Seq", ++m_sequence }, { "born", m_born } }
                        .dump();
        }
        m_store.put(key, value);
    }

    bool handle(const request& call, response& answer)
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp)
            return false;
        const auto expected = call.headers.find("x-camphorsaddle-expect-instance");
        if (expected != call.headers.end() && expected->second != m_id) {
            answer = { 421, "{}" };
            return true;
        }
        if (call.path == "/health") {
            answer = { 200, "" };
            return true;
        }
        const auto body = json::parse(call.body, nullptr, false);
        if (body.is_discarded()) {
            answer = { 400, "{}" };
            return true;
        }
        const auto fence = body.value("FencingToken", std::uint64_t(0));
        if (fence < m_fence) {
            answer = refuse("fence");
            return true;
        }
        m_fence = fence;
        if (call.path == "/run-start")
            answer = startRun(body);
        else if (call.path == "/run-stop")
            answer = stopRun(body);
        else if (call.path == "/pace")
            answer = { 200, json { { "ClockMs", clock() } }.dump() };
        else if (call.path == "/hold")
            return hold(body, answer, lock);
        else
            answer = { 404, "{}" };
        return true;
    }

    response refuse(const std::string& reason) const { return { 409, json { { "ClockMs", clock() }, { "Reason", reason } }.dump() }; }

    void extendLease(const json& body)
    {
        if (body.contains("UntilMs"))
            m_leaseEnd = std::max(m_leaseEnd, std::min(body.at("UntilMs").get<std::int64_t>(), clock() + m_settings.maxHoldMs));
    }

    response startRun(const json& body)
    {
        const auto task = body.at("Task").get<std::string>();
        const auto number = body.at("RunId").get<std::uint64_t>();
        if (body.value("UntilMs", std::int64_t(0)) < clock())
            return refuse("late");
        if (const auto found = m_running.find(task); found != m_running.end()) {
            if (found->second.number == number)
                return { 200, json { { "ClockMs", clock() } }.dump() };
            extendLease(body);
            return refuse("old");
        }
        const auto ended = m_highestEnded.find(task);
        if (ended != m_highestEnded.end() && number <= ended->second) {
            extendLease(body);
            return refuse("old");
        }
        const auto* step = m_runs.stepOf(task);
        if (step == nullptr) {
            m_record.write("UNASKED start of " + task + " on " + m_id);
            return { 400, "{}" };
        }
        std::int64_t cpu = step->cpu;
        std::int64_t memory = step->memory;
        for (const auto& [other, run] : m_running) {
            cpu += run.cpu;
            memory += run.memory;
        }
        extendLease(body);
        if (cpu > m_settings.cpu || memory > m_settings.memory)
            return refuse("room");
        m_running[task] = { number, nowMs(), step->workMs, step->lasts, step->cpu, step->memory, 0 };
        m_runs.addStart(task, number, m_id, m_fence);
        return { 200, json { { "ClockMs", clock() } }.dump() };
    }

    response stopRun(const json& body)
    {
        const auto task = body.at("Task").get<std::string>();
        const auto number = body.at("RunId").get<std::uint64_t>();
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.number <= number && found->second.stopsAt == 0)
            found->second.stopsAt = nowMs() + m_settings.stopMs / 2;
        auto& highest = m_highestEnded[task];
        highest = std::max(highest, number);
        return { 200, json { { "ClockMs", clock() } }.dump() };
    }

    bool hold(const json& body, response& answer, std::unique_lock<std::mutex>& lock)
    {
        extendLease(body);
        const auto seen = body.value("LastSeen", std::uint64_t(0));
        const auto life = m_lives;
        const auto until = steady::now() + std::chrono::milliseconds(body.value("WaitMs", 0));
        auto ends = endsFrom(seen);
        while (ends.empty() && steady::now() < until && m_isUp && life == m_lives) {
            m_hasEnded.wait_until(lock, until);
            ends = endsFrom(seen);
        }
        if (!m_isUp || life != m_lives)
            return false;
        json running = json::array();
        for (const auto& [task, run] : m_running) {
            const auto elapsed = nowMs() - run.startedAt;
            const std::int64_t percent = run.lasts ? (elapsed > 200 ? 100 : 0) : std::min<std::int64_t>(99, elapsed * 100 / std::max<std::int64_t>(run.workMs, 1));
            running.push_back(json::array({ task, run.number, "", percent, run.lasts ? 2 : run.cpu }));
        }
        answer = { 200, json { { "ClockMs", clock() }, { "born", m_born }, { "Running", running }, { "Finished", ends } }.dump() };
        return true;
    }

    std::string m_machine;
    minion_settings m_settings;
    kv_store& m_store;
    ledger& m_runs;
    record_file& m_record;
    std::mutex m_mutex;
    std::condition_variable m_hasEnded;
    http_server m_server;
    std::thread m_ticker;
    bool m_isUp = false;
    std::string m_id;
    unsigned m_lives = 0;
    std::int64_t m_startedAt = 0;
    std::int64_t m_born = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::string, running_task> m_running;
    std::deque<json> m_ends;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<std::pair<std::string, std::int64_t>> m_crashedIds;
};

} // namespace standins
