#include "jobs/evacuations.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // An evacuation may wait for a run that ends within this time. The users' best-effort runs last up to 9.9 s and most others seconds.
    constexpr utils::milliseconds toleratedStay { 10'000 };
    // A stop takes up to 0.4 s, its report 0.5 s and a start 0.65 s; the rest is for the restoration of the checkpoint.
    constexpr utils::milliseconds moveTime { 2000 };

} // namespace

bool isMoveCheaper(const run_departure& departure)
{
    return departure.remaining - toleratedStay > departure.sinceCheckpoint + moveTime;
}

void evacuations::setRequested(const std::set<std::string>& dataCentres, utils::time_point now)
{
    std::erase_if(m_requested, [&](const auto& entry) { return !dataCentres.contains(entry.first); });
    for (const auto& dataCentre : dataCentres)
        m_requested.try_emplace(dataCentre, now);
}

void evacuations::confirm(utils::time_point at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
}

evacuation_knowledge evacuations::knowledge() const
{
    if (m_confirmedAt == utils::time_point())
        return evacuation_knowledge::Unknown;
    return m_requested.empty() ? evacuation_knowledge::Empty : evacuation_knowledge::Known;
}

bool evacuations::isRecent(utils::time_point now, utils::milliseconds maximumAge) const
{
    return knowledge() != evacuation_knowledge::Unknown && now <= m_confirmedAt + maximumAge;
}

bool evacuations::contains(const std::string& dataCentre) const
{
    return m_requested.contains(dataCentre);
}

const std::map<std::string, utils::time_point>& evacuations::requested() const
{
    return m_requested;
}

utils::time_point evacuations::confirmedAt() const
{
    return m_confirmedAt;
}

} // namespace camphorsaddle::jobs
