#include "jobs/best_effort_capacity.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // Reports of one image's tasks arrive a few times a second, and the load of a service swings within some tens of seconds.
    constexpr double newestSampleWeight = 0.005;
    // Headroom at which pacing stops slowing down best-effort runs. A task that leaves less would be slowed down at once.
    constexpr double strictHeadroom = 1.4;
    // Headroom below which pacing slows down best-effort runs.
    constexpr double backlogHeadroom = 1.15;
    // The service tasks beside may miss their targets until pacing reacts.
    constexpr double relaxedHeadroom = 0.7;
    constexpr utils::milliseconds relaxedPlacementDelay { 1500 };
    // Best-effort jobs of this age have usually missed their deadlines. It bounds the wait of an image that fits beside no service.
    constexpr utils::milliseconds backlogPlacementDelay { 20'000 };
    // Share of the requested processors below which the fleet counts as underused.
    constexpr double underusedLoad = 0.5;
    // Workers report the mean usage of the last half second.
    constexpr utils::milliseconds usageInterval { 600 };

} // namespace

mean_headroom updateMeanHeadroom(const mean_headroom& known, double headroomAlone)
{
    if (headroomAlone <= 0)
        return known;
    return { known.value <= 0 ? headroomAlone : known.value + newestSampleWeight * (headroomAlone - known.value) };
}

double serviceUtilization(const mean_headroom& mean, double headroomAlone)
{
    if (mean.value <= 0 || headroomAlone <= 0)
        return meanServiceUtilization;
    return std::clamp(1 - (1 - meanServiceUtilization) * headroomAlone / mean.value, 0.0, 1.0);
}

std::int64_t occupiedProcessors(std::int64_t requested, std::int64_t reportedUsage, utils::milliseconds atFullPace)
{
    return reportedUsage <= 0 || atFullPace < usageInterval ? requested : std::min(requested, reportedUsage);
}

placement_requirement requirementFor(utils::milliseconds waited, double load)
{
    if (load < underusedLoad)
        return waited < relaxedPlacementDelay ? placement_requirement { strictHeadroom, true } : placement_requirement { relaxedHeadroom, false };
    return { waited < backlogPlacementDelay ? strictHeadroom : backlogHeadroom, true };
}

} // namespace camphorsaddle::jobs
