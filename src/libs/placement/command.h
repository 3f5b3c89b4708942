#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "placement/batch_entry.h"
#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief Identifies one attempt to run a task in calls to workers and other shards.
struct attempt_id {
    //! The task as formatted by formatTaskId().
    std::string task;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_id&) const = default;
};

enum class attempt_phase {
    Running,
    Finished,
    Failed,
    //! The remote shard that ran the task has stopped it because the home shard recalled it.
    Stopped,
};

//! \brief State of an attempt as reported by a worker or remote shard.
struct attempt_status {
    attempt_id id;
    //! Epoch of the owner that started the attempt.
    std::uint64_t epoch = 0;
    attempt_phase phase = attempt_phase::Running;
    std::string checkpoint;
    //! Why a failed attempt failed.
    std::string cause;

    auto operator<=>(const attempt_status&) const = default;
};

//! \brief Appends an entry to the journal; answered by shard_coordinator::onAppended().
struct append_entry {
    batch_entry change;
};

//! \brief Sends a placed attempt to its worker or remote shard; answered by shard_coordinator::onStarted().
struct start_attempt {
    task_placed placed;
    std::string checkpoint;
    //! The command must not be sent at or after this time.
    utils::time_point sendDeadline;
};

//! \brief Requests the attempts that a worker holds without renewing their leases; answered by shard_coordinator::onReport().
struct read_inventory {
    std::string worker;
};

//! \brief Renews the leases of all attempts on a worker; answered by shard_coordinator::onReport().
struct renew_leases {
    std::string worker;
    //! Ended attempts that the worker may forget.
    std::vector<attempt_id> acknowledged;
    //! The command must not be sent at or after this time.
    utils::time_point sendDeadline;
};

//! \brief Requests a checkpoint of a running attempt; answered by shard_coordinator::onCheckpoint().
struct take_checkpoint {
    task_id task;
    std::uint32_t attempt = 0;
    std::string worker;
};

//! \brief Stops an attempt; answered by shard_coordinator::onStopped() when \a task is set.
struct stop_attempt {
    std::string worker;
    attempt_id id;
    //! Unset for an attempt that is not the current one of its task according to the journal.
    std::optional<task_id> task;
    //! The command must not be sent at or after this time.
    utils::time_point sendDeadline;
};

//! \brief A task that its home shard delegates to another shard.
struct delegation_offer {
    attempt_id id;
    std::string team;
    std::string kind;
    //! Epoch of the home shard's owner.
    std::uint64_t epoch = 0;
    std::string checkpoint;

    auto operator<=>(const delegation_offer&) const = default;
};

enum class delegation_outcome {
    Accepted,
    Refused,
    //! The task was stopped and will not be accepted again.
    Stopped,
    //! The task was never offered and will not be accepted later.
    Absent,
};

//! \brief Answers an offer or a recall by the home shard.
struct answer_home_shard {
    //! Key of the delegated job, as formatted by delegatedJobKey().
    std::string job;
    delegation_outcome outcome = delegation_outcome::Accepted;
};

//! \brief An action that the shard_coordinator requests from its caller.
using command = std::variant<append_entry, start_attempt, read_inventory, renew_leases, take_checkpoint, stop_attempt, answer_home_shard>;

enum class start_outcome {
    Confirmed,
    //! The worker refused the attempt or the command was not sent, so that the attempt does not run.
    Refused,
    Unknown,
};

enum class stop_outcome {
    Stopped,
    //! The worker never received the attempt and will not start it later.
    Absent,
    Unknown,
};

} // namespace camphorsaddle::placement
