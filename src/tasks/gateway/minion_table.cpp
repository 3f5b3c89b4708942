#include "tasks/gateway/minion_table.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "utils/hashing.h"

namespace camphorsaddle::routing {

absl::string_view toString(ejection_reason reason)
{
    return reason == ejection_reason::Failures ? "failures" : "slow";
}

} // namespace camphorsaddle::routing

namespace camphorsaddle::tasks {

namespace {

    //! Distance class of the minions in other regions.
    constexpr int linkDistanceClass = 2;
    //! Slots demanded beyond the average in use, as a multiple of its square root.
    constexpr double spareSlotFactor = 1.5;
    //! Weight of the newest count in the moving average of the slots in use.
    constexpr double averageSmoothingFactor = 0.2;

} // namespace

minion_table::minion_table(routing::gateway_location location, double linkBytesPerSecond, utils::time_point now, utils::metric_registry& metrics)
    : m_location(std::move(location))
    , m_link(linkBytesPerSecond, linkBytesPerSecond, now)
    , m_ejected(metrics, "camphorsaddle_gateway_ejected_total")
    , m_linkBytes(metrics.addCounter("camphorsaddle_gateway_link_bytes_total"))
    , m_linkRefused(metrics.addCounter("camphorsaddle_gateway_link_refused_total"))
{
}

bool minion_table::setHosts(const std::vector<model::host>& hosts)
{
    std::map<std::string, service_minions> services;
    std::set<std::string> minionIds;
    for (const auto& host : hosts) {
        if (host.role != model::host_role::Minion)
            continue;
        auto [entry, isNew] = services.try_emplace(host.service);
        if (const auto previous = m_services.find(host.service); isNew && previous != m_services.end()) {
            entry->second.health = previous->second.health;
            entry->second.averageInUse = previous->second.averageInUse;
        }
        const auto* candidate = findCandidate(host.service, host.id);
        entry->second.candidates.push_back(candidate == nullptr ? routing::minion_candidate { host } : *candidate);
        entry->second.candidates.back().host = host;
        entry->second.health.add(host.id);
        m_requesters.try_emplace(host.id, routing::slot_grant_options());
        minionIds.insert(host.id);
    }
    for (auto entry = m_requesters.begin(); entry != m_requesters.end();) {
        const bool isRemoved = minionIds.count(entry->first) == 0;
        for (auto& [name, minions] : services) {
            if (isRemoved)
                minions.health.remove(entry->first);
        }
        entry = isRemoved ? m_requesters.erase(entry) : std::next(entry);
    }
    const bool isServiceCountChanged = services.size() != m_services.size();
    m_services = std::move(services);
    return isServiceCountChanged;
}

void minion_table::refreshCandidates(service_minions& minions, utils::time_point now)
{
    for (auto& candidate : minions.candidates) {
        candidate.usableSlots = m_requesters.at(candidate.host.id).usableSlots(now);
        candidate.weight = minions.health.weight(candidate.host.id, now);
        candidate.latency = minions.health.latency(candidate.host.id);
    }
}

const routing::minion_candidate* minion_table::choose(const std::string& service, const std::vector<std::string>& triedMinions, utils::time_point now,
    routing::random_generator& random)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return nullptr;
    refreshCandidates(found->second, now);
    const auto* chosen = routing::chooseMinion(found->second.candidates, m_location, triedMinions, random);
    if (chosen == nullptr || routing::distanceClass(m_location, chosen->host) < linkDistanceClass)
        return chosen;
    // Bytes are charged when they are transferred, so the link may be used while its balance is not negative.
    if (m_link.tryConsume(0, now))
        return chosen;
    m_linkRefused.add();
    return nullptr;
}

void minion_table::chargeLink(const model::host& minion, std::size_t bytes)
{
    if (routing::distanceClass(m_location, minion) < linkDistanceClass)
        return;
    m_link.consume(static_cast<std::int64_t>(bytes));
    m_linkBytes.add(bytes);
}

bool minion_table::hasMinions(const std::string& service) const
{
    return m_services.count(service) > 0;
}

