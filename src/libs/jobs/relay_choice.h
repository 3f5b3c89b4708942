#pragma once

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

    auto operator<=>(const relay_daemon&) const = default;
};

//! \brief Chooses the daemon that forwards orders to a worker, preferably one in the worker's data centre.
//!
//! Weighted rendezvous hashing: the choice is stable, and the loss of a daemon reassigns only the workers that it
//! served. Returns nullopt if \a relays is empty.
std::optional<relay_daemon> chooseRelay(const std::vector<relay_daemon>& relays, const std::string& worker, const std::string& dataCentre);

} // namespace camphorsaddle::jobs
