#include "placement/evacuations.h"

#include <utility>

namespace camphorsaddle::placement {

std::string_view toString(evacuation_knowledge knowledge)
{
    switch (knowledge) {
    case evacuation_knowledge::Empty:
        return "empty";
    case evacuation_knowledge::Known:
        return "known";
    case evacuation_knowledge::Unknown:
        break;
    }
    return "unknown";
}

void evacuations::setListing(const std::set<std::string>& dataCentres, utils::time_point sentAt, utils::time_point now)
{
    const auto previous = std::exchange(m_knownSince, {});
    for (const auto& dataCentre : dataCentres) {
        const auto found = previous.find(dataCentre);
        m_knownSince[dataCentre] = found == previous.end() ? now : found->second;
    }
    m_listedAt = sentAt;
}

evacuation_knowledge evacuations::knowledge(utils::time_point now) const
{
    if (!m_listedAt || now >= knownUntil())
        return evacuation_knowledge::Unknown;
    return m_knownSince.empty() ? evacuation_knowledge::Empty : evacuation_knowledge::Known;
}

utils::time_point evacuations::knownUntil() const
{
    return m_listedAt ? *m_listedAt + maximumEvacuationListingAge : utils::time_point();
}

} // namespace camphorsaddle::placement
