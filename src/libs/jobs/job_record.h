#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "jobs/interference_model.h"
#include "jobs/job.h"

namespace camphorsaddle::protocol {
class JobRecord;
}

namespace camphorsaddle::jobs {

//! \brief A run whose worker became unresponsive and may have crashed because of it.
struct possible_crash {
    std::uint64_t run = 0;
    std::string worker;
    std::string workerEndpoint;
    std::int64_t workerIncarnation = 0;
    //! The worker has confirmed the start of the run.
    bool isConfirmed = false;
    //! No other run can have caused a crash of the worker.
    bool isIsolated = false;
    //! The run had started some time before, so that any run of the worker may have caused the crash.
    bool isLate = false;

    auto operator<=>(const possible_crash&) const = default;
};

//! \brief Stored progress of one task. Tasks that have neither completed, failed nor crashed a worker are left out.
struct task_progress {
    unsigned step = 0;
    unsigned index = 0;
    bool isDone = false;
    //! Numbers of the failed runs. A worker may report their ends again to the next leader, which must not count them
    //! twice.
    std::vector<std::uint64_t> failedRuns;
    std::uint64_t lastRun = 0;
    std::string checkpoint;
    //! Workers that crashed while a run of the task was suspected of it.
    unsigned crashCount = 0;
    //! Workers that crashed while they had a start of the task which they may have executed.
    unsigned unconfirmedCrashCount = 0;
    //! Workers that crashed some time after the start of a run of the task, in a row.
    unsigned lateCrashCount = 0;
    std::vector<possible_crash> possibleCrashes;

    auto operator<=>(const task_progress&) const = default;
};

//! \brief Stored progress of a job. Queued and Running are both stored as Running.
struct job_progress {
    job_phase phase = job_phase::Running;
    std::vector<task_progress> tasks;

    auto operator<=>(const job_progress&) const = default;
};

//! \brief Number of fencing tokens that a term has for each worker, and so the difference between the numbers of two successive terms.
//!
//! The first token of a term is its number. A daemon of an older version that leads next takes the next number.
inline constexpr std::uint64_t fencesPerTerm = 10'000;

//! \brief Value of the key that the leading daemon holds in the store.
struct leader_record {
    std::string daemon;
    std::uint64_t incarnation = 0;
    //! Endpoint at which the leader accepts calls from other daemons.
    std::string endpoint;
    std::uint64_t term = 0;

    auto operator<=>(const leader_record&) const = default;
};

//! \brief Values that a leader learned from the runs and passes on to the next leader.
struct learned_record {
    std::vector<learned_pressure> pressures;
    //! Mean duration of each queue's runs divided by the callers' estimate.
    std::map<std::string, double> ratios;

    auto operator<=>(const learned_record&) const = default;
};

//! \brief A worker that may execute runs of a leader, with what the next leader needs to query it.
struct roster_worker {
    std::string id;
    //! Empty if unknown.
    std::string endpoint;
    std::string dataCentre;
    //! Incarnation of its process; 0 if unknown.
    std::int64_t incarnation = 0;
    //! An earlier process of it is known.
    bool hasRestarted = false;
    //! Term of the leader that has had no answer of it, and grants it no lease before the roster says otherwise; 0 for none.
    std::uint64_t silentTerm = 0;
    //! How long it may still execute runs of the leaders before that term.
    utils::milliseconds waitLeft { 0 };

    auto operator<=>(const roster_worker&) const = default;
};

//! \brief Workers that may execute runs of a leader.
struct worker_roster {
    //! In ascending order of the id.
    std::vector<roster_worker> workers;
    //! Term of the leader that handed over as planned and sends no further orders; 0 for none.
    std::uint64_t endedTerm = 0;
    //! Workers that were unresponsive at the handover, or hold a lease that is longer than usual, and how long they may still
    //! execute runs.
    std::map<std::string, utils::milliseconds> silent;

    auto operator<=>(const worker_roster&) const = default;
};

//! \brief Conversion between a job and its protobuf message.
void writeJob(const job_spec& job, protocol::JobRecord& record);
job_spec readJob(const protocol::JobRecord& record);
//! \brief Conversion with a check of all numbers; returns an error for a job that no daemon can have accepted.
absl::StatusOr<job_spec> readCheckedJob(const protocol::JobRecord& record);

//! \brief Encoders of the values in the store.
std::string encodeJob(const job_spec& job);
std::string encodeProgress(const job_progress& progress);
std::string encodeLeader(const leader_record& leader);
std::string encodeLeaderHistory(const std::vector<leader_record>& leaders);
std::string encodeLearned(const learned_record& learned);
std::string encodeRoster(const worker_roster& roster);

//! \brief Decoders of the values in the store; they return DataLoss if the bytes can't be parsed, and an error if a value
//! is out of bounds.
absl::StatusOr<job_spec> parseJob(const std::string& value);
absl::StatusOr<job_progress> parseProgress(const std::string& value);
absl::StatusOr<leader_record> parseLeader(const std::string& value);
absl::StatusOr<std::vector<leader_record>> parseLeaderHistory(const std::string& value);
absl::StatusOr<learned_record> parseLearned(const std::string& value);
absl::StatusOr<worker_roster> parseRoster(const std::string& value);

} // namespace camphorsaddle::jobs
