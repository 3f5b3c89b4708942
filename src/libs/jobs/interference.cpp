#include "jobs/interference.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // Most pairs lose less than 1 for the whole worker, a few ten times as much: the first samples decide.
    constexpr double unknownPressure = 3.0;
    constexpr double unknownVariance = 36.0;
    constexpr double leastVariance = 0.5;
    constexpr double highestPressure = 60.0;
    // An image is sensitive or heavy when one of its pairs is known to cost this much: 0.4 of the headroom for a tenth
    // of the worker.
    constexpr double strongPressure = 4.0;
    constexpr double knownVariance = 12.0;
    // Swing of the serving task's own load between two samples (standard deviation 0.4).
    constexpr double sampleVariance = 0.16;
    // Samples further apart differ by more than that.
    constexpr utils::milliseconds longestGap { 1300 };
    // Near the target and beyond it the tail is bounded by what was waiting, so that a drop is only a lower bound.
    constexpr double saturatedHeadroom = 0.5;

} // namespace

interference_model::estimate& interference_model::estimateOf(const std::string& serving, const std::string& fill)
{
    return m_estimates.try_emplace({ serving, fill }, estimate { unknownPressure, unknownVariance }).first->second;
}

double interference_model::pressure(const std::string& serving, const std::string& fill) const
{
    const auto known = m_estimates.find({ serving, fill });
    return known == m_estimates.end() ? unknownPressure : known->second.mean;
}

double interference_model::highestPressureOf(const std::string& image, bool isFill) const
{
    double highest = 0;
    for (const auto& [pair, known] : m_estimates) {
        if ((isFill ? pair.second : pair.first) == image && known.variance < knownVariance)
            highest = std::max(highest, known.mean);
    }
    return highest;
}

bool interference_model::isSensitive(const std::string& serving) const
{
    return highestPressureOf(serving, false) > strongPressure;
}

bool interference_model::isHeavy(const std::string& fill) const
{
    return highestPressureOf(fill, true) > strongPressure;
}

double interference_model::loss(const std::string& serving, const fill_use& use) const
{
    double sum = 0;
    for (const auto& [image, share] : use)
        sum += pressure(serving, image) * share;
    return sum;
}

void interference_model::learn(const std::string& serving, const serving_sample& before, const serving_sample& after)
{
    if (before.headroom <= 0 || after.headroom <= 0 || after.at - before.at > longestGap)
        return;
    fill_use change = after.use;
    for (const auto& [image, share] : before.use)
        change[image] -= share;
    double predicted = 0;
    double variance = sampleVariance;
    for (const auto& [image, share] : change) {
        const auto& known = estimateOf(serving, image);
        predicted += known.mean * share;
        variance += known.variance * share * share;
    }
    const double error = before.headroom - after.headroom - predicted;
    // A drop into saturation shows at least its size, a rise out of it at most.
    if ((after.headroom < saturatedHeadroom && error < 0) || (before.headroom < saturatedHeadroom && error > 0))
        return;
    for (const auto& [image, share] : change) {
        auto& known = estimateOf(serving, image);
        const double gain = known.variance * share / variance;
        known.mean = std::clamp(known.mean + gain * error, 0.0, highestPressure);
        known.variance = std::max(known.variance * (1 - gain * share), leastVariance);
    }
}

} // namespace camphorsaddle::jobs
