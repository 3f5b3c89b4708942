#pragma once

#include <vector>

#include "jobs/interference_model.h"

namespace camphorsaddle::jobs {

//! \brief Number of service tasks on a worker that each best-effort image would interfere with, by image.
using blocker_counts = std::vector<unsigned>;

//! \brief Computes which share of the best-effort demand the service tasks on a worker block, and how moves change it.
//!
//! The first service task that a best-effort image interferes with blocks the largest part of that image's work on the
//! worker, each further one blocks less. The cost is therefore a concave function of the count, so that moving a
//! service task to a worker with more tasks of its kind always reduces the blocked demand.
class blocked_demand_model {
public:
    //! \brief Sets the best-effort demand by image, in any unit.
    void setDemand(std::vector<double> demand);

    //! \brief Share of the demand that is blocked on a worker with these counts, 0 to 1.
    double blockedShare(const blocker_counts& counts) const;
    //! \brief Share of the demand that one more service task with these antagonists blocks.
    double costOfAdding(const blocker_counts& counts, const std::vector<image_index>& antagonists) const;
    //! \brief The same for a service task with one antagonist.
    double costOfAdding(const blocker_counts& counts, image_index antagonist) const;
    //! \brief Share of the demand that is unblocked when one service task with these antagonists leaves.
    double gainOfRemoving(const blocker_counts& counts, const std::vector<image_index>& antagonists) const;
    double gainOfRemoving(const blocker_counts& counts, image_index antagonist) const;
    //! \brief Share of the demand that is unblocked when two service tasks swap their workers; \a left and \a right are
    //! their antagonists.
    double gainOfSwapping(const blocker_counts& leftCounts, const std::vector<image_index>& left, const blocker_counts& rightCounts, const std::vector<image_index>& right) const;

private:
    double demandOf(image_index image) const;

    std::vector<double> m_demand;
};

void addBlockers(blocker_counts& counts, const std::vector<image_index>& antagonists);
void removeBlockers(blocker_counts& counts, const std::vector<image_index>& antagonists);

} // namespace camphorsaddle::jobs
