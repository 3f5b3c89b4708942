#include "routing/minion_choice.h"

#include <algorithm>

namespace camphorsaddle::routing {

namespace {

    bool isUsable(const minion_candidate& minion, const std::vector<std::string>& excluded)
    {
        return minion.host.state == model::host_state::Live && minion.inFlight < minion.usableSlots && minion.weight > 0
            && std::find(excluded.begin(), excluded.end(), minion.host.id) == excluded.end();
    }

    // Expected time until a new request is answered: requests in flight times latency. An unknown latency counts as 1 ms,
    // so that a minion without measurements gets requests.
    double expectedWait(const minion_candidate& minion)
    {
        return (minion.inFlight + 1) * std::max(1.0, minion.latency) / minion.weight;
    }

    std::vector<const minion_candidate*> nearestUsableMinions(const std::vector<minion_candidate>& minions, const gateway_location& location, const std::vector<std::string>& excluded, int maximumDistance)
    {
        std::vector<const minion_candidate*> nearest;
        int distance = 0;
        for (const auto& minion : minions) {
            if (!isUsable(minion, excluded))
                continue;
            const int currentDistance = distanceClass(location, minion.host);
            if (currentDistance > maximumDistance)
                continue;
            if (nearest.empty() || currentDistance < distance) {
                nearest.clear();
                distance = currentDistance;
            }
            if (currentDistance == distance)
                nearest.push_back(&minion);
        }
        return nearest;
    }

} // namespace

int distanceClass(const gateway_location& location, const model::host& minion)
{
    if (minion.dataCentre == location.dataCentre)
        return 0;
    const auto ownRegion = location.regions.find(location.dataCentre);
    const auto minionRegion = location.regions.find(minion.dataCentre);
    const bool isSameRegion = ownRegion != location.regions.end() && minionRegion != location.regions.end() && ownRegion->second == minionRegion->second;
    return isSameRegion ? 1 : 2;
}

const minion_candidate* chooseMinion(const std::vector<minion_candidate>& minions, const gateway_location& location,
    const std::vector<std::string>& excluded, random_generator& random, int maximumDistance)
{
    const auto nearest = nearestUsableMinions(minions, location, excluded, maximumDistance);
    if (nearest.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> randomIndex(0, nearest.size() - 1);
    const auto* first = nearest[randomIndex(random)];
    const auto* second = nearest[randomIndex(random)];
    return expectedWait(*second) < expectedWait(*first) ? second : first;
}

} // namespace camphorsaddle::routing
