#pragma once

#include <cstdint>

#include "utils/clock.h"

namespace camphorsaddle::utils {

//! \brief Limits the rate of log lines of one kind and counts those that are left out (token bucket).
//!
//! After a quiet period a second's worth of lines may be written at once.
class line_budget {
public:
    explicit line_budget(double linesPerSecond);

    //! \brief Whether another line may be written now; counts it as left out if not.
    bool take(time_point now);
    //! \brief Number of lines left out since the last call.
    std::uint64_t takeLeftOutCount();

private:
    double m_linesPerSecond;
    double m_available;
    time_point m_updatedAt;
    std::uint64_t m_leftOutCount = 0;
};

} // namespace camphorsaddle::utils
