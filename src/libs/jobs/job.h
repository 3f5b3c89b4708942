#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "model/resources.h"
#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Tasks of a job that are alike.
struct step_spec {
    unsigned count = 0;
    //! What each task needs.
    model::resources taskResources;
    //! The caller's rough estimate of a task's duration.
    utils::milliseconds estimate { 0 };
    //! Earlier steps whose tasks must all be done first.
    std::vector<unsigned> after;
    bool checkpoints = false;
    //! Label that the worker must have; empty for none.
    std::string label;
    //! Rack that holds the data; empty for none.
    std::string rack;
    //! Most tasks of the step on one worker; 0 for no limit.
    unsigned maximumTasksPerWorker = 0;
    //! Several copies of a task may run at once; the first that is done counts.
    bool speculative = false;
    //! The tasks run until the job is cancelled.
    bool lasts = false;
    //! What the tasks run; tasks of an image behave alike.
    std::string image;
    //! Bound for the tail of the tasks' response times, 0 for none.
    utils::milliseconds target { 0 };
    //! The tasks use only processors that others leave idle.
    bool fills = false;
    //! Most tasks that the scheduler may have out of work at once; 0 for no bound.
    unsigned maximumUnavailableTasks = 0;

    auto operator<=>(const step_spec&) const = default;
};

struct job_spec {
    std::string id;
    std::string queue;
    //! Service whose workers run the tasks.
    std::string service;
    std::string payload;
    std::vector<step_spec> steps;
    //! Unix time of the acceptance.
    utils::milliseconds acceptedAt { 0 };

    auto operator<=>(const job_spec&) const = default;
};

//! \brief Checks that steps have tasks and follow only earlier steps.
absl::Status validate(const job_spec& job);

//! \brief Rules of a queue from the operators' configuration.
struct queue_rules {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    //! 0 comes first.
    int priority = 0;
    //! Failed runs of a task after which its job has failed.
    unsigned maxAttempts = 1;
    //! The objective of a job is this factor times its longest chain of work, and targetLatency more.
    double slackFactor = 1;
    utils::milliseconds targetLatency { 0 };
    utils::milliseconds timeout { 0 };
    //! The workers for a step come from an outside service.
    bool needsExternalPlacement = false;

    auto operator<=>(const queue_rules&) const = default;
};

//! \brief One version of the operators' configuration.
struct deployment_rules {
    std::uint64_t version = 0;
    std::vector<queue_rules> queues;
    //! Largest request body, bytes.
    std::size_t bodyLimit = 1 << 18;

    auto operator<=>(const deployment_rules&) const = default;
};

enum class job_phase {
    //! No task has started.
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

inline constexpr std::size_t jobPhaseCount = 5;

constexpr absl::string_view toString(job_phase phase)
{
    constexpr absl::string_view names[jobPhaseCount] { "queued", "running", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(phase)];
}

constexpr bool isFinal(job_phase phase)
{
    return phase == job_phase::Completed || phase == job_phase::Failed || phase == job_phase::Cancelled;
}

//! \brief What a worker says of itself.
struct worker_description {
    std::string id;
    std::string endpoint;
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    model::resources capacity;
    bool isDraining = false;
    //! Least time until a draining worker leaves.
    utils::milliseconds remainingTime { 0 };
    //! Tells the lives of a worker apart; 0 when unknown.
    std::int64_t life = 0;

    auto operator<=>(const worker_description&) const = default;
};

} // namespace camphorsaddle::jobs
