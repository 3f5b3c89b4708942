#pragma once

#include <compare>
#include <cstddef>

#include "utils/clock.h"

//! \brief Decides in which order waiting steps are placed, and which of their tasks may have a worker reserved.
//!
//! Load that it answers: more tasks wait than find a worker, and small ones always find one before large ones.
namespace camphorsaddle::jobs {

//! \brief Number of results of deadlineMissOf().
inline constexpr std::size_t deadlineMissCount = 3;

//! \brief Deadline that a job which ends at \a end has missed. 0: none, 1: it is late, 2: it is later than three times the time allowed.
std::size_t deadlineMissOf(utils::time_point end, utils::time_point acceptedAt, utils::time_point deadline);

//! \brief What the place of a waiting step in the queue depends on.
struct queue_traits {
    bool isLongRunning = false;
    //! Of the job, if the step and those after it start now.
    std::size_t deadlineMiss = 0;
    //! Of the job's queue; the lowest is the most urgent.
    int priority = 0;
    bool hasBegun = false;
    utils::time_point deadline;

    auto operator<=>(const queue_traits&) const = default;
};

//! \brief Whether a step is placed before another: long-running steps first, then by missed deadline, priority of the queue, running
//! before queued jobs, and deadline. Equal steps keep the order of acceptance.
bool precedes(const queue_traits& left, const queue_traits& right);

//! \brief Whether another waiting task may have a worker reserved on a fleet of \a workerCount workers.
//!
//! \a reservedCount tasks have one already whose jobs have missed the same deadline. Late jobs have a share of the workers of their own,
//! without which others would overtake them for as long as the fleet is full.
bool mayReserve(utils::milliseconds waited, std::size_t deadlineMiss, std::size_t reservedCount, std::size_t workerCount);

} // namespace camphorsaddle::jobs
