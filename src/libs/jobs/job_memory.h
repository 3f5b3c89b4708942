#pragma once

#include <cstdint>

#include "jobs/job.h"

namespace camphorsaddle::jobs {

//! \brief Estimate of the bytes that a process keeps of the specification of a job.
std::uint64_t specificationMemory(const job_spec& job);
//! \brief Estimate of the bytes that a job engine keeps of a job with its tasks. Runs aren't included, since the workers bound their number.
std::uint64_t jobMemory(const job_spec& job);

} // namespace camphorsaddle::jobs
