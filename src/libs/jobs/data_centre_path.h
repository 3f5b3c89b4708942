#pragma once

#include "external/run_control.h"
#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Share of the orders that were not answered in time, of which older ones count less.
class late_order_share {
public:
    void record(bool isLate, utils::time_point now);
    double value(utils::time_point now) const;

private:
    double remainder(utils::time_point now) const;

    double m_lateCount = 0;
    double m_count = 0;
    utils::time_point m_updatedAt;
};

//! \brief How well the leader's orders reach the workers of a data centre.
struct data_centre_path {
    late_order_share starts;
    late_order_share observations;
    //! Cost of a placement on its workers, as of the last review.
    double cost = 0;
};

//! \brief Whether an order with this outcome didn't get an answer of the worker in time.
bool isLateOutcome(external::order_outcome outcome);

//! \brief Cost of a placement beyond the path, relative to the other costs of a worker; 0 if few of its orders are late.
double pathCost(const data_centre_path& path, utils::time_point now);

} // namespace camphorsaddle::jobs
