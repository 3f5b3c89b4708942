#pragma once

#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Detects from the outcome of its runs whether a worker fails every task, hangs, or is slow.
//!
//! A worker is suspended after a series of failed or stalled runs. After the suspension it is on trial: it gets one
//! batch task at a time until one completes.
class worker_reliability {
public:
    //! \brief Records a completed run; \a slowness is its duration divided by that of its siblings, 0 if unknown.
    void recordSuccess(double slowness);
    //! \brief Records a failed run; \a isFirst is true if no other run of the task has failed, which makes a fault of
    //! the worker more likely than one of the task.
    void recordFailure(bool isFirst, utils::time_point now);
    //! \brief Records a run that makes no or too little progress, compared with its siblings on other workers.
    void recordStall(utils::time_point now);
    //! \brief Records an order that the worker refused as unhealthy or malformed, or that couldn't be sent.
    void recordRefusal(utils::time_point now);

    bool isSuspended(utils::time_point now) const;
    //! \brief Whether the worker gets only one batch task at a time, because no run has completed since a suspension.
    bool isOnTrial() const;
    //! \brief Mean duration of the worker's runs divided by that of their siblings; 1 if unknown.
    double slowness() const;

private:
    void suspend(utils::time_point now, utils::milliseconds shortest);

    double m_failureScore = 0;
    double m_slowness = 1;
    unsigned m_suspensions = 0;
    utils::time_point m_suspendedUntil;
};

} // namespace camphorsaddle::jobs
