#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "model/resources.h"
#include "utils/clock.h"

//! \brief Forecasts when the batch runs of a worker end and free its resources.
namespace camphorsaddle::jobs {

//! \brief Sums over the durations, in ms, of completed runs that started from the beginning and weren't paced down.
struct duration_statistics {
    double sum = 0;
    double squareSum = 0;
    unsigned count = 0;

    auto operator<=>(const duration_statistics&) const = default;
};

void addDuration(duration_statistics& durations, double milliseconds);

//! \brief Mean of the durations in ms; 0 without any.
double meanDuration(const duration_statistics& durations);

struct duration_estimate {
    utils::milliseconds expected { 0 };
    //! Few runs take longer.
    utils::milliseconds longest { 0 };

    auto operator<=>(const duration_estimate&) const = default;
};

//! \brief Duration of a run of a step, by those of its completed runs.
//!
//! Without any, the \a declared one counts, multiplied by the mean \a ratio of actual to declared durations of the queue's runs.
duration_estimate estimateDuration(const duration_statistics& known, utils::milliseconds declared, double ratio);

//! \brief Expected end of a run, and the resources that it frees.
struct expected_end {
    utils::time_point at;
    model::resources freed;

    auto operator<=>(const expected_end&) const = default;
};

//! \brief When \a needed fits into a worker that has \a free resources now and on which runs are expected to end; nullopt if the ends
//! don't suffice. Runs that should have ended already count as ending now.
std::optional<utils::time_point> timeOfRoom(const model::resources& needed, const model::resources& free, std::vector<expected_end> ends, utils::time_point now);

//! \brief Free resources of the worker at the given time, if no further run is started.
model::resources freeAt(utils::time_point at, model::resources free, const std::vector<expected_end>& ends);

} // namespace camphorsaddle::jobs
