#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "placement/entry.h"
#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief One attempt by the name that workers know.
struct attempt_name {
    std::string task;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_name&) const = default;
};

enum class attempt_phase {
    Running,
    Finished,
    Failed,
    //! Another shard stopped it on a recall.
    Stopped,
};

//! \brief What a worker says of an attempt.
struct attempt_status {
    attempt_name name;
    //! Epoch of the owner that started it.
    std::uint64_t epoch = 0;
    attempt_phase phase = attempt_phase::Running;
    std::string checkpoint;
    std::string cause;

    auto operator<=>(const attempt_status&) const = default;
};

//! \brief Appends to the journal; answered by shard_coordinator::onAppended().
struct append_entry {
    batch_entry change;
};

//! \brief Starts a placed attempt; answered by onStarted().
struct start_attempt {
    task_placed placed;
    std::string checkpoint;
    //! The command must not be sent later.
    utils::time_point notAfter;
};

//! \brief Asks for a report without renewing; answered by onReport().
struct read_inventory {
    std::string worker;
};

//! \brief Renews the leases of a worker; answered by onReport().
struct renew_leases {
    std::string worker;
    std::vector<attempt_name> acknowledged;
    //! The command must not be sent later.
    utils::time_point notAfter;
};

//! \brief Asks for a checkpoint; answered by onCheckpoint().
struct take_checkpoint {
    task_id task;
    std::uint32_t attempt = 0;
    std::string worker;
};

//! \brief Stops an attempt; answered by onStopped() when it belongs to the journal's present attempt.
struct stop_attempt {
    std::string worker;
    attempt_name name;
    //! Unset for an attempt that the journal does not hold.
    std::optional<task_id> task;
    //! The command must not be sent later.
    utils::time_point notAfter;
};

//! \brief A task as its home shard hands it over.
struct guest_offer {
    attempt_name name;
    std::string team;
    std::string kind;
    std::uint64_t epoch = 0;
    std::string checkpoint;

    auto operator<=>(const guest_offer&) const = default;
};

enum class guest_outcome {
    Accepted,
    Refused,
    //! It was stopped and will not be accepted again.
    Stopped,
    //! It was never seen and will not be accepted any more.
    Absent,
};

//! \brief Answers an offer or a recall of the home shard.
struct answer_home {
    std::string job;
    guest_outcome outcome = guest_outcome::Accepted;
};

//! \brief An effect that the caller carries out, in order.
using command = std::variant<append_entry, start_attempt, read_inventory, renew_leases, take_checkpoint, stop_attempt, answer_home>;

enum class start_outcome {
    Confirmed,
    //! The attempt surely does not run.
    Refused,
    Unknown,
};

enum class stop_outcome {
    Stopped,
    //! The worker never saw the attempt and will not start it any more.
    Absent,
    Unknown,
};

} // namespace camphorsaddle::placement
