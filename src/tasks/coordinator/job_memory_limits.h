#pragma once

#include <compare>
#include <cstdint>

#include "transport/caller_limits.h"

namespace camphorsaddle::tasks {

//! \brief Limits of the memory that jobs take in one daemon, in bytes.
struct job_memory_limits {
    //! All jobs that a leader keeps, see job_engine::heldMemory().
    std::uint64_t jobs = 0;
    //! Jobs that a daemon stores without a leader while it doesn't know what the leader has left for it.
    std::uint64_t jobsWithoutLeader = 0;
    //! Specifications of the submissions that wait for a reply. One submission is handled whatever its size is.
    std::uint64_t openSubmissions = 0;
    //! Specifications of the submissions that wait until a new leader has loaded the stored jobs.
    std::uint64_t waitingForLoad = 0;

    auto operator<=>(const job_memory_limits&) const = default;
};

//! \brief Limits that leave enough memory for the callers' requests and the other state of the process.
job_memory_limits deriveJobMemoryLimits(const transport::host_resources& resources);

} // namespace camphorsaddle::tasks
