#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "model/resources.h"
#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief A group of identical tasks of a job.
struct step_spec {
    unsigned count = 0;
    //! Resource requirements of a single task.
    model::resources taskResources;
    //! The caller's rough estimate of a task's duration.
    utils::milliseconds estimate { 0 };
    //! Numbers of the earlier steps that must be complete before a task of this step starts.
    std::vector<unsigned> after;
    //! The tasks write checkpoints, from which a later run resumes.
    bool hasCheckpoints = false;
    //! Label that the worker must have; empty for none.
    std::string label;
    //! Preferred rack, which holds the data; empty for none.
    std::string rack;
    //! Maximum number of tasks of the step on one worker; 0 for no limit.
    unsigned maximumTasksPerWorker = 0;
    //! A second copy of a stalled task may run at the same time; the first one that completes counts.
    bool speculative = false;
    //! The tasks run until the job is cancelled, as those of a service do.
    bool isLongRunning = false;
    //! Image that the tasks run. Tasks of one image are assumed to interfere with others alike.
    std::string image;
    //! Target for the tail latency of the tasks' responses; 0 for none.
    utils::milliseconds latencyTarget { 0 };
    //! Best-effort tasks: they use only processors that the other tasks leave idle.
    bool isBestEffort = false;
    //! Maximum number of tasks that the scheduler may take out of service at once; 0 for no limit.
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
    //! When the job was accepted, in Unix time.
    utils::milliseconds acceptedAt { 0 };
    //! The queue's limit of failed runs of a task when the job was accepted; 0 if unknown.
    unsigned maximumAttempts = 0;

    auto operator<=>(const job_spec&) const = default;
};

//! \brief Checks the numbers of steps and tasks, the resource requirements and that steps depend only on earlier ones.
//!
//! Returns InvalidArgument for a job that fails a check.
absl::Status validate(const job_spec& job);
//! \brief Whether a job may have the id: 1 to 128 printable ASCII characters without spaces. The id is part of keys in the store.
bool isJobId(absl::string_view id);

//! \brief Settings of a queue in the operators' configuration.
struct queue_rules {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    //! 0 is the highest priority.
    int priority = 0;
    //! Number of failed runs of one task after which its job fails.
    unsigned maxAttempts = 1;
    //! The deadline of a job, counted from its acceptance, is this factor times the duration of its longest chain of
    //! dependent steps, plus targetLatency.
    double slackFactor = 1;
    utils::milliseconds targetLatency { 0 };
    utils::milliseconds timeout { 0 };
    //! An external service chooses the workers for a step.
    bool needsExternalPlacement = false;
    //! The service's workers reject tasks that exceed their capacity; others start whatever they are ordered to.
    bool workersRejectOverload = false;

    auto operator<=>(const queue_rules&) const = default;
};

//! \brief One version of the operators' configuration.
struct deployment_rules {
    std::uint64_t version = 0;
    std::vector<queue_rules> queues;
    //! Maximum size of a request body in bytes.
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

//! \brief Properties of a worker as published in its directory entry.
struct worker_description {
    std::string id;
    std::string endpoint;
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    model::resources capacity;
    bool isDraining = false;
    //! Minimum time until a draining worker shuts down.
    utils::milliseconds remainingTime { 0 };
    //! Incarnation of the worker, the time of its start by its host's time of day, which may be set back; 0 if unknown.
    std::int64_t incarnation = 0;
    //! The worker's clock, in ms, when it last renewed the entry; 0 if unknown.
    std::int64_t renewedAt = 0;
    //! How much longer the worker is slow after its start, as it said with the renewal; nullopt if it doesn't say.
    std::optional<utils::milliseconds> coldTime {};

    auto operator<=>(const worker_description&) const = default;
};

//! \brief Whether \a renewed differs from \a known at most by the time of its renewal and what passes with it.
bool isRenewalOf(const worker_description& renewed, const worker_description& known);

} // namespace camphorsaddle::jobs
