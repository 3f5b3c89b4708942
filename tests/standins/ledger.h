#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "model/resources.h"
#include "utils/clock.h"

namespace camphorsaddle::standins {

//! One run of a request on a minion.
struct request_run {
    std::string id;
    std::string attempt;
    std::string minion;
    std::string path;
};

//! One attempt of a task on a worker.
struct task_run {
    std::string worker;
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t epoch = 0;
    std::string checkpoint;
};

//! How a task run ended.
enum class run_outcome {
    Finished,
    Failed,
    Stopped,
    LeaseExpired,
    Crashed,
};

//! \brief Records every request and task run on the fleet, and the invariants that were violated.
class ledger {
public:
    explicit ledger(utils::time_point startTime)
        : m_startTime(startTime)
    {
    }

    //! \brief Returns the index of the run, for \a finishRequest.
    std::size_t startRequest(request_run run, utils::time_point now)
    {
        m_requestRuns.push_back({ std::move(run), millisecondsSinceStart(now) });
        return m_requestRuns.size() - 1;
    }

    void finishRequest(std::size_t runIndex, utils::time_point now)
    {
        m_requestRuns[runIndex].finished = millisecondsSinceStart(now);
    }

    //! \brief Records a violation if another attempt of the task is running on any worker, or if the task has already finished.
    void startTask(const task_run& run, utils::time_point now)
    {
        auto& state = m_taskStates[run.task];
        if (!state.running.empty())
            addViolation("task runs twice at once", run.task, now);
        if (state.finished > 0)
            addViolation("finished task started again", run.task, now);
        state.hadOverlappingRuns = state.hadOverlappingRuns || !state.running.empty();
        state.running.emplace(run.worker, run.attempt);
        m_taskEvents.push_back({ { "time", millisecondsSinceStart(now) }, { "event", "started" }, { "worker", run.worker }, { "task", run.task },
            { "attempt", run.attempt }, { "epoch", run.epoch }, { "from_checkpoint", run.checkpoint } });
    }

    void endTask(const std::string& worker, const std::string& task, std::uint32_t attempt, run_outcome outcome, utils::time_point now)
    {
        //! In the order of run_outcome.
        static constexpr const char* names[] = { "finished", "failed", "stopped", "lease_expired", "crashed" };
        auto& state = m_taskStates[task];
        state.running.erase({ worker, attempt });
        if (outcome == run_outcome::Finished && ++state.finished > 1)
            addViolation("task finished twice", task, now);
        m_taskEvents.push_back({ { "time", millisecondsSinceStart(now) }, { "event", names[static_cast<int>(outcome)] }, { "worker", worker }, { "task", task }, { "attempt", attempt } });
    }

    //! \brief Records a violation when \a committed exceeds \a capacity.
    void checkCapacity(const std::string& worker, const model::resources& committed, const model::resources& capacity, utils::time_point now)
    {
        if (!committed.fitsIn(capacity))
            addViolation("over capacity", worker, now);
    }

    void addViolation(const std::string& kind, const std::string& subject, utils::time_point now)
    {
        m_violations.push_back({ { "time", millisecondsSinceStart(now) }, { "kind", kind }, { "subject", subject } });
    }

    //! \brief Counts of requests and tasks, and all violations.
    nlohmann::json summary() const
    {
        std::map<std::string, int> finishedRunsById;
        std::map<std::pair<std::string, std::string>, int> finishedRunsByAttempt;
        int finishedRequestRuns = 0;
        for (const auto& entry : m_requestRuns) {
            const int finishedCount = entry.finished >= 0 ? 1 : 0;
            finishedRunsById[entry.run.id] += finishedCount;
            finishedRunsByAttempt[{ entry.run.id, entry.run.attempt }] += finishedCount;
            finishedRequestRuns += finishedCount;
        }
        const auto isDuplicated = [](const auto& entry) {
            return entry.second > 1;
        };
        const auto isFinished = [](const auto& entry) {
            return entry.second.finished > 0;
        };
        const auto finished = std::count_if(m_taskStates.begin(), m_taskStates.end(), isFinished);
        const auto duplicatedTasks = std::count_if(m_taskStates.begin(), m_taskStates.end(), [](const auto& entry) { return entry.second.hadOverlappingRuns || entry.second.finished > 1; });
        return { { "requests", { { "ids", finishedRunsById.size() }, { "runs", m_requestRuns.size() }, { "finished", finishedRequestRuns }, { "doubled", std::count_if(finishedRunsById.begin(), finishedRunsById.end(), isDuplicated) }, { "doubled_attempts", std::count_if(finishedRunsByAttempt.begin(), finishedRunsByAttempt.end(), isDuplicated) } } },
            { "tasks", { { "started", m_taskStates.size() }, { "finished", finished }, { "doubled", duplicatedTasks }, { "unfinished", static_cast<std::ptrdiff_t>(m_taskStates.size()) - finished } } },
            { "violations", m_violations } };
    }

    //! \brief The summary with every single run and task event.
    nlohmann::json details() const
    {
        auto result = summary();
        auto& runs = result["request_runs"] = nlohmann::json::array();
        for (const auto& [run, started, finished] : m_requestRuns)
            runs.push_back({ { "id", run.id }, { "attempt", run.attempt }, { "minion", run.minion }, { "path", run.path }, { "started", started }, { "finished", finished } });
        result["task_events"] = m_taskEvents;
        return result;
    }

private:
    struct request_run_record {
        request_run run;
        //! In ms since the start of the ledger; finished is -1 while the run is in progress.
        std::int64_t started = 0;
        std::int64_t finished = -1;
    };
    struct task_state {
        std::set<std::pair<std::string, std::uint32_t>> running;
        int finished = 0;
        bool hadOverlappingRuns = false;
    };

    std::int64_t millisecondsSinceStart(utils::time_point now) const
    {
        return std::chrono::duration_cast<utils::milliseconds>(now - m_startTime).count();
    }

    utils::time_point m_startTime;
    std::vector<request_run_record> m_requestRuns;
    std::map<std::string, task_state> m_taskStates;
    nlohmann::json m_taskEvents = nlohmann::json::array();
    nlohmann::json m_violations = nlohmann::json::array();
};

} // namespace camphorsaddle::standins
