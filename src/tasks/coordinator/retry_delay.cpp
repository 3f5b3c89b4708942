#include "tasks/coordinator/retry_delay.h"

#include <algorithm>

namespace camphorsaddle::tasks {

namespace {

    // The delay grows because the store counts refused calls too; the maximum bounds how late the end of an outage is
    // noticed.
    constexpr utils::milliseconds initialRetryDelay { 100 };
    constexpr utils::milliseconds maximumRetryDelay { 500 };
    constexpr unsigned maximumDoublings = 4;

} // namespace

utils::milliseconds longestRetryDelay(unsigned earlierFailures)
{
    return std::min(initialRetryDelay * (1 << std::min(earlierFailures, maximumDoublings)), maximumRetryDelay);
}

// All daemons learn of an outage at the same time, and without jitter they would repeat their calls at the same time too.
utils::milliseconds drawRetryDelay(unsigned earlierFailures, std::mt19937_64& random)
{
    const auto longest = longestRetryDelay(earlierFailures);
    std::uniform_int_distribution<utils::milliseconds::rep> distribution(longest.count() / 2, longest.count());
    return utils::milliseconds(distribution(random));
}

} // namespace camphorsaddle::tasks
