#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "model/host.h"
#include "utils/clock.h"

namespace camphorsaddle::external {

enum class attempt_state {
    Running,
    Finished,
    Failed,
};

//! \brief Identifies one attempt of a task; the epoch of the shard that started it acts as the fencing token.
struct attempt_key {
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t epoch = 0;

    auto operator<=>(const attempt_key&) const = default;
};

struct attempt_report {
    attempt_key key;
    attempt_state state = attempt_state::Running;
    std::string checkpoint;
    model::resources usage;
    //! Reason of the failure, for a failed attempt.
    std::string cause;

    auto operator<=>(const attempt_report&) const = default;
};

struct service_report {
    std::string service;
    std::string replica;
    double latencyMilliseconds = 0;
    double load = 0;

    auto operator<=>(const service_report&) const = default;
};

struct worker_report {
    std::vector<attempt_report> tasks;
    std::vector<service_report> services;
    //! Time since the worker measured the usage.
    utils::milliseconds usageAge { 0 };
};

struct worker_inventory {
    model::resources capacity;
    std::vector<attempt_report> tasks;
};

struct start_command {
    attempt_key key;
    std::string shard;
    std::string kind;
    model::resources size;
    utils::milliseconds runTime { 0 };
    utils::milliseconds lease { 0 };
    std::string checkpoint;
};

struct renew_command {
    std::string shard;
    std::uint64_t epoch = 0;
    utils::milliseconds lease { 0 };
    std::vector<attempt_key> acknowledged;
};

enum class stop_result {
    Stopped,
    //! The worker does not know the attempt and will reject a later start of it.
    Absent,
};

template <typename Value>
using worker_callback = std::function<void(absl::StatusOr<Value>)>;

//! \brief Asynchronous interface for commands to worker agents. Callbacks run later on the caller's event loop.
//!
//! Errors: Unavailable when the command certainly did not reach the worker, FailedPrecondition when the worker rejected it
//! (the message contains the reason), DeadlineExceeded or Unknown when it may have taken effect.
class worker_control {
public:
    virtual ~worker_control() = default;

    virtual void inventory(const model::host& worker, worker_callback<worker_inventory> callback) = 0;
    virtual void start(const model::host& worker, const start_command& command, std::function<void(absl::Status)> callback) = 0;
    virtual void renew(const model::host& worker, const renew_command& command, worker_callback<worker_report> callback) = 0;
    virtual void checkpoint(const model::host& worker, const attempt_key& key, worker_callback<std::string> callback) = 0;
    //! \brief Limits an attempt to \a processors, in thousandths of a core.
    virtual void throttle(const model::host& worker, const attempt_key& key, std::int64_t processors, std::function<void(absl::Status)> callback) = 0;
    virtual void stop(const model::host& worker, const attempt_key& key, worker_callback<stop_result> callback) = 0;
};

} // namespace camphorsaddle::external
