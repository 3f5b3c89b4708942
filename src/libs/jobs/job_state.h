#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "external/run_control.h"
#include "jobs/backfill_scheduler.h"
#include "jobs/best_effort_capacity.h"
#include "jobs/blocked_demand_model.h"
#include "jobs/capacity_forecast.h"
#include "jobs/data_centre_path.h"
#include "jobs/engine_command.h"
#include "jobs/engine_settings.h"
#include "jobs/interference_model.h"
#include "jobs/job.h"
#include "jobs/job_outcomes.h"
#include "jobs/job_record.h"
#include "jobs/worker_reliability.h"

namespace camphorsaddle::jobs {

struct job_state;
struct worker_state;

enum class run_phase {
    //! The start order was sent and isn't answered yet.
    Starting,
    //! The start order got no answer; it may still take effect.
    Uncertain,
    Running,
    //! Stop orders are sent until the worker reports the end.
    Stopping,
};

//! \brief A run; its resources stay allocated on its worker until its end is known.
struct run_state {
    job_state* job = nullptr;
    unsigned step = 0;
    unsigned index = 0;
    std::uint64_t number = 0;
    image_index image = 0;
    worker_state* worker = nullptr;
    run_phase phase = run_phase::Starting;
    //! Start of the current phase.
    utils::time_point phaseSince;
    //! When the worker confirmed that the run has started.
    utils::time_point runningSince;
    //! The worker's clock when it confirmed the start; 0 before.
    external::worker_time startClock = 0;
    std::string checkpoint;
    //! The worker's clock when a report first had this checkpoint; 0 if it is older than the run.
    external::worker_time checkpointClock = 0;
    //! Last reported progress.
    int percent = 0;
    //! Progress at the start of the run, which a checkpoint raises; -1 until the first report.
    int initialPercent = -1;
    //! The worker's clock when it first reported this progress.
    external::worker_time progressClock = 0;
    //! Last reported load: tail latency in ms of a service task, else processors in use in thousandths of a core.
    std::int64_t load = 0;
    //! Share of its speed that the run is limited to, percent.
    int pace = 100;
    //! Whether this leader knows the pace. False for an adopted run, whose pace a former leader may have set.
    bool isPaceKnown = true;
    utils::time_point paceChangedAt;
    //! The worker's clock when it changed the pace last.
    external::worker_time paceClock = 0;
    bool isPaceOrderPending = false;
    //! Processors that a best-effort run occupies, thousandths of a core.
    std::int64_t occupied = 0;
    //! Last latency sample of a service task.
    latency_sample latencySample;
    //! The log has a line on the present miss of its latency target.
    bool isMissLogged = false;
    //! Process that its start was ordered for, and the time of that decision; of an adopted run, of the report that lists it.
    worker_process process;
    utils::time_point orderedAt;
    //! Fencing token of its start order; 0 for an adopted run.
    std::uint64_t fence = 0;
    //! A process of its worker has listed it, so that no other one can execute its start order.
    bool isListed = false;
    //! The process that it was ordered for has ended, and a later one may execute it; false once that one has listed it.
    bool isKeptForNextProcess = false;
    //! When the last stop order was sent.
    utils::time_point stopSentAt;
    bool isStopOrderPending = false;
    std::optional<utils::time_point> stopConfirmedAt;
    //! It was started by a former leader and is known from a report.
    bool isAdopted = false;
    //! A task that is suspected of crashing workers, on a worker without other recent starts.
    bool isIsolated = false;
    //! A crash of its worker is recorded in the task, be it a possible or a proven one. The proof may arrive twice: with the
    //! directory entry of another worker at the address, and with that worker's answer.
    bool isCrashRecorded = false;
    //! Number of the worker's last report that lists the run; see worker_state::reportCount.
    std::uint64_t lastReport = 0;
};

struct task_state {
    bool isDone = false;
    //! Numbers of the failed runs.
    std::vector<std::uint64_t> failedRuns;
    //! A run has failed, and whether the task may be started again isn't known before the configuration arrives.
    bool isFailureUnjudged = false;
    //! Consecutive restarts of a long-running task.
    unsigned restarts = 0;
    //! Number of workers that crashed while a run of the task was suspected of it.
    unsigned crashCount = 0;
    //! Suspected runs on workers that became unresponsive and may have crashed.
    std::vector<possible_crash> possibleCrashes;
    //! Number of workers that crashed while they had a start of the task which they may have executed.
    unsigned unconfirmedCrashCount = 0;
    //! Number of workers that crashed some time after the start of a run of the task, without a sound run in between.
    unsigned lateCrashCount = 0;
    //! Since when a suspected task has been looking for a worker without recent starts.
    utils::time_point isolationSoughtSince;
    std::uint64_t lastRun = 0;
    std::string checkpoint;
    //! Earliest time of the next start.
    utils::time_point notBefore;
    //! Since when it has been waiting for a start.
    utils::time_point waitingSince;
    //! When it last had a run that its worker confirmed; when it became ready if it had none.
    utils::time_point withoutRunSince;
    //! Worker on which best-effort work was paced down so far that the task left it; avoided until the given time.
    const worker_state* leftWorker = nullptr;
    utils::time_point leftWorkerAvoidedUntil;
    //! Worker on which resources are reserved while the task moves there or waits for runs there to end.
    worker_state* reservedWorker = nullptr;
    utils::time_point reservedUntil;
    //! Missed deadline of its job when the resources were reserved because it found no worker; nullopt for a task that moves.
    std::optional<std::size_t> reservedAtMiss;
    //! Forecast start on the worker that is, or was last, reserved because it found none.
    std::optional<planned_start> plan;
    std::vector<std::unique_ptr<run_state>> runs;
    //! Numbers of the last runs whose end is known.
    std::vector<std::uint64_t> closedRuns;
    //! Workers on which a run failed or stalled.
    std::vector<std::string> avoidedWorkers;
    //! A former leader may have started it on a worker that this leader has had no answer from.
    bool mayRunUnderFormerLeader = false;
};

//! \brief Time for which a task that may be started has been waiting for a worker.
inline utils::milliseconds waitingTime(const task_state& task, utils::time_point now)
{
    return utils::millisecondsBetween(std::max(task.waitingSince, task.notBefore), now);
}

struct step_state {
    std::vector<task_state> tasks;
    image_index image = 0;
    unsigned doneCount = 0;
    //! Number of tasks that aren't done and have at least one run.
    unsigned busyCount = 0;
    //! Number of service tasks that were out of service or began a move in the last round of the rebalancing.
    std::size_t movingCount = 0;
    //! All steps that it depends on are complete.
    bool isReady = false;
    //! Earliest time of the next search after one that found no worker for a best-effort task.
    utils::time_point searchNotBefore;
    duration_statistics durations;
    //! Earliest time of the next search after one that found no room outside the data centre of a task that has to leave it.
    utils::time_point departureNotBefore;
};

struct job_state {
    //! Without the payload once the states of the tasks are released.
    job_spec spec;
    job_phase phase = job_phase::Queued;
    //! The job has ended, and the states of its steps and tasks are released.
    bool isReleased = false;
    //! Bytes that count for it, see job_engine::heldMemory().
    std::uint64_t heldMemory = 0;
    //! Set when a job is accepted or restored.
    size_group sizeGroup = size_group::Rest;
    std::vector<step_state> steps;
    utils::time_point acceptedAt;
    utils::time_point endedAt;
    //! Version of the progress, incremented by each change that must be stored, and the version in the store.
    std::uint64_t version = 0;
    std::uint64_t storedVersion = 0;
    //! A write of its progress has no outcome yet; a later change is written after that.
    bool isBeingStored = false;
    bool isQueuedForStorage = false;
    bool isEndQueuedForStorage = false;
    bool isCancelStored = false;
    //! One of its tasks has an unjudged failure.
    bool hasUnjudgedFailures = false;
    //! When the first task was reported as started in this term; the epoch before.
    utils::time_point firstStartAt;
    //! Runs of this term, for the log: all, failed, and ended in any other way than by completion.
    unsigned runCount = 0;
    unsigned failedRunCount = 0;
    unsigned interruptedRunCount = 0;
    //! Longest time that one of its tasks has waited for a worker in this term, for the log.
    utils::milliseconds longestWait { 0 };
    //! Workers with ends that can't be acknowledged before the progress is stored.
    std::set<worker_state*> workersWithUnstoredEnds;
    //! Deadline of the job, as computed at \a deadlineUpdatedAt.
    utils::time_point deadline;
    utils::time_point deadlineUpdatedAt;
    //! Expected time from the start of each step to the end of the longest chain of steps that begins with it; updated with the deadline.
    std::vector<utils::milliseconds> remainingChains;
};

//! \brief A reported end, which is acknowledged to the worker once the store has this version of the job's progress.
struct unstored_run_end {
    std::uint64_t number = 0;
    std::string job;
    std::uint64_t version = 0;
};

//! \brief Latency headroom of a service task, with all best-effort tasks on its worker taken into account.
struct service_headroom {
    image_index image = 0;
    double headroom = 0;
};

//! \brief A start without an answer whose stop a process of the worker has confirmed. A later process would execute it if it arrives late.
struct rejected_start {
    external::run_id run;
    //! Time by which it has certainly arrived.
    utils::time_point until;
    //! The present process has to be told too.
    bool needsStop = false;
    utils::time_point stopSentAt;
};

struct worker_state {
    worker_description description;
    //! Path to its data centre.
    data_centre_path* path = nullptr;
    bool isAnnounced = false;
    //! When a renewal of its directory entry arrived last; the epoch before an entry of the current incarnation.
    utils::time_point announcedAt;
    //! When it was known last that the present incarnation has come after all others: an answer of another one to an
    //! observation that was sent later comes from a later process, whichever is the higher.
    utils::time_point incarnationSeenAt;
    //! Only its clock has shown the present process so far; the incarnation stands for the one that an observation will tell.
    bool isIncarnationGuessed = false;
    //! An earlier process of it is known, be it to a former leader.
    bool hasRestarted = false;
    //! Highest of its former incarnations; 0 if none is known.
    std::int64_t highestFormerIncarnation = 0;
    //! Its data centre is under evacuation: it gets no tasks and no reservations.
    bool isEvacuated = false;
    //! Until when it counts as slow after a start; in deployments with evacuations only.
    utils::time_point coldUntil;
    //! When its last start was decided.
    utils::time_point lastStartAt;
    //! It rejects tasks that exceed its capacity; any other worker starts whatever it is ordered to.
    bool rejectsOverload = false;
    //! Until when it gets no tasks because it refused one for lack of capacity.
    utils::time_point capacityRefusedUntil;
    //! The stored roster lists it with its current address, so that the next leader queries its runs.
    bool isOnRoster = false;
    //! The stored roster may say that this leader grants it no lease.
    bool isWaitPromised = false;
    //! When its directory entry disappeared.
    utils::time_point withdrawnAt;
    //! Fencing token of its orders, see job_engine::raiseFence(), and the lowest one of the orders for its present process.
    std::uint64_t fence = 0;
    std::uint64_t processFence = 0;
    //! Its current incarnation has answered an order of this leader for it, and so rejects the orders of former leaders and those
    //! for former processes.
    bool hasAcceptedTerm = false;
    //! The worker's clock at \a clockUpdatedAt of this host's clock.
    external::worker_time clock = 0;
    utils::time_point clockUpdatedAt;
    //! Time by which the last lease that any leader granted has expired on the worker.
    utils::time_point leaseExpiresAt;
    //! When it last answered an observation or accepted a start.
    utils::time_point answeredAt;
    //! The worker's clock in the newest report of its runs.
    external::worker_time reportClock = 0;
    //! When the observation that brought this report was sent, and when it was handled. The report is no older than the
    //! former, and may be much older than the latter.
    utils::time_point reportSentAt;
    utils::time_point reportHandledAt;
    //! It has not answered an order since its last report. Ends aren't acknowledged, since those of a new process would be lost.
    bool mayHaveRestarted = false;
    //! When the last order without an answer was sent. A reply that the worker gave before doesn't end the silence.
    utils::time_point unansweredOrderSentAt;
    //! Numbers of the last acknowledged and the last received end of a run.
    std::uint64_t acknowledgedEnd = 0;
    //! Number up to which its present process has certainly forgotten the ends. It isn't sent again, since the next process may
    //! execute the order late and forget ends that nobody has seen.
    std::uint64_t forgottenEnd = 0;
    std::uint64_t lastEnd = 0;
    //! Number of ends in the longest list of the present process, and in its newest report; nullopt before the first one.
    std::size_t longestEndList = 0;
    std::optional<std::size_t> newestEndList;
    std::deque<unstored_run_end> unstoredRunEnds;
    //! Resources of all runs; best-effort runs count without their processors.
    model::resources allocated;
    //! Processors that the best-effort runs request, thousandths of a core.
    std::int64_t bestEffortProcessors = 0;
    //! Processors that they occupy, as far as reports have told, and those that the long-running tasks use; thousandths of a core.
    std::int64_t bestEffortUsage = 0;
    std::int64_t longRunningUsage = 0;
    //! Estimated usage of the best-effort runs that the last report doesn't include yet.
    best_effort_usage unreportedUsage;
    //! One for each service task with a latency target; maintained by updateServiceHeadrooms().
    std::vector<service_headroom> serviceHeadrooms;
    //! Number of service tasks that block each best-effort image, with those on their way to it, and the share of the
    //! best-effort demand that they block on this worker.
    blocker_counts blockerCounts;
    double blockedDemand = 0;
    //! Number of tasks with a reservation on it.
    unsigned reservationCount = 0;
    //! Processors that the long-running tasks request, thousandths of a core.
    std::int64_t longRunningProcessors = 0;
    std::vector<run_state*> runs;
    std::vector<rejected_start> rejectedStarts;
    //! Run of a suspected task that has not survived its probation yet; no other task is started beside it.
    run_state* suspectRun = nullptr;
    //! Tasks with a possible crash of this worker.
    std::vector<external::task_id> suspectedTasks;
    //! Number of reports received from any of its incarnations.
    std::uint64_t reportCount = 0;
    //! The next decision has to check whether it needs an order or an observation.
    bool isQueuedForOrders = false;
    //! A report or a reply has changed what the pace of its best-effort runs depends on.
    bool isPaceReviewDue = false;
    //! Observations without an answer so far: the one that waits for an end, and a probe, which is answered at once.
    bool isObservePending = false;
    bool isProbePending = false;
    bool needsProbe = false;
    //! The daemon that executes its orders has no traits of some of its runs.
    bool needsDescriptions = false;
    utils::time_point nextObservation;
    //! Consecutive observations without an answer.
    unsigned unansweredObserves = 0;
    //! Time that the last answer beyond its time limit took, without the wait of the observation, and when it came. 0 if a later answer
    //! took less.
    utils::milliseconds lateAnswerTime { 0 };
    utils::time_point lateAnswerAt;
    worker_reliability reliability;
};

//! \brief Notes that a run of the task has ended.
inline void noteEndOfRun(task_state& task, const run_state& run, utils::time_point now)
{
    task.waitingSince = now;
    if (run.phase == run_phase::Running)
        task.withoutRunSince = run.worker->unansweredObserves > 0 ? run.worker->answeredAt : now;
    else if (run.phase == run_phase::Stopping && run.runningSince != utils::time_point())
        task.withoutRunSince = run.phaseSince;
}

//! \brief Whether a report with \a count ends lists all that the worker keeps.
//!
//! A worker limits the number of ends in a report, and may keep more. If the limit isn't known, no list is longer.
inline bool listsAllEnds(const worker_state& worker, const engine_settings& settings, std::size_t count)
{
    return count == 0 || count < settings.endsPerReport.value_or(worker.longestEndList);
}

//! \brief Reply to a start order that was decided \a age ago, for the log.
inline std::string describeReply(const worker_state& worker, const external::order_reply& reply, utils::time_point::duration age)
{
    return absl::StrCat("outcome=", toString(reply.outcome), " relay=", reply.relay, " data_centre=", worker.description.dataCentre, " age_ms=", std::chrono::duration_cast<utils::milliseconds>(age).count());
}

inline worker_process processOf(const worker_state& worker)
{
    return { worker.description.endpoint, worker.description.incarnation, worker.clock };
}

//! \brief Whether the worker still has the process, as far as is known.
inline bool isPresentProcess(const worker_state& worker, const worker_process& process)
{
    const bool isSameAddress = process.endpoint.empty() || process.endpoint == worker.description.endpoint;
    return isSameAddress && (process.incarnation == 0 || process.incarnation == worker.description.incarnation);
}

} // namespace camphorsaddle::jobs
