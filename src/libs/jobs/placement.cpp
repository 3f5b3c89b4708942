#include "jobs/placement.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // Mean share of its processors that a task which serves uses.
    constexpr double servingUse = 0.55;
    // An image that was not seen yet; half of the images disturb strongly.
    constexpr double unknownPressure = 0.05;
    constexpr double pressureWeight = 0.2;
    constexpr double otherRackCost = 2.0;
    // A trial is worth more on a worker with little to lose.
    constexpr double trialCost = 0.5;

    bool hasTemporaryRun(const worker_state& worker)
    {
        return std::ranges::any_of(worker.runs, [](const auto* run) { return !run->job->spec.steps[run->step].lasts; });
    }

} // namespace

double fill_pressure::of(const std::string& image) const
{
    const auto found = m_pressures.find(image);
    return found == m_pressures.end() ? unknownPressure : found->second;
}

void fill_pressure::learn(const std::map<std::string, double>& shares, double growth)
{
    double predicted = 0;
    double squares = 0;
    for (const auto& [image, cores] : shares) {
        predicted += of(image) * cores;
        squares += cores * cores;
    }
    if (squares <= 0)
        return;
    // Normalised least mean squares: the error goes to the images by their share of the company.
    const double correction = pressureWeight * (growth - predicted) / squares;
    for (const auto& [image, cores] : shares)
        m_pressures[image] = std::max(0.0, of(image) + correction * cores);
}

bool mayPlace(const worker_state& worker, const step_spec& step, const std::string& service, utils::milliseconds withdrawalGrace, utils::time_point now)
{
    const bool isListed = worker.isAnnounced || now < worker.withdrawnAt + withdrawalGrace;
    if (worker.about.service != service || worker.about.isDraining || !worker.isFenced || !isListed || worker.silences > 0)
        return false;
    if (worker.trust.isSuspended(now) || (worker.trust.isOnTrial() && hasTemporaryRun(worker)))
        return false;
    if (!step.label.empty() && std::ranges::find(worker.about.labels, step.label) == worker.about.labels.end())
        return false;
    auto needed = step.each;
    if (step.fills)
        needed.processors = 0;
    return needed.fitsIn(worker.about.capacity - worker.charged);
}

unsigned runsOfStep(const worker_state& worker, const job_state& job, unsigned step)
{
    return static_cast<unsigned>(std::ranges::count_if(worker.runs, [&](const auto* run) { return run->job == &job && run->step == step; }));
}

std::int64_t idleProcessors(const worker_state& worker)
{
    const auto serving = static_cast<std::int64_t>(static_cast<double>(worker.servingProcessors) * (1 - servingUse));
    return worker.about.capacity.processors - worker.charged.processors + serving - worker.fillProcessors;
}

double placementCost(const worker_state& worker, const step_spec& step, const fill_pressure& pressure)
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(worker.about.capacity.processors, 1));
    double cost = 0;
    if (step.fills) {
        const double idle = static_cast<double>(idleProcessors(worker) - step.each.processors) / capacity;
        const double disturbed = static_cast<double>(worker.servingProcessors) / capacity;
        cost = -idle + disturbed * pressure.of(step.image) * static_cast<double>(step.each.processors) / 1000;
    } else {
        cost = static_cast<double>(worker.charged.processors + step.each.processors) / capacity;
        if (step.lasts)
            cost += static_cast<double>(worker.fillProcessors) / capacity;
    }
    if (!step.rack.empty() && step.rack != worker.about.rack)
        cost += otherRackCost;
    if (worker.trust.isOnTrial())
        cost += trialCost;
    return cost + worker.trust.slowness() - 1;
}

} // namespace camphorsaddle::jobs
