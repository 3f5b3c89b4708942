#include "jobs/placement.h"

#include <algorithm>
#include <limits>

namespace camphorsaddle::jobs {

namespace {

    // Mean share of its processors that a task which serves uses.
    constexpr double servingUse = 0.55;
    // Headroom beyond this is as good as any: the load of a serving task swings by less.
    constexpr double ampleHeadroom = 4.0;
    // A task that fills lasts a few seconds, in which the load of its neighbours swings by a good part.
    constexpr double swingWeight = 0.25;
    // Headroom of a task that has not told its tail yet.
    constexpr double unknownHeadroom = 2.0;
    // Weight of headroom against idle processors in the choice for work that fills.
    constexpr double headroomWeight = 0.3;
    constexpr double otherRackCost = 2.0;
    // A trial is worth more on a worker with little to lose.
    constexpr double trialCost = 0.5;

    bool hasTemporaryRun(const worker_state& worker)
    {
        return std::ranges::any_of(worker.runs, [](const auto* run) { return !run->job->spec.steps[run->step].lasts; });
    }

} // namespace

bool mayPlace(const worker_state& worker, const step_spec& step, const std::string& service, utils::milliseconds withdrawalGrace, utils::time_point now)
{
    const bool isListed = worker.isAnnounced || now < worker.withdrawnAt + withdrawalGrace;
    if (worker.description.service != service || worker.description.isDraining || !worker.isFenced || !isListed || worker.silences > 0)
        return false;
    if (worker.trust.isSuspended(now) || (worker.trust.isOnTrial() && hasTemporaryRun(worker)))
        return false;
    if (!step.label.empty() && std::ranges::find(worker.description.labels, step.label) == worker.description.labels.end())
        return false;
    auto needed = step.taskResources;
    if (step.fills)
        needed.processors = 0;
    return needed.fitsIn(worker.description.capacity - worker.charged);
}

unsigned runsOfStep(const worker_state& worker, const job_state& job, unsigned step)
{
    return static_cast<unsigned>(std::ranges::count_if(worker.runs, [&](const auto* run) { return run->job == &job && run->step == step; }));
}

std::int64_t idleProcessors(const worker_state& worker)
{
    const auto serving = static_cast<std::int64_t>(static_cast<double>(worker.servingProcessors) * (1 - servingUse));
    return worker.description.capacity.processors - worker.charged.processors + serving - worker.fillProcessors;
}

void updateRooms(worker_state& worker, const interference_model& interference)
{
    worker.rooms.clear();
    for (const auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (!spec.lasts || spec.target.count() == 0)
            continue;
        double headroom = unknownHeadroom;
        if (run->serving.headroom > 0) {
            const double worst = run->serving.worstAlone > 0 ? run->serving.worstAlone - interference.loss(run->image, run->serving.use) : run->serving.headroom;
            headroom = swingWeight * std::min(worst, run->serving.headroom) + (1 - swingWeight) * run->serving.headroom;
        }
        // What was started since the last report does not show in it yet.
        worker.rooms.push_back({ run->image, headroom - interference.loss(run->image, worker.unreportedUse) });
    }
}

double headroomWith(const worker_state& worker, image_number image, double added, const interference_model& interference)
{
    double least = std::numeric_limits<double>::infinity();
    for (const auto& room : worker.rooms)
        least = std::min(least, room.headroom - interference.pressure(room.image, image) * added);
    return least;
}

bool fillFits(const worker_state& worker, const step_spec& step, image_number image, const interference_model& interference, double needed)
{
    const double share = static_cast<double>(step.taskResources.processors) / static_cast<double>(std::max<std::int64_t>(worker.description.capacity.processors, 1));
    return headroomWith(worker, image, share, interference) >= needed;
}

double placementCost(const worker_state& worker, const step_spec& step, image_number image, const interference_model& interference)
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(worker.description.capacity.processors, 1));
    double cost = 0;
    if (step.fills) {
        const double share = static_cast<double>(step.taskResources.processors) / capacity;
        const double idle = static_cast<double>(idleProcessors(worker)) / capacity - share;
        cost = std::max(0.0, -idle) * 4 - headroomWeight * std::min(headroomWith(worker, image, share, interference), ampleHeadroom);
    } else {
        cost = static_cast<double>(worker.charged.processors + step.taskResources.processors) / capacity;
        if (step.lasts)
            cost += static_cast<double>(worker.fillProcessors) / capacity;
    }
    if (!step.rack.empty() && step.rack != worker.description.rack)
        cost += otherRackCost;
    if (worker.trust.isOnTrial())
        cost += trialCost;
    return cost + worker.trust.slowness() - 1;
}

} // namespace camphorsaddle::jobs
