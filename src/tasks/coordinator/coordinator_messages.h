#pragma once

#include <memory>
#include <string>
#include <variant>

#include "jobs/job.h"
#include "transport/mailbox.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

enum class call_kind {
    Submit,
    Status,
    Cancel,
    Pending,
};

inline constexpr std::size_t callKindCount = 4;

enum class call_outcome {
    //! The job or cancellation is stored, or the reply holds the phase or the number of pending jobs.
    Done,
    //! The call had no effect; the caller may retry.
    Refused,
    //! The job does not exist.
    NotFound,
    //! The call may have taken effect or may still do so.
    Indeterminate,
    //! The called daemon is not the leader.
    NotLeader,
};

inline constexpr std::size_t callOutcomeCount = 5;

constexpr absl::string_view toString(call_outcome outcome)
{
    constexpr absl::string_view names[callOutcomeCount] { "done", "refused", "absent", "unsettled", "not_leader" };
    return names[static_cast<std::size_t>(outcome)];
}

//! Reason of the refusal of a job that was cancelled before it was stored.
inline const std::string cancelledReason = "cancelled";
//! Reason of the refusal of a job that the memory for jobs doesn't hold.
inline const std::string jobMemoryReason = "job_memory";

//! \brief A caller's request about jobs, which the HTTP front end passes to the coordinator.
struct job_call {
    std::uint64_t ticket = 0;
    call_kind kind = call_kind::Status;
    //! Job id; for Pending the name of the queue.
    std::string subject;
    //! Job to store; set for Submit only.
    jobs::job_spec job;
    //! Remaining time that the caller waits for the reply.
    utils::milliseconds timeout { 0 };
    //! An earlier attempt by the leader may have stored the job, so the call must not end as Refused.
    bool mayBeStored = false;
};

//! \brief The coordinator's reply to the job_call with the same ticket.
struct job_reply {
    std::uint64_t ticket = 0;
    call_outcome outcome = call_outcome::Refused;
    jobs::job_phase phase = jobs::job_phase::Queued;
    //! Number of pending jobs of the queue; set for Pending only.
    std::uint64_t pending = 0;
    //! Delay after which a refused caller should retry; 0 when none is given.
    utils::milliseconds retryAfter { 0 };
    std::string reason;
};

enum class rules_source {
    None,
    Store,
    Leader,
};

inline constexpr std::size_t rulesSourceCount = 3;

constexpr absl::string_view toString(rules_source source)
{
    constexpr absl::string_view names[rulesSourceCount] { "none", "store", "leader" };
    return names[static_cast<std::size_t>(source)];
}

//! \brief Tells the front end which of the operators' rules this daemon has and when they were last known to be the newest.
struct rules_state {
    std::shared_ptr<const jobs::deployment_rules> rules;
    //! The epoch of the clock before the first confirmation.
    utils::time_point confirmedAt;
    rules_source confirmedBy = rules_source::None;
    //! The last attempt to read the rules from the store has failed.
    bool isStoreFailing = false;

    bool operator==(const rules_state&) const = default;
};

//! \brief Asks the coordinator to find out whether the rules are still the newest.
struct confirm_rules { };

//! \brief Tells the front end whether this daemon can serve callers: it has rules and reaches the store or a leader.
struct serving_state {
    bool canServe = false;
};

//! \brief Tells the tasks that a planned shutdown has started.
struct stop_serving { };
//! \brief Tells the main loop that the task has no open work for callers.
struct serving_stopped {
    std::string task;
};
//! \brief Stops the event loop of the task.
struct stop_loop { };

using coordinator_message = std::variant<job_call, confirm_rules, stop_serving, stop_loop>;
using job_front_message = std::variant<job_reply, rules_state, serving_state, stop_serving, stop_loop>;
using job_daemon_message = std::variant<serving_stopped>;

//! \brief Mailboxes and metrics that the tasks of a job daemon share; outlives the tasks.
struct job_daemon_context {
    transport::mailbox<coordinator_message> coordinator { "job-coordinator" };
    transport::mailbox<job_front_message> front { "job-front" };
    transport::mailbox<job_daemon_message> daemon { "job-daemon" };
    utils::metric_registry metrics;
};

} // namespace camphorsaddle::tasks
