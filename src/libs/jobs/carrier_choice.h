#pragma once

#include <optional>
#include <string>
#include <vector>

namespace camphorsaddle::jobs {

//! \brief A daemon that can carry orders to workers.
struct relay_daemon {
    std::string endpoint;
    std::string dataCentre;
    //! Share of the orders that it can carry, against others; above 0.
    double weight = 1;

    auto operator<=>(const relay_daemon&) const = default;
};

//! \brief The carrier for a worker: one of its own data centre if there is any, the same for as long as it lives.
//!
//! Weighted rendezvous hashing, so that the end of a carrier moves only its own workers. None without carriers.
std::optional<relay_daemon> chooseRelay(const std::vector<relay_daemon>& carriers, const std::string& worker, const std::string& dataCentre);

} // namespace camphorsaddle::jobs
