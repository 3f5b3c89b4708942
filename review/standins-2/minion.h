#pragma once

#include "record.h"
#include "store.h"

//! \brief Stand-in of a minion, as PROTOCOL.md has it: it takes orders, holds a lease, lists runs and ends, and writes its entry to
//! the store with each heartbeat.
namespace review {

struct minion_kind {
    std::vector<std::string> labels;
    int processors = 16000;
    int memory = 32768;
};

//! What a task does: it lasts, or ends after some work.
struct task_work {
    bool isLasting = false;
    ms duration { 500 };
};

constexpr ms heartbeatInterval { 1500 };
constexpr ms stopTime { 200 };
constexpr ms lastingStartTime { 300 };
//! Tail of a lasting task's response times, in ms, and the processors that any other task uses, thousandths of a core.
constexpr int lastingTail = 4;
constexpr int usedProcessors = 1000;

class minion {
public:
    using work_function = std::function<task_work(const std::string& task)>;
    using resource_function = std::function<std::pair<int, int>(const std::string& task)>;

    minion(store& entries, record& log, std::string id, std::string ip, std::string service, std::string zone, ms longestHold, work_function work, resource_function resources)
        : m_store(entries)
        , m_record(log)
        , m_id(std::move(id))
        , m_ip(std::move(ip))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_longestHold(longestHold)
        , m_work(std::move(work))
        , m_resources(std::move(resources))
        , m_server([this](const request& call) { return handle(call); })
    {
        m_worker = std::thread([this] {
            while (!m_isEnding) {
                std::this_thread::sleep_for(ms(5));
                advance();
            }
        });
    }

    ~minion()
    {
        m_isEnding = true;
        m_worker.join();
        crash();
    }

    //! Starts a process of the minion. It registers itself at once unless it is cut off from the store.
    void start(const minion_kind& kind)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_kind = kind;
            m_startedAt = clock::now();
            m_born = std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
            m_isUp = true;
            m_nextBeat = clock::now();
            m_highestFence = 0;
            m_leaseEnd = 0;
            m_lastEnd = 0;
            m_record.add("minion " + m_id + " starts, born " + std::to_string(m_born) + ", labels " + json(kind.labels).dump());
        }
        m_port = m_server.start(m_ip, m_port);
    }

    //! The process ends without a word; whatever runs there ends with it.
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isUp)
                return;
            m_isUp = false;
            for (const auto& run : m_runs)
                m_record.add("run " + run.task + "/" + std::to_string(run.number) + " is lost with minion " + m_id);
            m_runs.clear();
            m_ends.clear();
            m_closed.clear();
            m_record.add("minion " + m_id + " crashes");
        }
        m_changed.notify_all();
        m_server.stop();
    }

    //! Its heartbeats don't reach the store while it is cut off.
    void setCutFromStore(bool isCut)
    {
        const std::lock_guard lock(m_mutex);
        m_record.add("minion " + m_id + (isCut ? " is cut off from the store" : " reaches the store again"));
        m_isCutFromStore = isCut;
    }

    bool isUp()
    {
        const std::lock_guard lock(m_mutex);
        return m_isUp;
    }

    const std::string& id() const
    {
        return m_id;
    }

    minion_kind kind()
    {
        const std::lock_guard lock(m_mutex);
        return m_kind;
    }

    //! No call reaches it and it reaches nobody while it is cut off.
    void setCutOff(bool isCut)
    {
        const std::lock_guard lock(m_mutex);
        m_record.add("minion " + m_id + (isCut ? " is cut off from all machines and the store" : " is reached again"));
        m_isCutOff = isCut;
        m_isCutFromStore = isCut;
    }

    //! Runs of a job here, be they in the course of being stopped or not, as TASK/NUMBER.
    std::vector<std::string> runsOf(const std::string& job)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto& run : m_runs) {
            if (run.task.starts_with(job))
                result.push_back(run.task + "/" + std::to_string(run.number));
        }
        return result;
    }

    //! Called with each start that this minion carries out: its present kind, the task and the number of the run.
    std::function<void(const minion_kind&, const std::string&, std::uint64_t)> onStart;
    //! Called with each end of a run, and with each end that LastSeen has reached, unless the lease lapsed between the two: the task, the
    //! number of the run and how it ended.
    std::function<void(const std::string&, std::uint64_t, const std::string&)> onEnd;
    std::function<void(const std::string&, std::uint64_t, const std::string&)> onNoted;
    //! One-way delay of the network to the daemons.
    ms networkDelay { 0 };

    //! Number of observations that wait for an end here.
    int openHolds() const
    {
        return m_openHolds;
    }

    //! May answer an order in the minion's place.
    std::function<std::optional<response>(minion&, const request&)> disturb;

    response handle(const request& call)
    {
        std::this_thread::sleep_for(networkDelay);
        auto answer = disturb ? disturb(*this, call) : std::nullopt;
        if (!answer)
            answer = execute(call);
        std::this_thread::sleep_for(networkDelay);
        return *answer;
    }

    response execute(const request& call)
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp)
            return { -1, {} };
        if (m_isCutOff)
            return { 0, {} };
        if (call.method == "GET")
            return { 200, "{}" };
        const auto expected = call.headers.find("x-camphorsaddle-expect-instance");
        if (expected != call.headers.end() && expected->second != m_id)
            return { 421, "{}" };
        const auto body = json::parse(call.body);
        const auto fence = body.value("FencingToken", std::uint64_t(0));
        if (fence < m_highestFence)
            return refuse("fence");
        m_highestFence = fence;
        if (call.path == "/run-start")
            return startRun(body);
        if (call.path == "/run-stop")
            return stopRun(body);
        if (call.path == "/hold")
            return hold(body, lock);
        if (call.path == "/pace")
            return pace(body);
        return { 400, "{}" };
    }

