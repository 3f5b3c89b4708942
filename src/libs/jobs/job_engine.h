#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "jobs/admission_forecast.h"
#include "jobs/blocked_demand_model.h"
#include "jobs/engine_command.h"
#include "jobs/engine_settings.h"
#include "jobs/evacuations.h"
#include "jobs/job_outcomes.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/placement.h"
#include "jobs/placement_queue.h"
#include "jobs/rules_index.h"
#include "jobs/service_admission.h"
#include "jobs/task_wait.h"
#include "jobs/worker_search.h"

namespace camphorsaddle::jobs {

class exchange_search;
struct service_place;

//! \brief New value of a job's stored progress.
struct progress_write {
    std::string job;
    std::string value;
    std::uint64_t version = 0;
};

//! \brief Places, starts, moves and stops the tasks of all jobs during one term of a leader.
//!
//! A state machine without input or output: the caller passes events and the current time and executes the returned
//! commands. The current time includes suspensions of the host. A task is started again only when its former run has
//! ended for certain: the worker reported the end, the worker restarted, or the worker's lease has expired.
class job_engine {
public:
    using event_callback = std::function<void(const engine_event&)>;

    //! \a term is the fencing token of all orders; \a onEvent receives the events for the log.
    job_engine(engine_settings settings, std::uint64_t term, event_callback onEvent);
    ~job_engine();
    job_engine(const job_engine&) = delete;
    job_engine& operator=(const job_engine&) = delete;

    void setRules(std::shared_ptr<const deployment_rules> rules);

    // Changes of the worker directory.
    void announceWorker(const worker_description& worker, utils::time_point now);
    void withdrawWorker(const std::string& worker, utils::time_point now);

    //! \brief All changes of the directory that the store had at the given time were announced. No task is started by a
    //! directory that is older than the settings allow.
    void confirmDirectory(utils::time_point at);
    //! \brief The same for the cancellations of jobs that other daemons have stored.
    void confirmCancellations(utils::time_point at);

    // Evacuations of data centres.
    //! \brief Closes the workers in exactly these data centres to starts, moves and reservations; a name may have no workers.
    void setEvacuations(const std::set<std::string>& dataCentres, utils::time_point now);
    //! \brief The set of the last call was complete at the given time. No task is started before the first confirmation and
    //! by a set that is older than the settings allow, if they limit its age.
    void confirmEvacuations(utils::time_point at);
    const evacuations& knownEvacuations() const;
    std::vector<evacuation_status> evacuationStatuses(utils::time_point now) const;

    //! \brief No other leader can begin a term before the given time. Afterwards the lease of a silent worker doesn't count as
    //! expired, since another leader may have renewed it.
    void confirmLeadership(utils::time_point until);

    // Start and end of a term.
    //! \brief Adds a job from the store before beginTerm().
    void restore(const job_spec& job, const job_progress& progress, bool isCancelled, utils::time_point now);
    //! \brief Starts the term after all jobs were restored. Tasks of restored jobs wait until each worker of \a roster
    //! has reported its runs or can't execute any more.
    //!
    //! If the former leader handed over as planned, it sends no more orders, and only the workers' leases are waited
    //! for.
    void beginTerm(const worker_roster& roster, utils::time_point now);
    //! \brief No former leader has renewed its leadership after \a at. Must be called before beginTerm(), which assumes the
    //! present time otherwise.
    void confirmLastFormerRenewal(utils::time_point at);
    //! \brief No former leader has sent an order after \a at.
    void confirmFormerLeadersEnded(utils::time_point at);
    //! \brief Roster for the next leader. No command may be executed after this call.
    worker_roster endTerm(utils::time_point now) const;
    void add(const job_spec& job, utils::time_point now);
    void cancel(const std::string& id, utils::time_point now);

    // Replies to commands.
    void handleStartReply(const std::string& worker, const external::run_id& run, const external::order_reply& reply, utils::time_point sentAt, utils::time_point now);
    void handleStopReply(const stop_command& command, const external::order_reply& reply, utils::time_point now);
    void handlePaceReply(const std::string& worker, const external::run_id& run, int percent, const external::order_reply& reply, utils::time_point now);
    void handleObserveReply(const std::string& worker, const observe_command& command, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now);

    //! \brief Makes all decisions that are due and returns the orders to send.
    std::vector<engine_command> decideCommands(utils::time_point now);

