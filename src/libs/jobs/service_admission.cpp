#include "jobs/service_admission.h"

namespace camphorsaddle::jobs {

namespace {

    // Processors that batch tasks find in time, relative to their mean demand, which fluctuates.
    constexpr double batchMargin = 1.25;
    constexpr double newestDemandWeight = 0.1;

} // namespace

double requestedShare(const processor_balance& balance)
{
    return balance.capacity <= 0 ? 0 : static_cast<double>(balance.requested) / static_cast<double>(balance.capacity);
}

bool admitsLongRunningTasks(const processor_balance& balance, std::int64_t added)
{
    return static_cast<double>(balance.capacity - balance.longRunning - added) >= batchMargin * balance.batchDemand;
}

void updateBatchDemand(processor_balance& balance, std::int64_t demand)
{
    balance.batchDemand += newestDemandWeight * (static_cast<double>(demand) - balance.batchDemand);
}

} // namespace camphorsaddle::jobs
