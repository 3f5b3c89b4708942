#include "jobs/admission_forecast.h"

#include <algorithm>

#include "utils/hashing.h"

namespace camphorsaddle::jobs {

namespace {

    // Multiple of the time allowed to a job after which its result is worth nothing to its caller. Refusing every job that would be late
    // served fewer callers in time on days with jobs of all sizes, see docs/design/admission-forecast.md.
    constexpr double longestLateness = 3;
    // Follows the fleet within two seconds, less than half of a burst.
    constexpr double newestShareWeight = 0.1;
    constexpr double leastUsableShare = 0.25;
    // Half of the best-effort tasks use two thirds of their request.
    constexpr double greatestUsableShare = 1.5;
    // Shorter waits are within the error of a forecast; jobs without slack would be refused for them.
    constexpr utils::milliseconds shortestRefusedWait { 500 };
    constexpr double millisecondsPerSecond = 1000;
    // About 30 years, which a time point in nanoseconds holds.
    constexpr double maximumMilliseconds = 1e12;
    constexpr utils::milliseconds greatestAgeWithLeader { 1500 };
    constexpr utils::milliseconds greatestAgeWithoutLeader { 5000 };
    constexpr utils::milliseconds unknownRetryAfter { 2000 };
    constexpr std::uint64_t spreadSteps = 1024;

    utils::milliseconds allowedTime(const admission_request& request)
    {
        const double allowed = request.slackFactor * static_cast<double>(request.chain.count());
        return utils::milliseconds(static_cast<std::int64_t>(std::min(allowed, maximumMilliseconds))) + request.targetLatency;
    }

    //! Wait after which the job would end too late to be of use.
    utils::milliseconds longestUsefulWait(const admission_request& request)
    {
        return utils::milliseconds(static_cast<std::int64_t>(longestLateness * static_cast<double>(allowedTime(request).count()))) - request.chain;
    }

    utils::milliseconds toWholeSeconds(utils::milliseconds time)
    {
        return std::max(std::chrono::ceil<std::chrono::seconds>(time), std::chrono::seconds(1));
    }

} // namespace

usable_share updateUsableShare(const usable_share& known, double requestedCores, double leftCores)
{
    if (leftCores <= 0)
        return known;
    const double sample = std::clamp(requestedCores / leftCores, leastUsableShare, greatestUsableShare);
    return { known.value + newestShareWeight * (sample - known.value) };
}

utils::milliseconds backlogTime(const service_backlog& backlog, int priority, bool isBestEffort)
{
    double work = isBestEffort ? backlog.running.bestEffort : backlog.running.batch;
    for (const auto& [other, waiting] : backlog.work) {
        if (other <= priority)
            work += waiting.batch + (isBestEffort ? waiting.bestEffort : 0);
    }
    const double cores = isBestEffort ? backlog.bestEffortCores : backlog.batchCores;
    const double longest = static_cast<double>(longestBacklogTime.count());
    if (work <= 0)
        return utils::milliseconds(0);
    return utils::milliseconds(static_cast<std::int64_t>(cores <= 0 ? longest : std::min(millisecondsPerSecond * work / cores, longest)));
}

utils::milliseconds slackOf(const admission_request& request)
{
    return allowedTime(request) - request.chain;
}

utils::milliseconds expectedWait(const admission_request& request, utils::milliseconds backlogTime)
{
    return std::max(backlogTime - request.chain / 2, utils::milliseconds(0));
}

std::optional<utils::milliseconds> decideRefusal(const admission_request& request, utils::milliseconds backlogTime, utils::time_point forecastAt, utils::time_point now)
{
    const auto remaining = expectedWait(request, backlogTime - utils::millisecondsBetween(forecastAt, now));
    const auto longest = std::max(longestUsefulWait(request), shortestRefusedWait);
    if (request.priority <= 0 || remaining <= longest)
        return std::nullopt;
    // Jobs that are refused together come back over the time in which the present backlog is executed.
    const auto spread = utils::milliseconds(remaining.count() * static_cast<std::int64_t>(utils::stableHash(request.id) % spreadSteps) / static_cast<std::int64_t>(spreadSteps));
    return toWholeSeconds(remaining - longest + spread);
}

utils::milliseconds longestChain(const job_spec& job, double durationRatio)
{
    std::vector<utils::milliseconds> ends;
    utils::milliseconds longest { 0 };
    for (const auto& step : job.steps) {
        utils::milliseconds begin { 0 };
        for (const unsigned earlier : step.after)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return utils::milliseconds(static_cast<std::int64_t>(std::min(durationRatio * static_cast<double>(longest.count()), maximumMilliseconds)));
}

utils::milliseconds plausibleChain(const job_spec& job, double durationRatio, utils::milliseconds meanChain)
{
    return std::max(longestChain(job, durationRatio), meanChain);
}

follower_decision decideByPublishedForecast(const std::optional<published_forecast>& forecast, const job_spec& job, const queue_rules& rules, bool hasLeader, utils::time_point now)
{
    const bool isLongRunning = std::ranges::any_of(job.steps, &step_spec::isLongRunning);
    if (!forecast || isLongRunning || rules.priority <= 0)
        return {};
    const auto backlog = forecast->queues.find(job.queue);
    if (backlog == forecast->queues.end())
        return {};
    if (now > forecast->at + (hasLeader ? greatestAgeWithLeader : greatestAgeWithoutLeader))
        return hasLeader ? follower_decision {} : follower_decision { follower_decision::action::Unknown, unknownRetryAfter };
    const bool isBestEffort = std::ranges::any_of(job.steps, &step_spec::isBestEffort);
    const admission_request request { job.id, rules.priority, plausibleChain(job, backlog->second.durationRatio, backlog->second.meanChain), rules.slackFactor, rules.targetLatency };
    const auto retryAfter = decideRefusal(request, isBestEffort ? backlog->second.bestEffort : backlog->second.batch, forecast->at, now);
    return retryAfter ? follower_decision { follower_decision::action::Overload, *retryAfter } : follower_decision {};
}

} // namespace camphorsaddle::jobs
