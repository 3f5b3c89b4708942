#pragma once

#include <compare>
#include <cstdint>

#include "utils/clock.h"

//! \brief Decides how much best-effort work runs at the same time on a worker.
//!
//! Load that it answers: more best-effort work arrives than the processors that services leave unused can carry. Without a limit all of it
//! runs, each run gets a part of what it requests, all jobs end late, and the services beside it miss their latency targets.
namespace camphorsaddle::jobs {

//! \brief Mean share of its requested processors that a long-running task uses.
//!
//! Workers don't report the processors that services use, only their tail latencies.
inline constexpr double meanServiceUtilization = 0.55;

//! \brief Mean latency headroom of the service tasks of one image, without best-effort work beside them; 0 if unknown.
struct mean_headroom {
    double value = 0;

    auto operator<=>(const mean_headroom&) const = default;
};

//! \brief The mean after another sample of a service task's headroom without best-effort work beside it.
mean_headroom updateMeanHeadroom(const mean_headroom& known, double headroomAlone);

//! \brief Share of its requested processors that a service task uses now, 0 to 1.
//!
//! Tail latency grows as 1 / (1 - utilization), so that headroom is proportional to the unused share. The mean headroom of the image
//! stands for the mean utilization. Without a sample (0) or a mean the result is the mean utilization.
double serviceUtilization(const mean_headroom& mean, double headroomAlone);

//! \brief Processors that a best-effort run occupies, in thousandths of a core.
//!
//! Up to half of the tasks use only two thirds of their request. The usage that a report shows counts once the run has worked at its
//! full pace for \a atFullPace, at least the interval over which workers measure it; before that, the whole request.
std::int64_t occupiedProcessors(std::int64_t requested, std::int64_t reportedUsage, utils::milliseconds atFullPace);

//! \brief How carefully a waiting best-effort task is placed.
struct placement_requirement {
    //! Least headroom (latency target divided by tail latency) that it must leave to each service task of the worker.
    double headroom = 0;
    //! Its request must fit into the processors that the other tasks leave.
    bool needsIdleProcessors = true;

    auto operator<=>(const placement_requirement&) const = default;
};

//! \brief Requirement for a best-effort task that has been waiting for \a waited, on a fleet of which the share \a load of the
//! processors is requested.
//!
//! On a fleet of which less than half is requested, a task that finds no suitable worker for a short time takes the one with the
//! least interference, so that none waits beside free workers. On a busier one it waits longer and leaves the services their targets,
//! so that a backlog doesn't cost the services' users.
placement_requirement requirementFor(utils::milliseconds waited, double load);

} // namespace camphorsaddle::jobs
