#include "jobs/interference_model.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // For most pairs the pressure is below 1 for the whole worker, for a few it is ten times as much. The high initial
    // variance lets the first samples determine the estimate.
    constexpr double initialPressure = 3.0;
    constexpr double initialVariance = 36.0;
    constexpr double minimumVariance = 0.5;
    constexpr double maximumPressure = 60.0;
    // Share by which the minimum approaches the current headroom with each sample. At two samples a second the minimum
    // lasts about as long as a load fluctuation, ten to twenty seconds.
    constexpr double minimumHeadroomRecoveryRate = 0.04;
    // A best-effort image is an antagonist from this pressure on, a headroom loss of 0.4 for a tenth of the worker, if
    // the variance of the estimate is below the limit.
    constexpr double antagonistPressure = 4.0;
    constexpr double antagonistVarianceLimit = 12.0;
    // Variance of the headroom due to the service's own load between two samples (standard deviation 0.4).
    constexpr double sampleNoiseVariance = 0.16;
    // Samples further apart vary by more than sampleNoiseVariance.
    constexpr utils::milliseconds maximumSampleInterval { 1300 };
    // Below this headroom the queue of waiting requests limits the tail latency, so that a measured drop is only a
    // lower bound of the loss.
    constexpr double saturatedHeadroom = 0.5;

} // namespace

void addUsage(best_effort_usage& usage, image_index image, double share)
{
    if (usage.size() <= image)
        usage.resize(image + 1, 0);
    usage[image] += share;
}

image_index interference_model::indexOf(const std::string& image)
{
    return m_indexes.try_emplace(image, static_cast<image_index>(m_indexes.size())).first->second;
}

interference_model::estimate& interference_model::estimateOf(image_index serviceImage, image_index bestEffortImage)
{
    if (m_estimates.size() <= serviceImage)
        m_estimates.resize(serviceImage + 1);
    auto& row = m_estimates[serviceImage];
    if (row.size() <= bestEffortImage)
        row.resize(bestEffortImage + 1, { initialPressure, initialVariance });
    return row[bestEffortImage];
}

double interference_model::pressure(image_index serviceImage, image_index bestEffortImage) const
{
    const bool isKnown = serviceImage < m_estimates.size() && bestEffortImage < m_estimates[serviceImage].size();
    return isKnown ? m_estimates[serviceImage][bestEffortImage].mean : initialPressure;
}

double interference_model::headroomLoss(image_index serviceImage, const best_effort_usage& usage) const
{
    double sum = 0;
    for (image_index image = 0; image < usage.size(); ++image) {
        if (usage[image] > 0)
            sum += pressure(serviceImage, image) * usage[image];
    }
    return sum;
}

latency_sample interference_model::nextSample(image_index serviceImage, const latency_sample& before, double headroom, best_effort_usage usage, utils::time_point now) const
{
    latency_sample sample { headroom, std::move(usage), now, 0, {} };
    if (headroom < 1)
        sample.targetMissedSince = before.headroom > 0 && before.headroom < 1 && before.targetMissedSince != utils::time_point() ? before.targetMissedSince : now;
    // Requests still waiting keep the tail latency high after the best-effort tasks have ended. A sample below 1
    // therefore doesn't show the headroom without them.
    const double headroomAlone = headroom < 1 ? 0 : headroom + headroomLoss(serviceImage, sample.usage);
    sample.minimumHeadroomAlone = before.minimumHeadroomAlone;
    if (headroomAlone > 0)
        sample.minimumHeadroomAlone = before.minimumHeadroomAlone <= 0 ? headroomAlone : std::min(headroomAlone, before.minimumHeadroomAlone + minimumHeadroomRecoveryRate * (headroomAlone - before.minimumHeadroomAlone));
    return sample;
}

const std::vector<image_index>& interference_model::antagonists(image_index serviceImage) const
{
    static const std::vector<image_index> none;
    return serviceImage < m_antagonists.size() ? m_antagonists[serviceImage] : none;
}

