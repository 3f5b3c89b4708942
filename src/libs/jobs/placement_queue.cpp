#include "jobs/placement_queue.h"

#include <tuple>

namespace camphorsaddle::jobs {

namespace {

    // Tasks find a worker within this time unless smaller ones overtake them.
    constexpr utils::milliseconds reservationDelay { 50 };
    // Shares of the workers that may be kept free for waiting tasks at the same time, by the missed deadline of their job.
    constexpr double maximumReservedShares[deadlineMissCount] { 0.05, 0.025, 0.025 };
    // Multiple of the time allowed, after which a job is worth nothing.
    constexpr int lateTimeFactor = 3;

    auto orderOf(const queue_traits& traits)
    {
        // Long-running steps don't wait for each other's deadlines.
        return std::tuple(traits.isLongRunning ? 0 : 1, traits.isLongRunning ? 0 : traits.deadlineMiss, traits.priority, traits.hasBegun ? 0 : 1, traits.deadline);
    }

} // namespace

std::size_t deadlineMissOf(utils::time_point end, utils::time_point acceptedAt, utils::time_point deadline)
{
    if (end <= deadline)
        return 0;
    return end <= acceptedAt + (deadline - acceptedAt) * lateTimeFactor ? 1 : 2;
}

bool precedes(const queue_traits& left, const queue_traits& right)
{
    return orderOf(left) < orderOf(right);
}

bool mayReserve(utils::milliseconds waited, std::size_t deadlineMiss, std::size_t reservedCount, std::size_t workerCount)
{
    return waited >= reservationDelay && reservedCount <= static_cast<std::size_t>(maximumReservedShares[deadlineMiss] * static_cast<double>(workerCount));
}

} // namespace camphorsaddle::jobs