    // Stored state.
    //! \brief Returns at most \a limit progress values that have to be stored.
    std::vector<progress_write> takeProgressWrites(std::size_t limit);
    void markProgressStored(const std::string& job, std::uint64_t version);
    //! \brief Repeats a failed write with the next takeProgressWrites().
    void requeueProgressWrite(const std::string& job);
    std::vector<roster_worker> roster() const;
    //! \brief Whether the stored roster lacks a worker or lists one that can't execute runs of any leader.
    bool needsRosterWrite() const;
    void markRosterStored(std::vector<roster_worker> workers);
    learned_record learned() const;
    void restoreLearned(const learned_record& learned);
    //! \brief Releases what isn't needed any more of jobs that have ended: the payload and the states of the tasks.
    void releaseEndedJobs(utils::time_point now);
    //! \brief Removes jobs that ended before the retention time, at most \a limit, and returns their ids.
    std::vector<std::string> forgetFinishedJobs(utils::time_point now, std::size_t limit);

    // Queries.
    //! \brief Whether a new job may be accepted. Nothing is refused as long as the workers aren't known.
    bool admits(const job_spec& job) const;
    //! \brief Refusal of a new job that would clearly miss its deadline; by the last forecast, which each accepted job adds to.
    std::optional<forecast_refusal> forecastRefusal(const job_spec& job, utils::time_point now) const;
    //! \brief Counts a job that was refused by the forecast.
    void noteRefusal(const job_spec& job);
    //! \brief What has become of the jobs since the last call, by queue.
    std::map<std::string, job_outcomes::group_counts> takeOutcomes();
    //! \brief The last forecast, for the other daemons; nullopt as long as there is none.
    const std::optional<published_forecast>& publishedForecast() const;
    bool hasJob(const std::string& id) const;
    //! \brief Phase to report to callers. Completed and Failed are reported only after they were stored.
    std::optional<job_phase> phase(const std::string& id) const;
    //! \brief Number of the queue's jobs of which no task has started.
    std::uint64_t pending(const std::string& queue) const;
    std::size_t unfinishedJobCount() const;
    //! \brief Estimate of the bytes that all jobs take.
    std::uint64_t heldMemory() const;
    //! \brief Whether workers may execute runs of former leaders that this one doesn't know.
    bool isRestoring() const;
    //! \brief Whether a worker has rejected an order because it knows a higher fencing token, that of a newer leader, or the term has no
    //! further token for a worker.
    bool isDeposed() const;
    //! \brief Total number of evaluations of a worker as a place for a task.
    std::uint64_t evaluatedPlacements() const;
    //! \brief Total number of evaluations of a move of a service task, alone or in a swap, by the rebalancing.
    std::uint64_t evaluatedMoves() const;
    //! \brief Total number of checks whether a task waits for a start.
    std::uint64_t waitingChecks() const;
    //! \brief Reservations of waiting tasks now, and what was started before them in this term.
    backfill_summary backfillSummary() const;
    //! \brief Total number of checks whether a worker needs orders.
    std::uint64_t orderChecks() const;

    const std::map<std::string, std::unique_ptr<worker_state>>& workers() const;

private:
    struct waiting_step {
        job_state* job = nullptr;
        unsigned step = 0;
        queue_traits traits;
    };
    //! A task with a reserved worker, in the current round of starts.
    struct task_reservation {
        task_state* task = nullptr;
        model::resources reserved;
    };
    struct service_wait {
        const job_state* job = nullptr;
        unsigned step = 0;
        unsigned index = 0;
        task_wait wait;
    };
    //! Limits the processor time that reservations for waiting tasks take.
    static constexpr unsigned reservationSearchesPerReview = 4;

    struct unconfirmed_worker {
        //! Time by which the runs of former leaders have ended there.
        utils::time_point until;
        //! Address to which the former leader sent its starts; empty if unknown.
        std::string endpoint;
        //! Process of the roster; 0 if unknown.
        std::int64_t incarnation = 0;
        //! An earlier process of it was known, or has been replaced since.
        bool hasRestarted = false;
        //! The former leader has told how long it may execute runs.
        bool isHandedOver = false;
        //! When it last sent a report that may lack ends; the epoch before.
        utils::time_point reportedAt;
        //! Time by which the runs of the leaders before the former one have ended, which granted the worker no lease.
        std::optional<utils::time_point> promisedUntil {};
        //! It has answered this leader.
        bool hasAnswered = false;
        //! The wait for it that this leader tells the next one, and when it is due to be told anew.
        std::optional<utils::milliseconds> waitLeft {};
        utils::time_point nextPromiseAt {};
    };
    //! Worker to which a best-effort run of an image and size may move; nullptr if there is none or it is taken.
    struct move_target {
        model::resources taskResources;
        image_index image = 0;
        std::string service;
        std::string label;
        const worker_state* worker = nullptr;
    };

