#pragma once

#include <random>

#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief Longest delay before a call to the store is repeated that has failed after \a earlierFailures in a row.
utils::milliseconds longestRetryDelay(unsigned earlierFailures);

//! \brief Delay before the call is repeated, drawn between half of the longest one and the longest one.
utils::milliseconds drawRetryDelay(unsigned earlierFailures, std::mt19937_64& random);

} // namespace camphorsaddle::tasks
