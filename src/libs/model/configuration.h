#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "model/resources.h"
#include "utils/clock.h"

namespace camphorsaddle::model {

//! \brief Operators' configuration of a latency-critical service.
struct service_configuration {
    //! Queued requests with a greater value are sent first.
    int priority = 50;
    //! Whether requests queue behind those of other services; they still get a share of the slots.
    bool patient = false;
    //! Whether a request may be sent more than once, unless its header says otherwise.
    bool repeatable = false;
    //! Deadline of requests that specify none.
    utils::milliseconds deadline { 2000 };
    //! Maximum number of retries and hedged requests as a share of all requests.
    double retryBudget = 0.1;
    int replicas = 0;
    //! Resources of one replica.
    resources size;
    //! Target for the 99th percentile of the latency.
    utils::milliseconds latencyTarget { 200 };
    //! Whether a second copy of a slow repeatable request may be sent.
    bool hedging = false;
    //! Minimum number of racks across which replicas are placed.
    int spread = 1;
    //! Maximum number of requests in flight for one caller.
    int callerConcurrency = 64;
    //! Maximum number of queued requests in one gateway.
    int queueLimit = 512;

    auto operator<=>(const service_configuration&) const = default;
};

//! \brief Operators' configuration of a kind of batch task.
struct batch_kind_configuration {
    int priority = 10;
    //! Declared resources of one task.
    resources size;
    //! Declared run time.
    utils::milliseconds runTime { 60000 };
    //! Whether tasks can resume from a checkpoint.
    bool checkpoints = true;
    //! Whether tasks queue behind those of other kinds; they still get a share of the starts.
    bool patient = false;
    //! Cost of one second of lost work relative to other kinds.
    double weight = 1;

    auto operator<=>(const batch_kind_configuration&) const = default;
};

//! \brief What a caller with a team's token may do.
enum class team_right {
    Submit,
    Cancel,
    Configure,
    Observe,
    //! Sees and cancels the jobs of every team, and drains.
    Operate,
};

struct team_configuration {
    //! Maximum resources of all running tasks of the team in the whole deployment.
    resources quota;
    //! Hashes of the tokens that authenticate the team; the tokens themselves are not stored.
    std::set<std::string> tokenHashes;
    std::set<team_right> rights;

    auto operator<=>(const team_configuration&) const = default;
};

//! \brief Weights of the scheduling objectives relative to each other.
struct objective_weights {
    //! Tail latency of services.
    double tail = 1;
    //! Throughput of batch work.
    double throughput = 1;
    //! Avoidance of evictions.
    double evictions = 1;

    auto operator<=>(const objective_weights&) const = default;
};

//! \brief Limits on the use of spare service capacity by batch work.
struct batch_guards {
    //! Maximum share of a worker's idle processors that batch tasks may borrow, 0 to 1.
    double lentIdleShare = 0.5;
    //! Share of each worker's resources that is kept free for urgent work, 0 to 1.
    double urgentHeadroom = 0.05;
    //! Maximum number of evictions per minute in one data centre.
    int evictionsPerMinute = 30;

    auto operator<=>(const batch_guards&) const = default;
};

//! \brief The effective configuration of one data centre: the base configuration merged with the overlay of the data centre.
struct configuration {
    std::map<std::string, service_configuration> services;
    std::map<std::string, batch_kind_configuration> batchKinds;
    std::map<std::string, team_configuration> teams;
    objective_weights weights;
    batch_guards guards;

    auto operator<=>(const configuration&) const = default;
};

} // namespace camphorsaddle::model