    // Jobs.
    job_state& insertJob(const job_spec& job, utils::time_point now);
    void countMemory(job_state& job, std::uint64_t bytes);
    //! \brief Creates the states of the steps and tasks of a job that has none.
    void createSteps(job_state& job);
    //! \brief Releases the payload and the states of the steps and tasks.
    void releaseJob(job_state& job);
    void updateStepReadiness(job_state& job, utils::time_point now);
    void endJob(job_state& job, job_phase phase, utils::time_point now, const std::string& reason);
    void markChanged(job_state& job);
    void queueForStorage(job_state& job);
    void stopRuns(job_state& job, utils::time_point now, const std::string& reason);
    job_progress progressOf(const job_state& job) const;
    const queue_rules* rulesOf(const job_state& job) const;
    //! \brief Number of failed runs of one task after which the job fails; nullopt as long as it isn't known.
    std::optional<unsigned> maximumAttemptsOf(const job_state& job) const;
    //! \brief Ends the job if the task has failed as often as the queue allows. Without a known limit the task waits.
    void judgeFailures(job_state& job, unsigned step, unsigned index, utils::time_point now);
    //! \brief Judges the failures that waited for the configuration.
    void judgeWaitingFailures(utils::time_point now);

    // Runs.
    run_state& openRun(job_state& job, unsigned step, unsigned index, worker_state& worker, std::uint64_t number, utils::time_point now);
    void closeRun(run_state& run, utils::time_point now);
    //! \brief Closes a run whose start the worker has certainly not executed.
    void closeRefusedRun(run_state& run, utils::time_point now);
    //! \brief Records that the worker has executed the start.
    void confirmStart(run_state& run, external::worker_time clock, utils::time_point now);
    //! \brief Handles the refusal of a start by another worker.
    void handleOtherWorkerAtAddress(worker_state& worker, run_state& run, utils::time_point now);
    //! \brief Handles a reply of another worker at \a endpoint to an order that was decided at \a decidedAt.
    void handleReplacement(worker_state& worker, const std::string& endpoint, utils::time_point decidedAt, utils::time_point now);
    void stopRun(run_state& run, utils::time_point now, const std::string& reason);
    run_state* findRun(worker_state& worker, const external::run_id& id);
    task_state* findTask(const external::run_id& id, job_state** job);
    //! \brief Creates the states of a released job again and returns the task; null if there is no such task of a released job.
    task_state* recreateTask(const external::run_id& id, job_state** job);
    task_state& taskOf(const run_state& run);
    void completeTask(job_state& job, unsigned step, unsigned index, utils::time_point now);
    void recordTaskFailure(job_state& job, unsigned step, unsigned index, std::uint64_t run, worker_state& worker, utils::time_point now);
    //! How a worker lost its runs.
    enum class worker_loss {
        //! Another worker answers at its address.
        Replaced,
        //! Another process of the same worker answers, which may execute starts that were ordered before.
        Restarted,
        //! The worker may still execute, but its lease has expired.
        LeaseExpired,
    };
    void closeRunsAsLost(worker_state& worker, worker_loss loss, utils::time_point now, const std::string& reason);
    //! \brief Keeps a run that the present process of its restarted worker may execute.
    void keepForNextProcess(run_state& run, utils::time_point now);
    external::run_id idOf(const run_state& run) const;
    external::run_traits traitsOf(const run_state& run) const;
    void reportEvent(engine_event_kind kind, const run_state& run, const std::string& detail, bool isRoutine = false);
    void reportEvent(engine_event_kind kind, const worker_state& worker, const std::string& detail);

    // Tasks that crash their workers.
    //! \brief Records that the unresponsive worker may have crashed because of its suspected runs.
    void recordPossibleCrash(worker_state& worker);
    void addPossibleCrash(run_state& run, bool isLate);
    //! \brief Counts the worker's possible crash against the suspected tasks if it \a hasCrashed, else drops it.
    void resolvePossibleCrash(worker_state& worker, bool hasCrashed, utils::time_point now);
    //! \brief Continues to look for proofs of the possible crashes that a former leader has stored.
    void restorePossibleCrashes(utils::time_point now);
    void delaySuspectedTasks(const worker_state& worker, utils::time_point now);

