#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "model/host.h"

namespace camphorsaddle::routing {

using random_generator = std::mt19937_64;

//! \brief Data centre of a gateway, and the region of each data centre.
struct gateway_location {
    std::string dataCentre;
    //! Region by data centre.
    std::map<std::string, std::string> regions;

    auto operator<=>(const gateway_location&) const = default;
};

//! \brief State of a minion as one gateway knows it.
struct minion_candidate {
    model::host host;
    //! Requests of this gateway that the minion has not answered yet.
    int inFlight = 0;
    //! Maximum of inFlight up to which this gateway may send new requests.
    int usableSlots = 0;
    //! 0 excludes the minion; values below 1 reduce its load after an ejection.
    double weight = 1;
    //! Moving average of the latency in ms; 0 if unknown.
    double latency = 0;

    auto operator<=>(const minion_candidate&) const = default;
};

//! \brief Distance class of a minion: 0 for the same data centre, 1 for the same region, 2 for another region.
int distanceClass(const gateway_location& location, const model::host& minion);

//! \brief Chooses the less loaded of two random minions among the nearest ones that have a free slot.
//!
//! Ignores the \a excluded minions, and those that are leaving, have weight 0 or are in a distance class above
//! \a maximumDistance. Returns null if no minion is left.
const minion_candidate* chooseMinion(const std::vector<minion_candidate>& minions, const gateway_location& location,
    const std::vector<std::string>& excluded, random_generator& random, int maximumDistance = 2);

} // namespace camphorsaddle::routing
