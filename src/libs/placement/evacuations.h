#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief Age of the last complete listing of the evacuation requests beyond which no task is started.
//!
//! One listing may time out (2 s) and the next two may start late (1 s each) before starts are suspended.
inline constexpr utils::milliseconds maximumEvacuationListingAge { 5000 };

enum class evacuation_knowledge {
    //! There was no complete listing yet, or the last one is too old; nothing may be started.
    Unknown,
    //! No data centre is under evacuation.
    Empty,
    //! At least one data centre is under evacuation.
    Known,
};

std::string_view toString(evacuation_knowledge knowledge);

//! \brief The data centres under evacuation according to the last complete listing of the requests.
class evacuations {
public:
    //! \brief Replaces the set by a complete listing that was requested at \a sentAt and received at \a now.
    void setListing(const std::set<std::string>& dataCentres, utils::time_point sentAt, utils::time_point now);

    evacuation_knowledge knowledge(utils::time_point now) const;

    //! \brief Whether the last complete listing, of any age, has the data centre.
    bool isEvacuated(const std::string& dataCentre) const
    {
        return m_knownSince.contains(dataCentre);
    }

    //! \brief Whether a task may be started on a worker in the data centre.
    bool allowsStarts(const std::string& dataCentre, utils::time_point now) const
    {
        return knowledge(now) != evacuation_knowledge::Unknown && !isEvacuated(dataCentre);
    }

    //! \brief Data centres under evacuation with the time since which each has been known without interruption.
    const std::map<std::string, utils::time_point>& knownSince() const
    {
        return m_knownSince;
    }

    //! \brief Time at which the last listing becomes too old; the first value of the clock before the first listing.
    utils::time_point knownUntil() const;

private:
    std::optional<utils::time_point> m_listedAt;
    std::map<std::string, utils::time_point> m_knownSince;
};

} // namespace camphorsaddle::placement
