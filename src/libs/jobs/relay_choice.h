#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorsaddle::jobs {

//! \brief A daemon that forwards the leader's orders to workers.
struct relay_daemon {
    std::string endpoint;
    std::string dataCentre;
    //! Capacity relative to the other relays; greater than 0.
    double weight = 1;
    //! It can send orders with other fencing tokens than the leader's term; false for a daemon of an older version.
    bool addsFenceRaise = false;

    auto operator<=>(const relay_daemon&) const = default;
};

//! \brief Chooses the daemon that forwards orders to a worker, preferably one in the worker's data centre.
//!
//! Weighted rendezvous hashing: the choice is stable, and the loss of a daemon reassigns only the workers that it
//! served. Returns nullopt if \a relays is empty.
std::optional<relay_daemon> chooseRelay(const std::vector<relay_daemon>& relays, const std::string& worker, const std::string& dataCentre);

//! \brief Selects the relays for the workers of a data centre, preferably ones in that data centre.
//!
//! Returns few relays, since the leader's cost grows with the number of messages and each relay gets messages of its own. Weighted
//! rendezvous hashing: when a selected relay is lost, one other takes its place.
std::vector<relay_daemon> selectRelays(const std::vector<relay_daemon>& relays, std::size_t workerCount, const std::string& dataCentre);

} // namespace camphorsaddle::jobs
