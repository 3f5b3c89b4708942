#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "jobs/interference.h"
#include "jobs/job.h"

namespace camphorsaddle::protocol {
class JobRecord;
}

namespace camphorsaddle::jobs {

//! \brief What is kept of one task; tasks that have neither ended nor failed are left out.
struct task_progress {
    unsigned step = 0;
    unsigned index = 0;
    bool isDone = false;
    //! Numbers of the runs that failed; a worker may report their ends once more to the next leader.
    std::vector<std::uint64_t> failedRuns;
    std::uint64_t lastRun = 0;
    std::string checkpoint;

    auto operator<=>(const task_progress&) const = default;
};

//! \brief What is kept of a job's course. Queued and Running are both kept as Running.
struct job_progress {
    job_phase phase = job_phase::Running;
    std::vector<task_progress> tasks;

    auto operator<=>(const job_progress&) const = default;
};

//! \brief Value of the key by which a daemon leads.
struct leader_record {
    std::string daemon;
    std::uint64_t incarnation = 0;
    //! Where the leader takes the calls of other daemons.
    std::string endpoint;
    std::uint64_t term = 0;

    auto operator<=>(const leader_record&) const = default;
};

//! \brief What a leader learned of the work, which the next one starts from.
struct learned_record {
    std::vector<learned_pressure> pressures;
    //! Duration of a queue's runs against their estimate.
    std::map<std::string, double> ratios;

    auto operator<=>(const learned_record&) const = default;
};

//! \brief Workers that may hold runs of a leader.
struct worker_roster {
    std::vector<std::string> workers;
    //! Term of a leader that gave its lead up in order and orders nothing any more; 0 for none.
    std::uint64_t endedTerm = 0;
    //! Workers that were silent then, and how long they may still hold runs.
    std::map<std::string, utils::milliseconds> silent;

    auto operator<=>(const worker_roster&) const = default;
};

void writeJob(const job_spec& job, protocol::JobRecord& record);
job_spec readJob(const protocol::JobRecord& record);

std::string encodeJob(const job_spec& job);
std::string encodeProgress(const job_progress& progress);
std::string encodeLeader(const leader_record& leader);
std::string encodeLearned(const learned_record& learned);
std::string encodeRoster(const worker_roster& roster);

//! \brief Decoders of stored values; DataLoss for bytes that this codec did not write.
absl::StatusOr<job_spec> parseJob(const std::string& value);
absl::StatusOr<job_progress> parseProgress(const std::string& value);
absl::StatusOr<leader_record> parseLeader(const std::string& value);
absl::StatusOr<learned_record> parseLearned(const std::string& value);
absl::StatusOr<worker_roster> parseRoster(const std::string& value);

} // namespace camphorsaddle::jobs
