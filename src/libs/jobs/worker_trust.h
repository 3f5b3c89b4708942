#pragma once

#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief What the runs of a worker tell about it: whether it fails all that it starts, hangs, or is slow.
//!
//! A worker is suspended after a series of bad runs. After the pause it gets one task at a time until one is done.
class worker_trust {
public:
    //! \brief A run was done; \a slowness is its duration against that of its siblings elsewhere, 0 when unknown.
    void done(double slowness);
    //! \brief A run failed; \a isFirst tells that no run of the task failed before, so that the task is not known as bad.
    void failed(bool isFirst, utils::time_point now);
    //! \brief A run stands still or crawls while its siblings elsewhere go on.
    void stalled(utils::time_point now);
    //! \brief The worker refused an order because it is unhealthy, or there was no connection.
    void refused(utils::time_point now);

    bool isSuspended(utils::time_point now) const;
    //! \brief Whether one task at a time is a trial.
    bool isOnTrial() const;
    //! \brief Mean duration of its runs against that of their siblings elsewhere, 1 when unknown.
    double slowness() const;

private:
    void suspend(utils::time_point now, utils::milliseconds shortest);

    double m_badness = 0;
    double m_slowness = 1;
    unsigned m_suspensions = 0;
    utils::time_point m_suspendedUntil;
};

} // namespace camphorsaddle::jobs
