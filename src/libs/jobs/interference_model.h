#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/best_effort_capacity.h"
#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Index of a container image within an interference_model.
using image_index = std::uint32_t;

//! \brief Processor usage of the best-effort tasks on a worker by image, as shares of the worker's capacity.
using best_effort_usage = std::vector<double>;

void addUsage(best_effort_usage& usage, image_index image, double share);

//! \brief Measured tail latency of a service task, relative to its latency target.
struct latency_sample {
    //! Latency target divided by tail latency: 1 at the target, greater if the task is faster, 0 if unknown.
    double headroom = 0;
    best_effort_usage usage;
    utils::time_point at;
    //! Recent minimum of the headroom that the task has, or would have, without best-effort tasks beside it; 0 if
    //! unknown.
    double minimumHeadroomAlone = 0;
    //! When the tail latency rose above the target; the epoch while it is below.
    utils::time_point targetMissedSince;
};

//! \brief Learned interference of one pair of images; see interference_model::pressure().
struct learned_pressure {
    std::string serviceImage;
    std::string bestEffortImage;
    double mean = 0;
    double variance = 0;

    auto operator<=>(const learned_pressure&) const = default;
};

//! \brief Learns, for each pair of images, how much latency headroom a service task loses to a best-effort task
//! beside it.
//!
//! Tail latency grows as 1 / (1 - utilization), so that headroom falls linearly with utilization, including the part
//! that best-effort tasks add. The effect differs by more than ten times between pairs. The load of a service task
//! fluctuates within seconds, so the model compares only consecutive samples.
class interference_model {
public:
    //! \brief Index of the image, added if it is new; constant for the lifetime of the model.
    image_index indexOf(const std::string& image);

    //! \brief Headroom that a service task of one image loses per unit of worker capacity that best-effort tasks of the
    //! other image use.
    double pressure(image_index serviceImage, image_index bestEffortImage) const;
    //! \brief Headroom that a service task loses to the best-effort tasks with the given usage.
    double headroomLoss(image_index serviceImage, const best_effort_usage& usage) const;
    //! \brief Mean headroom of the image's service tasks without best-effort tasks beside them.
    mean_headroom meanHeadroomAlone(image_index serviceImage) const;
    //! \brief Best-effort images that interfere strongly with the service image, as of the last refreshAntagonists().
    const std::vector<image_index>& antagonists(image_index serviceImage) const;

    //! \brief Creates the sample that follows \a before and updates the minimum headroom and the start of a target
    //! miss.
    latency_sample nextSample(image_index serviceImage, const latency_sample& before, double headroom, best_effort_usage usage, utils::time_point now) const;
    //! \brief Updates the estimates from two consecutive samples of one task.
    void updateEstimates(image_index serviceImage, const latency_sample& before, const latency_sample& after);
    //! \brief All learned pairs, for the next leader.
    std::vector<learned_pressure> learnedPressures() const;
    void restorePressures(const std::vector<learned_pressure>& pressures);
    //! \brief Determines the antagonists of all service images from the current estimates.
    void refreshAntagonists();

private:
    //! Estimate with its variance. Each sample corrects it in proportion to the variance (Kalman filter).
    struct estimate {
        double mean;
        double variance;
    };

    estimate& estimateOf(image_index serviceImage, image_index bestEffortImage);

    std::map<std::string, image_index> m_indexes;
    //! By service image, then by best-effort image; rows end at the last known pair.
    std::vector<std::vector<estimate>> m_estimates;
    std::vector<std::vector<image_index>> m_antagonists;
    //! By service image.
    std::vector<mean_headroom> m_meanHeadrooms;
};

} // namespace camphorsaddle::jobs
