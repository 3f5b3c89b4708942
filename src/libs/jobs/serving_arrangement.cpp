#include "jobs/serving_arrangement.h"

#include <algorithm>
#include <array>

namespace camphorsaddle::jobs {

namespace {

    // Part of an image's demand that may still come to a worker after each further server that suffers from it.
    constexpr double openAfterEach = 0.6;
    constexpr unsigned tabulated = 24;

    double closedBy(unsigned count)
    {
        static const auto closed = [] {
            std::array<double, tabulated> table {};
            double open = 1;
            for (auto& entry : table) {
                entry = 1 - open;
                open *= openAfterEach;
            }
            return table;
        }();
        return closed[std::min(count, tabulated - 1)];
    }

    unsigned countOf(const blocker_counts& counts, image_number image)
    {
        return image < counts.size() ? counts[image] : 0;
    }

} // namespace

void addBlockers(blocker_counts& counts, const std::vector<image_number>& enemies)
{
    for (const auto image : enemies) {
        if (counts.size() <= image)
            counts.resize(image + 1, 0);
        ++counts[image];
    }
}

void removeBlockers(blocker_counts& counts, const std::vector<image_number>& enemies)
{
    for (const auto image : enemies) {
        if (image < counts.size() && counts[image] > 0)
            --counts[image];
    }
}

void serving_arrangement::setDemand(std::vector<double> demand)
{
    double sum = 0;
    for (const double part : demand)
        sum += part;
    for (double& part : demand)
        part = sum > 0 ? part / sum : 0;
    m_demand = std::move(demand);
}

double serving_arrangement::demandOf(image_number image) const
{
    return image < m_demand.size() ? m_demand[image] : 0;
}

double serving_arrangement::blocked(const blocker_counts& counts) const
{
    double sum = 0;
    for (image_number image = 0; image < counts.size(); ++image)
        sum += demandOf(image) * closedBy(counts[image]);
    return sum;
}

double serving_arrangement::costOfAdding(const blocker_counts& counts, const std::vector<image_number>& enemies) const
{
    double sum = 0;
    for (const auto image : enemies) {
        const unsigned count = countOf(counts, image);
        sum += demandOf(image) * (closedBy(count + 1) - closedBy(count));
    }
    return sum;
}

double serving_arrangement::gainOfRemoving(const blocker_counts& counts, const std::vector<image_number>& enemies) const
{
    double sum = 0;
    for (const auto image : enemies) {
        const unsigned count = countOf(counts, image);
        if (count > 0)
            sum += demandOf(image) * (closedBy(count) - closedBy(count - 1));
    }
    return sum;
}

double serving_arrangement::gainOfSwapping(const blocker_counts& leftCounts, const std::vector<image_number>& left, const blocker_counts& rightCounts, const std::vector<image_number>& right) const
{
    auto leftRest = leftCounts;
    auto rightRest = rightCounts;
    removeBlockers(leftRest, left);
    removeBlockers(rightRest, right);
    return costOfAdding(leftRest, left) + costOfAdding(rightRest, right) - costOfAdding(leftRest, right) - costOfAdding(rightRest, left);
}

} // namespace camphorsaddle::jobs
