#pragma once

#include <cstddef>
#include <optional>

#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief Intervals, timeouts and limits of a job engine.
struct engine_settings {
    //! Duration of the lease that covers all runs on a worker; each order renews it. Outlasts a change of the leader,
    //! whose member lease is two seconds. Tasks of an unresponsive worker restart elsewhere only after this time.
    utils::milliseconds leaseDuration { 5000 };
    //! Longest lease that a worker accepts.
    utils::milliseconds longestLeaseOnWorker { 10'000 };
    //! Minimum rate of a worker's clock relative to this host's clock, as the worker protocol guarantees.
    double minimumWorkerClockRate = 0.98;
    //! Longest time that a worker holds back its answer to an observation while no run ends.
    utils::milliseconds longPollTimeout { 1000 };
    //! The same for a worker with both service and best-effort tasks, whose interference shows within half a second.
    utils::milliseconds longPollTimeoutWithBestEffort { 500 };
    //! Delay before the next observation of a worker that didn't answer or whose ended runs aren't stored yet.
    utils::milliseconds observeRetryDelay { 250 };
    //! Longest such delay for a worker whose answers come late.
    utils::milliseconds longestObserveRetryDelay { 2000 };
    //! Greatest number of ends that a worker lists in a report; nullopt if it isn't known. The worker keeps no further ends than those
    //! of a shorter list.
    std::optional<std::size_t> endsPerReport;
    //! Interval at which an order to stop is repeated until the run has ended.
    utils::milliseconds stopRetryInterval { 500 };
    //! How long after its time limit an order without an answer may still take effect. The worker protocol says seconds, without a bound.
    utils::milliseconds lateOrderTime { 12'000 };
    //! Longest time that a worker takes to stop a run, as the worker protocol guarantees.
    utils::milliseconds stopTimeout { 400 };
    //! How long a worker still gets new tasks after its directory entry disappeared. The entry may expire during an
    //! outage of the store and come back two seconds after the outage.
    utils::milliseconds withdrawalGracePeriod { 2500 };
    //! How long a finished job is kept, so that callers can query its phase.
    utils::milliseconds finishedJobRetention { 150'000 };
    //! Longest time after the last renewal of its leadership for which a former leader may have sent orders.
    utils::milliseconds formerLeaderGracePeriod { 7000 };
    //! Least time for which a new leader waits for the answers of the former leader's workers.
    utils::milliseconds shortestTakeoverWait { 2000 };
    //! Interval at which a leader stores how long the workers without an answer may still execute runs of former leaders.
    utils::milliseconds waitPromiseInterval { 1000 };
    //! How long a new leader waits for a worker's directory entry before it queries the worker at the stored address.
    utils::milliseconds directoryListingTime { 500 };
    //! Added to the lease duration when a new leader waits for a worker whose entry had expired before its term.
    utils::milliseconds unlistedWorkerLeaseMargin { 300 };
    //! A run is suspected of a crash of its worker if the worker last answered at most this long after the run's start.
    utils::milliseconds crashSuspicionTime { 250 };
    //! A run that lasted this long has not caused a later crash of its worker.
    utils::milliseconds soundRunTime { 30'000 };
    //! How long a suspected task must run before other tasks are started on its worker again. The worker is then queried, so
    //! that a later crash isn't put down to the task.
    utils::milliseconds probationTime { 300 };
    //! How long a suspected task waits for a worker without recent starts, where the cause of a crash would be certain.
    utils::milliseconds isolationTimeout { 1000 };
    //! How long a worker gets no other task because of a suspected one whose start isn't confirmed.
    utils::milliseconds longestProbation { 3000 };
    //! How long a suspected task waits for a worker to itself. Afterwards it is started like any other.
    utils::milliseconds longestSuspectWait { 3000 };
    //! How long a task that was suspected before waits for the proof that its unresponsive worker has crashed.
    utils::milliseconds crashResolutionTime { 3000 };
    //! Longest age of the directory entry by which a task is started on a worker that doesn't reject overload. Its capacity
    //! may have shrunk since.
    utils::milliseconds maximumCapacityAge { 3600 };
    //! Longest age of the worker directory by which a task is started. A worker may have begun to drain since.
    utils::milliseconds maximumDirectoryAge { 1850 };
    //! The same for the cancellations of jobs that other daemons have stored.
    utils::milliseconds maximumCancellationsAge { 2350 };
    //! The same for the requests to evacuate data centres; nullopt if the deployment has none.
    std::optional<utils::milliseconds> maximumEvacuationsAge;
    //! How long a worker gets no tasks after it refused one for lack of capacity, unless its directory entry changes.
    utils::milliseconds refusedCapacityDelay { 500 };
    //! How many run numbers each leader term reserves for a task.
    std::uint64_t runNumbersPerTerm = 1000;

    //! \brief Upper bound, on this host's clock, of the time in which a lease of \a duration expires on a worker.
    utils::milliseconds maximumLeaseDuration(utils::milliseconds duration) const
    {
        return utils::milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) / minimumWorkerClockRate) + 1);
    }
};

} // namespace camphorsaddle::jobs
