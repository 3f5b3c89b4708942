#include "jobs/capacity_forecast.h"

#include <algorithm>
#include <cmath>

namespace camphorsaddle::jobs {

namespace {

    // Declared durations differ from actual ones by up to this share.
    constexpr double declaredSpread = 0.9;
    // Few runs are known of a step when the first of its tasks have just ended.
    constexpr unsigned leastSampleCount = 3;
    constexpr double fewSamplesSpread = 0.5;
    // Also of runs that have taken equally long so far.
    constexpr double leastSpread = 0.1;
    // Some 2% of normally distributed durations are greater than the mean by more.
    constexpr double deviations = 2;

    utils::milliseconds toMilliseconds(double value)
    {
        return utils::milliseconds(static_cast<std::int64_t>(value));
    }

    double relativeSpread(const duration_statistics& known, double mean)
    {
        if (known.count < leastSampleCount)
            return fewSamplesSpread;
        const double variance = std::max(0.0, known.squareSum / known.count - mean * mean);
        return std::max(leastSpread, deviations * std::sqrt(variance) / std::max(mean, 1.0));
    }

} // namespace

void addDuration(duration_statistics& durations, double milliseconds)
{
    durations.sum += milliseconds;
    durations.squareSum += milliseconds * milliseconds;
    ++durations.count;
}

double meanDuration(const duration_statistics& durations)
{
    return durations.count == 0 ? 0 : durations.sum / durations.count;
}

duration_estimate estimateDuration(const duration_statistics& known, utils::milliseconds declared, double ratio)
{
    const double expected = known.count > 0 ? meanDuration(known) : ratio * static_cast<double>(declared.count());
    const double spread = known.count > 0 ? relativeSpread(known, expected) : declaredSpread;
    return { toMilliseconds(expected), toMilliseconds((1 + spread) * expected) };
}

std::optional<utils::time_point> timeOfRoom(const model::resources& needed, const model::resources& free, std::vector<expected_end> ends, utils::time_point now)
{
    std::ranges::sort(ends, {}, &expected_end::at);
    auto freeThen = free;
    auto at = now;
    for (auto end = ends.begin(); !needed.fitsIn(freeThen); ++end) {
        if (end == ends.end())
            return std::nullopt;
        at = std::max(now, end->at);
        freeThen = freeThen + end->freed;
    }
    return at;
}

model::resources freeAt(utils::time_point at, model::resources free, const std::vector<expected_end>& ends)
{
    for (const auto& end : ends) {
        if (end.at <= at)
            free = free + end.freed;
    }
    return free;
}

} // namespace camphorsaddle::jobs
