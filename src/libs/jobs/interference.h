#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Number of an image within an interference_model.
using image_number = std::uint32_t;

//! \brief Use of a worker's processors by tasks that fill, as shares of its capacity, by image.
using fill_use = std::vector<double>;

void addUse(fill_use& use, image_number image, double share);

//! \brief What the scheduler knows of a task that serves: how far its tail is below its target.
struct serving_sample {
    //! Target divided by tail: 1 at the target, more when it is faster, 0 when unknown.
    double headroom = 0;
    fill_use use;
    utils::time_point at;
    //! Least headroom that it lately had, or would have had, without company; 0 when unknown.
    double worstAlone = 0;
    //! Since when it is over its target; the epoch when it is not.
    utils::time_point overSince;
};

//! \brief What is known of one pair of images.
struct learned_pressure {
    std::string serving;
    std::string fill;
    double mean = 0;
    double variance = 0;

    auto operator<=>(const learned_pressure&) const = default;
};

//! \brief How much headroom a task that serves loses by work that fills beside it, learned for each pair of images.
//!
//! The tail of a server grows as 1 / (1 - utilization), so that headroom falls linearly with utilization and with what
//! the neighbours add to it. Pairs differ by more than ten times; the load of the serving task itself swings within
//! seconds, so that only changes between two samples are compared.
class interference_model {
public:
    //! \brief Number of the image, the same for as long as the model lives.
    image_number number(const std::string& image);

    //! \brief Headroom lost for each unit of capacity that \a fill uses beside \a serving.
    double pressure(image_number serving, image_number fill) const;
    //! \brief Headroom lost by \a use.
    double loss(image_number serving, const fill_use& use) const;
    //! \brief Images that fill and cost the image that serves much; as of the last refresh.
    const std::vector<image_number>& enemies(image_number serving) const;

    //! \brief The sample that follows \a before, with what it tells of the trend.
    serving_sample follow(image_number serving, const serving_sample& before, double headroom, fill_use use, utils::time_point now) const;
    //! \brief Compares two samples of one task.
    void learn(image_number serving, const serving_sample& before, const serving_sample& after);
    //! \brief All pairs that were learned, for the next leader.
    std::vector<learned_pressure> learned() const;
    void restore(const std::vector<learned_pressure>& pressures);
    //! \brief Decides anew which images are enemies.
    void refresh();

private:
    //! Estimate with its variance, corrected by each sample in proportion to how unsure it is (a Kalman filter).
    struct estimate {
        double mean;
        double variance;
    };

    estimate& estimateOf(image_number serving, image_number fill);

    std::map<std::string, image_number> m_numbers;
    //! By image that serves, then by image that fills; shorter where nothing is known.
    std::vector<std::vector<estimate>> m_estimates;
    std::vector<std::vector<image_number>> m_enemies;
};

} // namespace camphorsaddle::jobs