    // Observations.
    worker_state& ensureWorker(const std::string& id, utils::time_point now);
    void beginIncarnation(worker_state& worker, std::int64_t incarnation, utils::time_point now);
    //! \brief Ends the wait for an unconfirmed worker, if the process to which \a observation was sent is the one that former
    //! leaders sent their starts to. That process has ended.
    void confirmReplaced(const worker_state& worker, const worker_process& observation);
    //! \brief Updates the worker's clock by the reply to an order for \a process, or notices that the process has ended.
    void handleReplyClock(worker_state& worker, const worker_process& process, external::worker_time clock, utils::time_point now);
    //! \brief Handles an answer of a process of the worker, which may be a former or a later one than the known.
    void handleObservation(worker_state& worker, const observe_command& command, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now);
    void handleRunEnd(worker_state& worker, const external::run_end& end, utils::time_point now);
    //! \brief Ends the wait for a worker of a former leader once it has certainly listed all runs and ends.
    void confirmRuns(worker_state& worker, std::size_t endCount, utils::time_point now);
    void handleRunReports(worker_state& worker, const external::observation& reported, bool isNewest, utils::time_point sentAt, utils::time_point now);
    //! \brief Returns the reported run, or nullptr if the engine doesn't track it. \a isNewest if no reply of the process has an
    //! equal or later time.
    run_state* handleRunReport(worker_state& worker, const external::run_report& report, bool isNewest, utils::time_point now);
    //! \brief Replaces the guessed incarnation of the present process by its own.
    void identifyProcess(worker_state& worker, std::int64_t incarnation);
    //! \brief Has the worker tell its incarnation, and acknowledges no ends until then.
    void queryIncarnation(worker_state& worker, utils::time_point now);
    //! \brief Notes that an order which was sent at the given time got no answer.
    //! \brief Logs ends that the worker has forgotten before this leader has received them.
    void reportForgottenEnds(const worker_state& worker, const std::vector<external::run_end>& ended);
    void noteUnansweredOrder(worker_state& worker, utils::time_point sentAt);
    //! \brief Gives the orders to the worker that are decided from now on a higher fencing token than those before. Ends the term if it
    //! has no further ones.
    void raiseFence(worker_state& worker);
    //! \brief Whether the outcome of an order with the given token shows that another leader has begun a term.
    bool isDeposedBy(const worker_state& worker, external::order_outcome outcome, std::uint64_t fence);
    void recordReport(worker_state& worker, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now);
    void adoptPace(run_state& run, std::optional<int> pace, utils::time_point now);
    std::vector<external::described_run> describeRuns(const worker_state& worker) const;
    void handleMissingRun(run_state& run, utils::time_point sentAt, utils::time_point now);
    void updateClock(worker_state& worker, external::worker_time clock, utils::time_point now);
    external::worker_time grantLease(worker_state& worker, utils::time_point now);
    //! Acknowledges the ends that are reflected in the stored progress of their jobs.
    void acknowledgeEnds(worker_state& worker);

    // Evacuations of data centres.
    void updateEvacuation(worker_state& worker);
    void updateColdTime(worker_state& worker, utils::time_point now) const;
    //! \brief Whether the service has workers, all of them in data centres under evacuation.
    bool isServiceEvacuated(const std::string& service) const;
    evacuation_remainder remainderOf(const std::string& dataCentre) const;
    void reportEvacuation(engine_event_kind kind, const std::string& dataCentre, utils::milliseconds knownFor);
    void reviewEvacuations(utils::time_point now);
    //! \brief Stops service tasks in data centres under evacuation for which another worker has room, which is reserved for them.
    void moveServicesFromEvacuatedWorkers(utils::time_point now);
    //! \brief Stops runs there that end by themselves, if that loses less than waiting for their end.
    void moveRunsFromEvacuatedWorkers(utils::time_point now);
    //! \brief Stops the run and reserves room for its task elsewhere; returns whether there is room. Limits the searches of each review.
    bool departTo(run_state& run, std::size_t& searches, utils::time_point now);
    std::optional<run_departure> departureOf(const run_state& run) const;

