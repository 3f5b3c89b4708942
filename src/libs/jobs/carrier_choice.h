#pragma once

#include <optional>
#include <string>
#include <vector>

namespace camphorsaddle::jobs {

//! \brief A daemon that can carry orders to workers.
struct carrier {
    std::string endpoint;
    std::string dataCentre;
    //! Share of the orders that it can carry, against others; above 0.
    double weight = 1;

    auto operator<=>(const carrier&) const = default;
};

//! \brief The carrier for a worker: one of its own data centre if there is any, the same for as long as it lives.
//!
//! Weighted rendezvous hashing, so that the end of a carrier moves only its own workers. None without carriers.
std::optional<carrier> chooseCarrier(const std::vector<carrier>& carriers, const std::string& worker, const std::string& dataCentre);

} // namespace camphorsaddle::jobs