bool minion_table::isReady(utils::time_point now) const
{
    return m_requesters.empty() || std::any_of(m_requesters.begin(), m_requesters.end(), [now](const auto& entry) { return entry.second.usableSlots(now) > 0; });
}

void minion_table::onSent(const std::string& service, const std::string& minion)
{
    if (auto* candidate = findCandidate(service, minion))
        ++candidate->inFlight;
}

void minion_table::onAttemptEnded(const std::string& service, const std::string& minion)
{
    if (auto* candidate = findCandidate(service, minion))
        --candidate->inFlight;
}

void minion_table::onResponse(const std::string& service, const std::string& minion, utils::milliseconds latency, utils::time_point now)
{
    onAttemptEnded(service, minion);
    const auto found = m_services.find(service);
    routing::ejection_reason reason {};
    if (found != m_services.end() && found->second.health.onResponse(minion, latency, now, reason))
        m_ejected.count(reason);
}

void minion_table::onFailure(const std::string& service, const std::string& minion, utils::time_point now)
{
    onAttemptEnded(service, minion);
    const auto found = m_services.find(service);
    routing::ejection_reason reason {};
    if (found != m_services.end() && found->second.health.onFailure(minion, now, reason))
        m_ejected.count(reason);
}

void minion_table::onLeaving(const std::string& service, const std::string& minion, utils::time_point now)
{
    onAttemptEnded(service, minion);
    if (const auto found = m_services.find(service); found != m_services.end())
        found->second.health.onLeaving(minion, now);
}

int minion_table::nearestDistance(const service_minions& minions) const
{
    int nearest = linkDistanceClass;
    for (const auto& candidate : minions.candidates) {
        if (candidate.host.state == model::host_state::Live && candidate.weight > 0)
            nearest = std::min(nearest, routing::distanceClass(m_location, candidate.host));
    }
    return nearest;
}

// Demands at least one slot of each minion in this gateway's region, so that a first request doesn't have to wait.
std::vector<std::pair<model::host, routing::slot_demand>> minion_table::nextDemands(const std::map<std::string, std::size_t>& waiting, utils::time_point now)
{
    std::vector<std::pair<model::host, routing::slot_demand>> demands;
    for (auto& [service, minions] : m_services) {
        refreshCandidates(minions, now);
        const auto queued = waiting.find(service);
        double inUse = queued == waiting.end() ? 0 : static_cast<double>(queued->second);
        for (const auto& candidate : minions.candidates)
            inUse += candidate.inFlight;
        minions.averageInUse += averageSmoothingFactor * (inUse - minions.averageInUse);
        const int nearest = nearestDistance(minions);
        const auto nearestCount = std::count_if(minions.candidates.begin(), minions.candidates.end(), [&](const auto& candidate) { return routing::distanceClass(m_location, candidate.host) == nearest; });
        const double slotsPerMinion = (minions.averageInUse + spareSlotFactor * std::sqrt(minions.averageInUse)) / std::max<double>(1, static_cast<double>(nearestCount));
        for (const auto& candidate : minions.candidates) {
            const int distance = routing::distanceClass(m_location, candidate.host);
            const int minimumSlots = distance < linkDistanceClass || nearest == linkDistanceClass ? 1 : 0;
            const int wanted = distance == nearest ? std::min(candidate.host.slots, static_cast<int>(std::ceil(slotsPerMinion))) : minimumSlots;
            demands.emplace_back(candidate.host, m_requesters.at(candidate.host.id).makeDemand(candidate.inFlight, std::max(minimumSlots, wanted), now));
        }
    }
    return demands;
}

bool minion_table::acceptGrant(const std::string& minion, const routing::slot_grant& grant, utils::time_point now)
{
    const auto found = m_requesters.find(minion);
    return found != m_requesters.end() && found->second.acceptGrant(grant, now);
}

routing::minion_candidate* minion_table::findCandidate(const std::string& service, const std::string& minion)
{
    const auto minions = m_services.find(service);
    if (minions == m_services.end())
        return nullptr;
    auto& candidates = minions->second.candidates;
    const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const routing::minion_candidate& candidate) { return candidate.host.id == minion; });
    return found == candidates.end() ? nullptr : &*found;
}

} // namespace camphorsaddle::tasks