std::vector<learned_pressure> interference_model::learnedPressures() const
{
    std::vector<std::string> names(m_indexes.size());
    for (const auto& [name, image] : m_indexes)
        names[image] = name;
    std::vector<learned_pressure> result;
    for (image_index serviceImage = 0; serviceImage < m_estimates.size(); ++serviceImage) {
        for (image_index bestEffortImage = 0; bestEffortImage < m_estimates[serviceImage].size(); ++bestEffortImage) {
            const auto& known = m_estimates[serviceImage][bestEffortImage];
            if (known.variance < initialVariance)
                result.push_back({ names[serviceImage], names[bestEffortImage], known.mean, known.variance });
        }
    }
    return result;
}

void interference_model::restorePressures(const std::vector<learned_pressure>& pressures)
{
    for (const auto& entry : pressures) {
        auto& known = estimateOf(indexOf(entry.serviceImage), indexOf(entry.bestEffortImage));
        known.mean = std::clamp(entry.mean, 0.0, maximumPressure);
        known.variance = std::clamp(entry.variance, minimumVariance, initialVariance);
    }
}

void interference_model::refreshAntagonists()
{
    m_antagonists.assign(m_indexes.size(), {});
    for (image_index serviceImage = 0; serviceImage < m_estimates.size(); ++serviceImage) {
        for (image_index bestEffortImage = 0; bestEffortImage < m_estimates[serviceImage].size(); ++bestEffortImage) {
            const auto& known = m_estimates[serviceImage][bestEffortImage];
            if (known.variance < antagonistVarianceLimit && known.mean > antagonistPressure)
                m_antagonists[serviceImage].push_back(bestEffortImage);
        }
    }
}

mean_headroom interference_model::meanHeadroomAlone(image_index serviceImage) const
{
    return serviceImage < m_meanHeadrooms.size() ? m_meanHeadrooms[serviceImage] : mean_headroom {};
}

void interference_model::updateEstimates(image_index serviceImage, const latency_sample& before, const latency_sample& after)
{
    if (after.headroom >= 1) {
        if (m_meanHeadrooms.size() <= serviceImage)
            m_meanHeadrooms.resize(serviceImage + 1);
        m_meanHeadrooms[serviceImage] = updateMeanHeadroom(m_meanHeadrooms[serviceImage], after.headroom + headroomLoss(serviceImage, after.usage));
    }
    if (before.headroom <= 0 || after.headroom <= 0 || after.at - before.at > maximumSampleInterval)
        return;
    best_effort_usage change = after.usage;
    for (image_index image = 0; image < before.usage.size(); ++image)
        addUsage(change, image, -before.usage[image]);
    double predicted = 0;
    double variance = sampleNoiseVariance;
    bool hasChanged = false;
    for (image_index image = 0; image < change.size(); ++image) {
        const double share = change[image];
        if (share == 0)
            continue;
        hasChanged = true;
        const auto& known = estimateOf(serviceImage, image);
        predicted += known.mean * share;
        variance += known.variance * share * share;
    }
    const double error = before.headroom - after.headroom - predicted;
    // A drop into saturation measures a lower bound of the loss, a rise from below the target an upper bound.
    const bool isBound = (after.headroom < saturatedHeadroom && error < 0) || (before.headroom < 1 && error > 0);
    if (!hasChanged || isBound)
        return;
    for (image_index image = 0; image < change.size(); ++image) {
        const double share = change[image];
        if (share == 0)
            continue;
        auto& known = estimateOf(serviceImage, image);
        const double gain = known.variance * share / variance;
        known.mean = std::clamp(known.mean + gain * error, 0.0, maximumPressure);
        known.variance = std::max(known.variance * (1 - gain * share), minimumVariance);
    }
}

} // namespace camphorsaddle::jobs
