#pragma once

#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Times and limits of a job engine.
struct engine_settings {
    //! Lease of everything on a worker, renewed by each order. Long enough for a change of leader with its member
    //! lease of two seconds; what a silent worker ran waits as long until it may start elsewhere.
    utils::milliseconds leaseDuration { 5000 };
    //! Slowest rate of a worker's clock against this host's, from the workers' contract.
    double slowestClock = 0.98;
    //! A worker answers an observation after this time at the latest, when no task ends on it.
    utils::milliseconds observeWait { 1000 };
    //! The same where tasks that fill run beside tasks that serve: their effect shows within half a second.
    utils::milliseconds observeWaitBesideFills { 500 };
    //! Pause before a silent worker is asked again.
    utils::milliseconds observeRetry { 250 };
    //! An order to stop without effect is repeated after this time.
    utils::milliseconds stopRepeat { 500 };
    //! How long a worker may take to end a run that is stopped, from the workers' contract.
    utils::milliseconds stopTimeout { 400 };
    //! A worker that left the directory gets no new tasks after this time, since its entry may lapse in an outage
    //! of the store and come back two seconds after it.
    utils::milliseconds withdrawalGrace { 2500 };
    //! Finished jobs are forgotten after this time; callers ask for their state that long.
    utils::milliseconds finishedJobRetention { 150'000 };
    //! How long a former leader may have renewed leases after its own right ended.
    utils::milliseconds formerLeaderGracePeriod { 7000 };
    //! Added to the lease of a worker that a new leader does not find in the directory.
    utils::milliseconds missingSlack { 300 };
    //! Numbers of runs that one term of a leader may use for a task.
    std::uint64_t runsPerTerm = 1000;

    //! \brief Time in which a lease that is granted now has surely ended, whatever the worker's clock does.
    utils::milliseconds surelyOver(utils::milliseconds term) const
    {
        return utils::milliseconds(static_cast<std::int64_t>(static_cast<double>(term.count()) / slowestClock) + 1);
    }
};

} // namespace camphorsaddle::jobs
