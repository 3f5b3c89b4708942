#include "jobs/interference.h"

#include <algorithm>

namespace camphorsaddle::jobs {

namespace {

    // Most pairs lose less than 1 for the whole worker, a few ten times as much: the first samples decide.
    constexpr double unknownPressure = 3.0;
    constexpr double unknownVariance = 36.0;
    constexpr double leastVariance = 0.5;
    constexpr double highestPressure = 60.0;
    // The worst of a swing of ten to twenty seconds is remembered for about as long, at two samples a second.
    constexpr double worstRecovery = 0.04;
    // Two images are enemies when the pair is known to cost this much: 0.4 of the headroom for a tenth of the worker.
    constexpr double strongPressure = 4.0;
    constexpr double knownVariance = 12.0;
    // Swing of the serving task's own load between two samples (standard deviation 0.4).
    constexpr double sampleVariance = 0.16;
    // Samples further apart differ by more than that.
    constexpr utils::milliseconds longestGap { 1300 };
    // Near the target and beyond it the tail is bounded by what was waiting, so that a drop is only a lower bound.
    constexpr double saturatedHeadroom = 0.5;

} // namespace

void addUse(fill_use& use, image_number image, double share)
{
    if (use.size() <= image)
        use.resize(image + 1, 0);
    use[image] += share;
}

image_number interference_model::number(const std::string& image)
{
    return m_numbers.try_emplace(image, static_cast<image_number>(m_numbers.size())).first->second;
}

interference_model::estimate& interference_model::estimateOf(image_number serving, image_number fill)
{
    if (m_estimates.size() <= serving)
        m_estimates.resize(serving + 1);
    auto& row = m_estimates[serving];
    if (row.size() <= fill)
        row.resize(fill + 1, { unknownPressure, unknownVariance });
    return row[fill];
}

double interference_model::pressure(image_number serving, image_number fill) const
{
    const bool isKnown = serving < m_estimates.size() && fill < m_estimates[serving].size();
    return isKnown ? m_estimates[serving][fill].mean : unknownPressure;
}

double interference_model::loss(image_number serving, const fill_use& use) const
{
    double sum = 0;
    for (image_number image = 0; image < use.size(); ++image) {
        if (use[image] > 0)
            sum += pressure(serving, image) * use[image];
    }
    return sum;
}

serving_sample interference_model::follow(image_number serving, const serving_sample& before, double headroom, fill_use use, utils::time_point now) const
{
    serving_sample sample { headroom, std::move(use), now, 0, {} };
    if (headroom < 1)
        sample.overSince = before.headroom > 0 && before.headroom < 1 && before.overSince != utils::time_point() ? before.overSince : now;
    // What was waiting keeps the tail up after the company has gone, so that a saturated sample tells nothing of it.
    const double alone = headroom < 1 ? 0 : headroom + loss(serving, sample.use);
    sample.worstAlone = before.worstAlone;
    if (alone > 0)
        sample.worstAlone = before.worstAlone <= 0 ? alone : std::min(alone, before.worstAlone + worstRecovery * (alone - before.worstAlone));
    return sample;
}

const std::vector<image_number>& interference_model::enemies(image_number serving) const
{
    static const std::vector<image_number> none;
    return serving < m_enemies.size() ? m_enemies[serving] : none;
}

std::vector<learned_pressure> interference_model::learned() const
{
    std::vector<std::string> names(m_numbers.size());
    for (const auto& [name, image] : m_numbers)
        names[image] = name;
    std::vector<learned_pressure> result;
    for (image_number serving = 0; serving < m_estimates.size(); ++serving) {
        for (image_number fill = 0; fill < m_estimates[serving].size(); ++fill) {
            const auto& known = m_estimates[serving][fill];
            if (known.variance < unknownVariance)
                result.push_back({ names[serving], names[fill], known.mean, known.variance });
        }
    }
    return result;
}

void interference_model::restore(const std::vector<learned_pressure>& pressures)
{
    for (const auto& entry : pressures) {
        auto& known = estimateOf(number(entry.serving), number(entry.fill));
        known.mean = std::clamp(entry.mean, 0.0, highestPressure);
        known.variance = std::clamp(entry.variance, leastVariance, unknownVariance);
    }
}

void interference_model::refresh()
{
    m_enemies.assign(m_numbers.size(), {});
    for (image_number serving = 0; serving < m_estimates.size(); ++serving) {
        for (image_number fill = 0; fill < m_estimates[serving].size(); ++fill) {
            const auto& known = m_estimates[serving][fill];
            if (known.variance < knownVariance && known.mean > strongPressure)
                m_enemies[serving].push_back(fill);
        }
    }
}

void interference_model::learn(image_number serving, const serving_sample& before, const serving_sample& after)
{
    if (before.headroom <= 0 || after.headroom <= 0 || after.at - before.at > longestGap)
        return;
    fill_use change = after.use;
    for (image_number image = 0; image < before.use.size(); ++image)
        addUse(change, image, -before.use[image]);
    double predicted = 0;
    double variance = sampleVariance;
    bool hasChanged = false;
    for (image_number image = 0; image < change.size(); ++image) {
        const double share = change[image];
        if (share == 0)
            continue;
        hasChanged = true;
        const auto& known = estimateOf(serving, image);
        predicted += known.mean * share;
        variance += known.variance * share * share;
    }
    const double error = before.headroom - after.headroom - predicted;
    // A drop into saturation shows at least its size, a rise out of it at most.
    const bool isBound = (after.headroom < saturatedHeadroom && error < 0) || (before.headroom < 1 && error > 0);
    if (!hasChanged || isBound)
        return;
    for (image_number image = 0; image < change.size(); ++image) {
        const double share = change[image];
        if (share == 0)
            continue;
        auto& known = estimateOf(serving, image);
        const double gain = known.variance * share / variance;
        known.mean = std::clamp(known.mean + gain * error, 0.0, highestPressure);
        known.variance = std::max(known.variance * (1 - gain * share), leastVariance);
    }
}

} // namespace camphorsaddle::jobs