    // Decisions.
    //! \brief Whether the directory, the cancellations and the evacuations are recent enough to start tasks.
    bool mayStart(utils::time_point now);
    void expireLeases(utils::time_point now);
    void moveTasksFromDrainingWorkers(utils::time_point now);
    void handleStalledRuns(utils::time_point now);
    //! \brief Reason to stop a run on its worker, or nullopt.
    std::optional<std::string> longRunningFailureReason(const run_state& run, utils::time_point now) const;
    std::optional<std::string> bestEffortStallReason(const run_state& run, utils::time_point now) const;
    //! \brief Stops a best-effort run that is paced down, if another worker has an idle place for it.
    void moveCrawlingRun(run_state& run, task_state& task, utils::time_point now);
    std::optional<std::string> batchStallReason(const run_state& run, utils::time_point now) const;
    //! \brief Duration, in ms, of the other tasks of a run's step; nullopt if too few of them have made progress.
    std::optional<double> siblingDuration(const run_state& run) const;
    void sampleLatencies(worker_state& worker, utils::time_point now);
    //! \brief Logs service tasks whose latency target is missed for long, and what keeps their worker from a review of its paces.
    void reportMissedTarget(run_state& run, utils::time_point now);
    void orderPace(run_state& run, int percent, utils::time_point now, std::vector<engine_command>& commands);
    void paceBestEffortRuns(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands);
    void startWaitingTasks(utils::time_point now, std::vector<engine_command>& commands);
    //! \brief Starts the tasks whose reserved workers have room; they wait for no other task.
    void startReservedTasks(utils::time_point now, std::vector<engine_command>& commands);
    void startReservedTask(job_state& job, unsigned step, unsigned index, utils::time_point now, std::vector<engine_command>& commands);
    void startTask(job_state& job, unsigned step, unsigned index, worker_state& worker, utils::time_point now, std::vector<engine_command>& commands);
    //! \brief Steps with tasks that may wait for a start, in the order of their starts.
    std::vector<waiting_step> waitingSteps(utils::time_point now) const;
    //! \brief Logs at intervals how the processors are allocated, and which tasks wait for a worker.
    void reportWaitingTasks(utils::time_point now);
    void reportCapacity(utils::time_point now);
    void reportReservations();
    //! \brief Logs why service tasks have had no confirmed run for some time; a bounded number of those that have waited longest for
    //! each cause.
    void reportServiceWaits(utils::time_point now);
    void reportServiceWait(const service_wait& waiting, std::size_t taskCount, utils::time_point now);
    place_counts countPlaces(const job_state& job, unsigned step, const task_state& task, utils::time_point now) const;
    void updateProcessorBalances(utils::time_point now);
    void updateBacklogs(utils::time_point now);
    void publishBacklogs(utils::time_point now);
    //! \brief Adds the new job to the backlog until the next forecast.
    void noteAcceptedWork(const job_state& job);
    size_group sizeGroupOf(const job_spec& job);
    void countEnd(const job_state& job);
    double durationRatioOf(const std::string& queue) const;
    //! \brief Mean expected duration of the longest chains of the queue's jobs; 0 if unknown.
    utils::milliseconds meanChainOf(const std::string& queue) const;
    //! \brief Work of the job's tasks that have no run, and of the rest of a run; in core-seconds.
    double unstartedWork(const job_state& job) const;
    double remainingWork(const run_state& run, utils::time_point now) const;
    int priorityOf(const std::string& queue) const;
    bool delaysNewJobs(job_state& job, utils::time_point now) const;
    bool isWaiting(const job_state& job, unsigned step, const task_state& task, utils::time_point now) const;
    //! \brief Requirement for a best-effort task that has been waiting for \a waited on the workers of the service.
    placement_requirement requirementFor(const std::string& service, utils::milliseconds waited) const;
    //! Lower is better; nullopt for a worker that may not get a task of the step.
    std::optional<double> costOf(const worker_state& worker, const job_state& job, unsigned step, utils::time_point now, const placement_requirement& needed) const;
    worker_state* chooseWorker(const job_state& job, unsigned step, const task_state& task, utils::time_point now, const placement_requirement& needed) const;
    worker_state* chooseWorkerForSuspect(const job_state& job, unsigned step, bool isIsolated, utils::time_point now, const placement_requirement& needed) const;
    //! \brief Starts a task that is suspected of crashing workers; returns its worker, or nullptr if it has to wait.
    worker_state* startSuspectedTask(job_state& job, unsigned step, unsigned index, utils::time_point now, const placement_requirement& needed, std::vector<engine_command>& commands);
    //! \brief Opens the worker for other tasks once its suspected task has survived its probation.
    void reviewSuspectRun(worker_state& worker, utils::time_point now);
    double crowdingCost(const worker_state& worker, const job_state& job, unsigned step, utils::time_point now) const;
    double blockedDemandCost(const worker_state& worker, const step_spec& step, image_index image) const;
    void updateBlockedDemand();
    void rebalanceServiceTasks(utils::time_point now);
    //! \brief Adds the places that service tasks may leave or take in this round.
    void addServicePlaces(exchange_search& search, utils::time_point now);
    bool mayTakePlace(const run_state* run, const service_place& place, utils::time_point now) const;
    void exchangePlaces(const service_place& left, const service_place& right, utils::time_point now);
    //! \brief Reserves resources on a worker until the task is started there or the reservation expires. The next leader doesn't
    //! know of it.
    void reserveWorker(job_state& job, unsigned step, unsigned index, worker_state& worker, utils::time_point until);
    //! \brief Reserves the worker on which a task that fits nowhere will have room first, so that it isn't overtaken there by smaller
    //! ones; returns whether there is one.
    bool reserveForWaitingTask(const waiting_step& waiting, unsigned index, utils::time_point now);
    std::vector<expected_end> expectedEnds(const worker_state& worker, utils::time_point now) const;
    //! \brief Tasks with a planned start on a reserved worker that has free resources until then.
    std::vector<task_reservation> reservationsToBackfill();
    //! \brief Reserved worker on which a batch task may be started before the task that the worker is reserved for, or nullptr.
    worker_state* takeReservedPlace(const job_state& job, unsigned step, const task_state& task, const std::vector<task_reservation>& reservations, utils::time_point now);
    //! \brief When enough batch runs of the worker should have ended for the task; nullopt if their ends don't suffice.
    std::optional<utils::time_point> timeOfRoom(const worker_state& worker, const job_state& job, unsigned step, const task_state& task, utils::time_point now) const;
    void releaseReservation(job_state& job, unsigned step, task_state& task);
    void releaseExpiredReservations(utils::time_point now);
    bool mayPlaceIgnoringResources(const worker_state& worker, const step_spec& step, utils::time_point now) const;
    //! \brief Whether the run may move to a worker on which it isn't slowed down.
    bool takeBetterWorker(const run_state& run, const task_state& task, utils::time_point now);
    //! \brief Has the next decision check which orders and observations the worker needs.
    void queueForOrders(worker_state& worker);
    void appendOrders(utils::time_point now, std::vector<engine_command>& commands);
    void appendStopCommands(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands);
    void appendObserveCommands(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands);
    void endRestorationIfComplete(utils::time_point now);
    //! \brief Whether the directory has had an entry of the worker in this term.
    //! \brief Time by which the runs of former leaders have ended on a worker that doesn't answer.
    utils::time_point waitEnd(const std::string& id, const unconfirmed_worker& worker) const;
    bool mayHoldLongLease(const std::string& id, const unconfirmed_worker& worker) const;
    //! \brief Whether another process of the worker is known than the roster had.
    bool isOtherProcess(const std::string& id, const unconfirmed_worker& worker) const;
    bool hasBeenListed(const std::string& worker) const;
    utils::milliseconds unlistedWorkerWait() const;
    //! \brief Has the roster tell the next leader how long the workers without an answer have to be waited for. This leader may
    //! grant them no lease from then on until a roster without that is stored.
    void promiseWaits(utils::time_point now);
    //! \brief Ends the promise to grant no lease to the worker, which has answered, with the next roster.
    void withdrawWaitPromise(const worker_state& worker);
    roster_worker rosterEntryOf(const worker_state& worker) const;
    bool belongsOnRoster(const worker_state& worker) const;
    bool isRosterStored(const worker_state& worker) const;
    duration_estimate expectedDuration(const job_state& job, unsigned step) const;
    utils::time_point deadlineOf(const job_state& job) const;
    //! \brief Expected time from the start of each step to the end of the longest chain of steps that begins with it.
    std::vector<utils::milliseconds> remainingChains(const job_state& job) const;
    utils::time_point cachedDeadline(job_state& job, utils::time_point now) const;

