#pragma once

#include <compare>
#include <cstdint>

namespace camphorsaddle::jobs {

//! \brief Processors of a service's workers, and what runs there or waits for it, in thousandths of a core.
struct processor_balance {
    //! Of the workers that stay.
    std::int64_t capacity = 0;
    //! Requests of all unfinished long-running tasks.
    std::int64_t longRunning = 0;
    //! Mean of the requests of the batch tasks that run or wait.
    double batchDemand = 0;
    //! Requests of all runs on these workers.
    std::int64_t requested = 0;

    auto operator<=>(const processor_balance&) const = default;
};

//! \brief Requests of all runs as a share of the capacity; 0 without workers.
double requestedShare(const processor_balance& balance);

//! \brief Whether long-running tasks that request \a added processors leave the batch tasks what they need.
//!
//! A long-running task keeps its processors, while a batch task that finds none waits until one ends.
bool admitsLongRunningTasks(const processor_balance& balance, std::int64_t added);

//! \brief Updates the mean by the demand of another review.
void updateBatchDemand(processor_balance& balance, std::int64_t demand);

} // namespace camphorsaddle::jobs
