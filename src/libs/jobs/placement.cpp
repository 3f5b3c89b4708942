#include "jobs/placement.h"

#include <algorithm>
#include <limits>

namespace camphorsaddle::jobs {

namespace {

    // More headroom makes no difference, because the load of a service task fluctuates by less.
    constexpr double maximumUsefulHeadroom = 4.0;
    // Weight of the recent minimum of the headroom relative to its current value. A best-effort task runs for a few
    // seconds, in which the load of the service tasks beside it fluctuates considerably.
    constexpr double minimumHeadroomWeight = 0.25;
    // Assumed headroom of a service task that hasn't reported its tail latency yet.
    constexpr double defaultHeadroom = 2.0;
    // Weight of headroom relative to idle processors in the cost of best-effort tasks.
    constexpr double headroomWeight = 0.3;
    constexpr double otherRackCost = 2.0;
    // A worker on trial gets a task only if the other workers are considerably more loaded.
    constexpr double trialCost = 0.5;
    // The same for a worker that is slow for this long or longer. Neither was measured.
    constexpr double coldestCost = 0.5;
    constexpr utils::milliseconds coldestTime { 10'000 };
    // Time between two starts on a slow worker. The users' batch tasks last up to a second, so that a few run at a time.
    constexpr utils::milliseconds coldStartInterval { 500 };

    //! Headroom that the service task has without best-effort work beside it; 0 if unknown. Below the target the sample doesn't tell it.
    double headroomAlone(const run_state& run, const interference_model& interference)
    {
        const auto& sample = run.latencySample;
        return sample.headroom < 1 ? 0 : sample.headroom + interference.headroomLoss(run.image, sample.usage);
    }

    bool hasBatchRun(const worker_state& worker)
    {
        return std::ranges::any_of(worker.runs, [](const auto* run) { return !run->job->spec.steps[run->step].isLongRunning; });
    }

} // namespace

utils::time_point capacityKnownAt(const worker_state& worker)
{
    // The entry may be older than its arrival, for example in the listing of a new leader.
    if (worker.clock == 0 || worker.description.renewedAt == 0)
        return worker.announcedAt;
    return std::min(worker.announcedAt, worker.clockUpdatedAt - utils::milliseconds(worker.clock - worker.description.renewedAt));
}

double shareOfCapacity(const worker_state& worker, std::int64_t processors)
{
    return static_cast<double>(processors) / static_cast<double>(std::max<std::int64_t>(worker.description.capacity.processors, 1));
}

bool isCapacityReliable(const worker_state& worker, const engine_settings& settings, utils::time_point now)
{
    if (now < worker.capacityRefusedUntil)
        return false;
    return worker.rejectsOverload || now <= capacityKnownAt(worker) + settings.maximumCapacityAge;
}

bool isOpenForTasks(const worker_state& worker, const engine_settings& settings, utils::time_point now)
{
    const bool isListed = worker.isAnnounced || now < worker.withdrawnAt + settings.withdrawalGracePeriod;
    return isListed && isCapacityReliable(worker, settings, now) && worker.hasAcceptedTerm && !worker.description.isDraining && !worker.isEvacuated && worker.unansweredObserves == 0 && worker.suspectRun == nullptr && !worker.reliability.isSuspended(now);
}

bool hasRecentColdStart(const worker_state& worker, utils::time_point now)
{
    return now < worker.coldUntil && now < worker.lastStartAt + coldStartInterval;
}

double coldCost(const worker_state& worker, utils::time_point now)
{
    if (now >= worker.coldUntil)
        return 0;
    const auto left = std::min(utils::millisecondsBetween(now, worker.coldUntil), coldestTime);
    return coldestCost * static_cast<double>(left.count()) / static_cast<double>(coldestTime.count());
}

model::resources reservedResources(const step_spec& step)
{
    auto reserved = step.taskResources;
    if (step.isBestEffort)
        reserved.processors = 0;
    return reserved;
}

bool isSuitable(const worker_state& worker, const step_spec& step, const std::string& service, const engine_settings& settings, utils::time_point now)
{
    if (worker.description.service != service || !isOpenForTasks(worker, settings, now))
        return false;
    if (worker.reliability.isOnTrial() && hasBatchRun(worker))
        return false;
    return step.label.empty() || std::ranges::find(worker.description.labels, step.label) != worker.description.labels.end();
}

bool mayPlace(const worker_state& worker, const step_spec& step, const std::string& service, const engine_settings& settings, utils::time_point now)
{
    return isSuitable(worker, step, service, settings, now) && reservedResources(step).fitsIn(worker.description.capacity - worker.allocated);
}

unsigned runsOfStep(const worker_state& worker, const job_state& job, unsigned step)
{
    return static_cast<unsigned>(std::ranges::count_if(worker.runs, [&](const auto* run) { return run->job == &job && run->step == step; }));
}

std::int64_t idleProcessors(const worker_state& worker)
{
    const auto unusedByServices = worker.longRunningProcessors - worker.longRunningUsage;
    return worker.description.capacity.processors - worker.allocated.processors + unusedByServices - worker.bestEffortUsage;
}

void updateServiceHeadrooms(worker_state& worker, const interference_model& interference)
{
    worker.serviceHeadrooms.clear();
    double longRunningUsage = 0;
    for (const auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (!spec.isLongRunning)
            continue;
        const double utilization = serviceUtilization(interference.meanHeadroomAlone(run->image), headroomAlone(*run, interference));
        longRunningUsage += utilization * static_cast<double>(spec.taskResources.processors);
        if (spec.latencyTarget.count() == 0)
            continue;
        double headroom = defaultHeadroom;
        if (run->latencySample.headroom > 0) {
            const double worst = run->latencySample.minimumHeadroomAlone > 0 ? run->latencySample.minimumHeadroomAlone - interference.headroomLoss(run->image, run->latencySample.usage) : run->latencySample.headroom;
            headroom = minimumHeadroomWeight * std::min(worst, run->latencySample.headroom) + (1 - minimumHeadroomWeight) * run->latencySample.headroom;
        }
        // The sample doesn't include the runs that were started since the last report.
        worker.serviceHeadrooms.push_back({ run->image, headroom - interference.headroomLoss(run->image, worker.unreportedUsage) });
    }
    worker.longRunningUsage = static_cast<std::int64_t>(longRunningUsage);
}

double minimumHeadroomWith(const worker_state& worker, image_index image, double added, const interference_model& interference)
{
    double least = std::numeric_limits<double>::infinity();
    for (const auto& room : worker.serviceHeadrooms)
        least = std::min(least, room.headroom - interference.pressure(room.image, image) * added);
    return least;
}

bool bestEffortFits(const worker_state& worker, const step_spec& step, image_index image, const interference_model& interference, const placement_requirement& needed)
{
    if (needed.needsIdleProcessors && step.taskResources.processors > idleProcessors(worker))
        return false;
    return minimumHeadroomWith(worker, image, shareOfCapacity(worker, step.taskResources.processors), interference) >= needed.headroom;
}

double placementCost(const worker_state& worker, const step_spec& step, image_index image, const interference_model& interference)
{
    double cost = 0;
    if (step.isBestEffort) {
        const double share = shareOfCapacity(worker, step.taskResources.processors);
        const double idle = shareOfCapacity(worker, idleProcessors(worker)) - share;
        cost = std::max(0.0, -idle) * 4 - headroomWeight * std::min(minimumHeadroomWith(worker, image, share, interference), maximumUsefulHeadroom);
    } else {
        cost = shareOfCapacity(worker, worker.description.capacity.processors - worker.allocated.processors - step.taskResources.processors);
        if (step.isLongRunning)
            cost += shareOfCapacity(worker, worker.bestEffortProcessors);
    }
    if (!step.rack.empty() && step.rack != worker.description.rack)
        cost += otherRackCost;
    if (worker.reliability.isOnTrial())
        cost += trialCost;
    return cost + worker.reliability.slowness() - 1;
}

} // namespace camphorsaddle::jobs