    engine_settings m_settings;
    std::uint64_t m_term;
    event_callback m_onEvent;
    rules_index m_rules;
    //! The operators' configuration has arrived.
    bool m_hasRules = false;
    //! New rules may decide on failures that couldn't be judged.
    bool m_mayJudgeFailures = false;
    std::unordered_map<std::string, std::unique_ptr<job_state>> m_jobs;
    std::uint64_t m_heldMemory = 0;
    std::map<std::string, std::unique_ptr<worker_state>> m_workers;
    //! The same workers, in the same order, for the loops of each decision.
    std::vector<worker_state*> m_workerList;
    //! Jobs that have not ended, in order of acceptance.
    std::vector<job_state*> m_activeJobs;
    //! Jobs whose progress has to be stored, in the order of their changes.
    std::deque<std::string> m_changedJobs;
    //! The same of jobs that have ended.
    std::deque<std::string> m_endedJobs;
    //! By the name of the data centre.
    std::map<std::string, data_centre_path> m_paths;
    std::vector<worker_state*> m_workersQueuedForOrders;
    std::vector<roster_worker> m_storedRoster;
    //! Workers that may execute runs of a former leader and haven't answered this one.
    std::map<std::string, unconfirmed_worker> m_unconfirmedWorkers;
    utils::time_point m_termStartedAt;
    //! Until when no other leader can begin a term; unlimited until the first confirmation.
    utils::time_point m_leadershipCertainUntil = utils::time_point::max();
    std::optional<utils::time_point> m_lastFormerRenewal;
    //! Since when no former leader sends orders, as far as is proven.
    std::optional<utils::time_point> m_formerLeadersEndedAt;
    utils::time_point m_directoryConfirmedAt;
    utils::time_point m_cancellationsConfirmedAt;
    evacuations m_evacuations;
    //! When the last task left each data centre under evacuation.
    std::map<std::string, utils::time_point> m_emptiedAt;
    utils::time_point m_evacuationsReviewedAt;
    utils::time_point m_evacuationsReportedAt;
    //! Since when no task is started because the directory, the cancellations or the evacuations are too old.
    std::optional<utils::time_point> m_startsSuspendedSince;
    bool m_isRestoring = false;
    bool m_isDeposed = false;
    interference_model m_interference;
    blocked_demand_model m_blockedDemand;
    //! Processors that best-effort tasks requested, by image; decays exponentially.
    std::vector<double> m_bestEffortDemand;
    utils::time_point m_rebalancedAt;
    //! Tasks with a reservation on a worker.
    std::vector<external::task_id> m_reservedTasks;
    //! Number of those that found no worker, by the missed deadline of their job.
    std::array<std::size_t, deadlineMissCount> m_waitReservationCounts {};
    backfill_summary m_backfillSummary;
    //! Searches of the fleet for such tasks that are left until the next review.
    unsigned m_reservationSearches = 0;
    //! When the time-driven decisions were made last, and when stalled runs were looked for.
    utils::time_point m_reviewedAt;
    utils::time_point m_stallsReviewedAt;
    mutable std::uint64_t m_evaluatedPlacements = 0;
    std::uint64_t m_evaluatedMoves = 0;
    mutable std::uint64_t m_waitingChecks = 0;
    std::uint64_t m_orderChecks = 0;
    //! Whether anything changed that may let a waiting task start.
    bool m_mayStartTasks = true;
    failed_searches m_failedSearches;
    utils::time_point m_waitingReportedAt;
    //! By service.
    std::map<std::string, processor_balance> m_processorBalances;
    utils::time_point m_balancesUpdatedAt;
    //! By service; empty as long as there is no forecast.
    std::map<std::string, service_backlog> m_backlogs;
    std::map<std::string, usable_share> m_usableShares;
    utils::time_point m_backlogsUpdatedAt;
    std::optional<published_forecast> m_publishedForecast;
    job_outcomes m_outcomes;
    //! Found in the present review of stalled runs.
    std::vector<move_target> m_moveTargets;
    //! Active job with which the next review of stalled runs begins.
    std::size_t m_moveReviewOffset = 0;
    //! Mean duration of each queue's runs divided by the callers' estimate.
    std::map<std::string, double> m_durationRatios;
    //! Mean longest chain of each queue's jobs by the callers' estimates, ms.
    std::map<std::string, double> m_meanDeclaredChains;
};

} // namespace camphorsaddle::jobs
