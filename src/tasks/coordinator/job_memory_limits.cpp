#include "tasks/coordinator/job_memory_limits.h"

namespace camphorsaddle::tasks {

namespace {

    // Callers' requests take another quarter, see transport::deriveCallerLimits().
    constexpr std::uint64_t jobShares = 4;
    // As many daemons may store jobs at the same time before the first leader is elected.
    constexpr std::uint64_t daemonsWithoutLeader = 128;
    // A submission exists several times: parsed, in messages between the daemons and in transactions.
    constexpr std::uint64_t openSubmissionShares = 256;
    // Those of several daemons wait for a new leader.
    constexpr std::uint64_t waitingShares = 8;

} // namespace

job_memory_limits deriveJobMemoryLimits(const transport::host_resources& resources)
{
    const auto jobs = resources.memoryBytes / jobShares;
    const auto openSubmissions = resources.memoryBytes / openSubmissionShares;
    return { jobs, jobs / daemonsWithoutLeader, openSubmissions, waitingShares * openSubmissions };
}

} // namespace camphorsaddle::tasks
