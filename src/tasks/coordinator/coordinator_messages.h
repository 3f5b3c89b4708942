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
    //! The job is stored, its state known, its cancellation stored, its queue counted.
    Done,
    //! Surely without effect; the caller may come back.
    Refused,
    //! No such job.
    Absent,
    //! The call may take effect.
    Unsettled,
    //! The daemon that was asked does not lead.
    NotLeader,
};

inline constexpr std::size_t callOutcomeCount = 5;

constexpr absl::string_view toString(call_outcome outcome)
{
    constexpr absl::string_view names[callOutcomeCount] { "done", "refused", "absent", "unsettled", "not_leader" };
    return names[static_cast<std::size_t>(outcome)];
}

//! \brief A caller's request about jobs, as the front hands it to the coordinator.
struct job_call {
    std::uint64_t ticket = 0;
    call_kind kind = call_kind::Status;
    //! Id of the job, or name of the queue for Pending.
    std::string subject;
    //! What to submit.
    jobs::job_spec job;
    //! Time that the caller still waits.
    utils::milliseconds patience { 0 };
    //! A former attempt, by the leader, may have stored it; it can no longer be refused.
    bool mayBeStored = false;
};

struct job_reply {
    std::uint64_t ticket = 0;
    call_outcome outcome = call_outcome::Refused;
    jobs::job_phase phase = jobs::job_phase::Queued;
    std::uint64_t pending = 0;
    //! When a refused caller may come back; 0 for no advice.
    utils::milliseconds retryAfter { 0 };
    std::string reason;
};

//! \brief A newer version of the operators' rules is in force.
struct rules_changed {
    std::shared_ptr<const jobs::deployment_rules> rules;
};

//! \brief Whether this daemon can serve callers: it reaches the store or a leader.
struct service_state {
    bool canServe = false;
};

//! \brief A planned stop began.
struct stop_serving { };
//! \brief The task has nothing left to do for callers.
struct serving_stopped {
    std::string task;
};
struct end_loop { };

using coordinator_message = std::variant<job_call, stop_serving, end_loop>;
using job_front_message = std::variant<job_reply, rules_changed, service_state, stop_serving, end_loop>;
using job_daemon_message = std::variant<serving_stopped>;

//! \brief What the tasks of a job daemon share; it outlives them.
struct job_daemon_context {
    transport::mailbox<coordinator_message> coordinator { "job-coordinator" };
    transport::mailbox<job_front_message> front { "job-front" };
    transport::mailbox<job_daemon_message> daemon { "job-daemon" };
    utils::metric_registry metrics;
};

} // namespace camphorsaddle::tasks
