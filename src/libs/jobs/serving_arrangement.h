#pragma once

#include <vector>

#include "jobs/interference.h"

namespace camphorsaddle::jobs {

//! \brief Number of tasks on a worker that serve and suffer from an image that fills, by that image.
using blocker_counts = std::vector<unsigned>;

//! \brief How much of the work that fills is kept from a worker, and what one task that serves changes in it.
//!
//! A worker is closed to an image that fills by the first server that suffers from it; more such servers close nothing
//! else. The cost of a count is therefore concave, so that moving a server to where its like are always pays.
class serving_arrangement {
public:
    //! \brief Share of each image in the demand of the work that fills.
    void setDemand(std::vector<double> demand);

    //! \brief Demand that is kept from a worker with these counts, 0 to 1.
    double blocked(const blocker_counts& counts) const;
    //! \brief Demand that one more server with these enemies keeps away.
    double costOfAdding(const blocker_counts& counts, const std::vector<image_number>& enemies) const;
    //! \brief Demand that comes back when one server with these enemies leaves.
    double gainOfRemoving(const blocker_counts& counts, const std::vector<image_number>& enemies) const;

    //! \brief Demand that comes back when two servers change places.
    double gainOfSwapping(const blocker_counts& leftCounts, const std::vector<image_number>& left, const blocker_counts& rightCounts, const std::vector<image_number>& right) const;

private:
    double demandOf(image_number image) const;

    std::vector<double> m_demand;
};

void addBlockers(blocker_counts& counts, const std::vector<image_number>& enemies);
void removeBlockers(blocker_counts& counts, const std::vector<image_number>& enemies);

} // namespace camphorsaddle::jobs