private:
    struct run {
        std::string task;
        std::uint64_t number = 0;
        clock::time_point startedAt;
        task_work work;
        std::optional<clock::time_point> stopsAt;
        //! Share of its speed that it works at, percent, and the work done so far, in ms.
        int pace = 100;
        double done = 0;
    };
    struct run_end {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        //! The lease has lapsed since.
        bool hasLapsed = false;
    };

    std::int64_t now() const
    {
        return std::chrono::duration_cast<ms>(clock::now() - m_startedAt).count() + 1;
    }

    response refuse(const std::string& reason) const
    {
        return { 409, json { { "ClockMs", now() }, { "Reason", reason } }.dump() };
    }

    void extendLease(std::int64_t until)
    {
        m_leaseEnd = std::max(m_leaseEnd, std::min(until, now() + m_longestHold.count()));
    }

    response startRun(const json& body)
    {
        const std::string task = body.at("Task");
        const auto number = body.at("RunId").get<std::uint64_t>();
        const auto until = body.at("UntilMs").get<std::int64_t>();
        for (const auto& known : m_runs) {
            if (known.task == task && known.number == number)
                return { 200, json { { "ClockMs", now() } }.dump() };
        }
        if (until <= now())
            return refuse("late");
        extendLease(until);
        if (const auto closed = m_closed.find(task); closed != m_closed.end() && number <= closed->second)
            return refuse("old");
        auto [processors, memory] = m_resources(task);
        for (const auto& known : m_runs) {
            const auto used = m_resources(known.task);
            processors += used.first;
            memory += used.second;
        }
        if (processors > m_kind.processors || memory > m_kind.memory)
            return refuse("room");
        m_runs.push_back({ task, number, clock::now(), m_work(task), {}, 100, 0 });
        m_record.add("run " + task + "/" + std::to_string(number) + " starts on minion " + m_id + ", labels " + json(m_kind.labels).dump() + ", fence " + std::to_string(m_highestFence));
        if (onStart)
            onStart(m_kind, task, number);
        return { 200, json { { "ClockMs", now() } }.dump() };
    }

    response stopRun(const json& body)
    {
        const std::string task = body.at("Task");
        const auto number = body.at("RunId").get<std::uint64_t>();
        auto& closed = m_closed[task];
        closed = std::max(closed, number);
        for (auto& known : m_runs) {
            if (known.task == task && known.number == number && !known.stopsAt)
                known.stopsAt = clock::now() + stopTime;
        }
        return { 200, json { { "ClockMs", now() } }.dump() };
    }

    response pace(const json& body)
    {
        for (auto& known : m_runs) {
            if (known.task == body.at("Task").get<std::string>() && known.number == body.at("RunId").get<std::uint64_t>())
                known.pace = body.at("Percent").get<int>();
        }
        m_record.add("run " + body.at("Task").get<std::string>() + " gets pace " + std::to_string(body.at("Percent").get<int>()) + " on minion " + m_id);
        return { 200, json { { "ClockMs", now() } }.dump() };
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        const auto seen = body.value("LastSeen", std::uint64_t(0));
        noteLapse();
        if (seen > m_lastEnd)
            m_record.add("minion " + m_id + " gets an observation with LastSeen " + std::to_string(seen) + ", its last end has the number " + std::to_string(m_lastEnd));
        for (const auto& end : m_ends) {
            if (end.number <= seen && !end.hasLapsed && onNoted)
                onNoted(end.task, end.run, end.how);
        }
        std::erase_if(m_ends, [&](const run_end& end) { return end.number <= seen; });
        if (body.contains("UntilMs"))
            extendLease(body.at("UntilMs").get<std::int64_t>());
        const auto born = m_born;
        const auto until = clock::now() + std::min(ms(body.value("WaitMs", std::int64_t(0))), ms(2000));
        ++m_openHolds;
        while (m_isUp && m_born == born && m_ends.empty() && clock::now() < until)
            m_changed.wait_until(lock, until);
        --m_openHolds;
        if (!m_isUp || m_born != born)
            return { -1, {} };
        if (m_isCutOff)
            return { 0, {} };
        json running = json::array();
        for (const auto& known : m_runs) {
            const auto needed = (known.work.isLasting ? lastingStartTime : known.work.duration).count();
            running.push_back({ known.task, known.number, "", std::min<std::int64_t>(100, static_cast<std::int64_t>(known.done * 100) / needed), known.work.isLasting ? lastingTail : usedProcessors });
        }
        json finished = json::array();
        for (const auto& end : m_ends)
            finished.push_back({ end.number, end.task, end.run, end.how, "" });
        return { 200, json { { "ClockMs", now() }, { "born", m_born }, { "Running", running }, { "Finished", finished } }.dump() };
    }

    void noteLapse()
    {
        if (now() <= m_leaseEnd)
            return;
        for (auto& end : m_ends)
            end.hasLapsed = true;
    }

    void endRun(const run& ended, const std::string& how)
    {
        m_ends.push_back({ ++m_lastEnd, ended.task, ended.number, how, false });
        auto& closed = m_closed[ended.task];
        closed = std::max(closed, ended.number);
        if (onEnd)
            onEnd(ended.task, ended.number, how);
        m_record.add("run " + ended.task + "/" + std::to_string(ended.number) + " ends " + how + " on minion " + m_id);
    }

    void advance()
    {
        std::string entry;
        {
            const std::lock_guard lock(m_mutex);
            const auto present = clock::now();
            const bool isSilent = !m_isUp || m_isCutFromStore;
            if (!isSilent && present >= m_nextBeat) {
                m_nextBeat = present + heartbeatInterval;
                m_lastBeat = present;
                m_isListed = true;
                entry = json { { "Service", m_service }, { "Address", m_ip + ":" + std::to_string(m_port) }, { "Zone", m_zone }, { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 },
                    { "Capacity", { { "Cpu", m_kind.processors }, { "MemMb", m_kind.memory }, { "Gpu", 0 } } }, { "Labels", m_kind.labels }, { "ClockMs", now() }, { "Seq", ++m_sequence }, { "born", m_born } }
                            .dump();
            }
            if (m_isListed && isSilent && present > m_lastBeat + 3 * heartbeatInterval) {
                m_isListed = false;
                m_store.remove("servers/" + m_id);
                m_record.add("the entry of minion " + m_id + " expires");
            }
            noteLapse();
            const bool hasLapsed = m_isUp && !m_runs.empty() && now() > m_leaseEnd;
            for (auto known = m_runs.begin(); m_isUp && known != m_runs.end();) {
                known->done += std::chrono::duration<double, std::milli>(present - m_advancedAt).count() * known->pace / 100;
                const bool isDone = !known->work.isLasting && known->done >= static_cast<double>(known->work.duration.count());
                const bool isStopped = known->stopsAt && present >= *known->stopsAt;
                if (!hasLapsed && !isDone && !isStopped) {
                    ++known;
                    continue;
                }
                endRun(*known, hasLapsed ? "lapsed" : isDone ? "done"
                                                             : "stopped");
                known = m_runs.erase(known);
                m_changed.notify_all();
            }
            m_advancedAt = present;
        }
        if (!entry.empty())
            m_store.put("servers/" + m_id, entry);
    }

    store& m_store;
    record& m_record;
    std::string m_id;
    std::string m_ip;
    std::string m_service;
    std::string m_zone;
    ms m_longestHold;
    work_function m_work;
    resource_function m_resources;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    minion_kind m_kind;
    int m_port = 0;
    bool m_isUp = false;
    bool m_isCutFromStore = false;
    bool m_isCutOff = false;
    bool m_isListed = false;
    clock::time_point m_startedAt;
    clock::time_point m_nextBeat;
    clock::time_point m_lastBeat;
    clock::time_point m_advancedAt = clock::now();
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_highestFence = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_lastEnd = 0;
    std::atomic<int> m_openHolds = 0;
    std::vector<run> m_runs;
    std::vector<run_end> m_ends;
    std::map<std::string, std::uint64_t> m_closed;
    std::atomic<bool> m_isEnding = false;
    http_server m_server;
    std::thread m_worker;
};

} // namespace review
