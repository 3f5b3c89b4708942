#include "jobs/blocked_demand_model.h"

#include <algorithm>
#include <array>

namespace camphorsaddle::jobs {

namespace {

    // Each further service task that an image interferes with multiplies the share of the image's demand that may still
    // run on the worker by this factor.
    constexpr double openShareFactor = 0.6;
    constexpr unsigned tableSize = 24;

    double blockedShareOf(unsigned count)
    {
        static const auto closed = [] {
            std::array<double, tableSize> table {};
            double open = 1;
            for (auto& entry : table) {
                entry = 1 - open;
                open *= openShareFactor;
            }
            return table;
        }();
        return closed[std::min(count, tableSize - 1)];
    }

    unsigned countOf(const blocker_counts& counts, image_index image)
    {
        return image < counts.size() ? counts[image] : 0;
    }

} // namespace

void addBlockers(blocker_counts& counts, const std::vector<image_index>& antagonists)
{
    for (const auto image : antagonists) {
        if (counts.size() <= image)
            counts.resize(image + 1, 0);
        ++counts[image];
    }
}

void removeBlockers(blocker_counts& counts, const std::vector<image_index>& antagonists)
{
    for (const auto image : antagonists) {
        if (image < counts.size() && counts[image] > 0)
            --counts[image];
    }
}

void blocked_demand_model::setDemand(std::vector<double> demand)
{
    double sum = 0;
    for (const double part : demand)
        sum += part;
    for (double& part : demand)
        part = sum > 0 ? part / sum : 0;
    m_demand = std::move(demand);
}

double blocked_demand_model::demandOf(image_index image) const
{
    return image < m_demand.size() ? m_demand[image] : 0;
}

double blocked_demand_model::blockedShare(const blocker_counts& counts) const
{
    double sum = 0;
    for (image_index image = 0; image < counts.size(); ++image)
        sum += demandOf(image) * blockedShareOf(counts[image]);
    return sum;
}

double blocked_demand_model::costOfAdding(const blocker_counts& counts, image_index antagonist) const
{
    const unsigned count = countOf(counts, antagonist);
    return demandOf(antagonist) * (blockedShareOf(count + 1) - blockedShareOf(count));
}

double blocked_demand_model::costOfAdding(const blocker_counts& counts, const std::vector<image_index>& antagonists) const
{
    double sum = 0;
    for (const auto image : antagonists)
        sum += costOfAdding(counts, image);
    return sum;
}

double blocked_demand_model::gainOfRemoving(const blocker_counts& counts, image_index antagonist) const
{
    const unsigned count = countOf(counts, antagonist);
    return count > 0 ? demandOf(antagonist) * (blockedShareOf(count) - blockedShareOf(count - 1)) : 0;
}

double blocked_demand_model::gainOfRemoving(const blocker_counts& counts, const std::vector<image_index>& antagonists) const
{
    double sum = 0;
    for (const auto image : antagonists)
        sum += gainOfRemoving(counts, image);
    return sum;
}

double blocked_demand_model::gainOfSwapping(const blocker_counts& leftCounts, const std::vector<image_index>& left, const blocker_counts& rightCounts, const std::vector<image_index>& right) const
{
    // An image that both tasks block is blocked on both workers before and after.
    const auto gainOfReplacing = [&](const blocker_counts& counts, const std::vector<image_index>& leaving, const std::vector<image_index>& coming) {
        double gain = 0;
        for (const auto image : leaving) {
            if (std::ranges::find(coming, image) == coming.end())
                gain += gainOfRemoving(counts, image);
        }
        for (const auto image : coming) {
            if (std::ranges::find(leaving, image) == leaving.end())
                gain -= costOfAdding(counts, image);
        }
        return gain;
    };
    return gainOfReplacing(leftCounts, left, right) + gainOfReplacing(rightCounts, right, left);
}

} // namespace camphorsaddle::jobs
