#pragma once

#include <map>
#include <string>
#include <utility>

#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Use of a worker's processors by tasks that fill, by image, as shares of its capacity.
using fill_use = std::map<std::string, double>;

//! \brief What the scheduler knows of a task that serves: how far its tail is below its target.
struct serving_sample {
    //! Target divided by tail: 1 at the target, more when it is faster, 0 when unknown.
    double headroom = 0;
    fill_use use;
    utils::time_point at;
};

//! \brief How much headroom a task that serves loses by work that fills beside it, learned for each pair of images.
//!
//! The tail of a server grows as 1 / (1 - utilization), so that headroom falls linearly with utilization and with what
//! the neighbours add to it. Pairs differ by more than ten times; the load of the serving task itself swings within
//! seconds, so that only changes between two samples are compared.
class interference_model {
public:
    //! \brief Headroom lost for each unit of capacity that \a fill uses beside \a serving.
    double pressure(const std::string& serving, const std::string& fill) const;
    //! \brief Headroom lost by \a use.
    double loss(const std::string& serving, const fill_use& use) const;
    //! \brief Whether the image that serves loses much more than the others by the images that fill.
    bool isSensitive(const std::string& serving) const;
    //! \brief Whether the image that fills costs much more than the others.
    bool isHeavy(const std::string& fill) const;
    //! \brief Compares two samples of one task.
    void learn(const std::string& serving, const serving_sample& before, const serving_sample& after);

private:
    //! Estimate with its variance, corrected by each sample in proportion to how unsure it is (a Kalman filter).
    struct estimate {
        double mean;
        double variance;
    };

    double highestPressureOf(const std::string& image, bool isFill) const;
    estimate& estimateOf(const std::string& serving, const std::string& fill);

    std::map<std::pair<std::string, std::string>, estimate> m_estimates;
};

} // namespace camphorsaddle::jobs
