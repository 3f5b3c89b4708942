#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "utils/clock.h"

namespace camphorsaddle::placement {

//! \brief Detects failing workers by comparing their failed attempts with the failure rate of the whole shard.
//!
//! A worker that fails repeatedly is quarantined: for a while it gets no attempts, then one at a time until one succeeds.
class worker_health {
public:
    //! \brief Records that an attempt on \a worker has finished or failed.
    void recordAttemptEnd(const std::string& worker, bool isFailed, utils::time_point now);

    //! \brief Records that an attempt on \a worker was still running some time after its start.
    void recordRunningAttempt(const std::string& worker);

    //! \brief Whether \a worker has been quarantined since its last success, so that its failures don't count against
    //! the tasks.
    bool isSuspect(const std::string& worker) const;

    //! \brief Number of attempts that may run on the worker at the same time.
    std::size_t maximumAttempts(const std::string& worker, utils::time_point now) const;

private:
    struct worker_history {
        //! Failures since the last success.
        unsigned failures = 0;
        //! Quarantines since the last success.
        unsigned quarantines = 0;
        utils::time_point quarantinedUntil;
        //! Whether an attempt has finished or kept running on the worker.
        bool isProven = false;
    };

    bool isFleetFailing() const;

    std::map<std::string, worker_history> m_workers;
    //! Exponentially decaying counts of ended and failed attempts on all workers that are not suspect.
    double m_decayedEnds = 0;
    double m_decayedFailures = 0;
};

} // namespace camphorsaddle::placement
