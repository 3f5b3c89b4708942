#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/engine_command.h"
#include "jobs/engine_settings.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/placement.h"
#include "jobs/rules_index.h"
#include "jobs/serving_arrangement.h"

namespace camphorsaddle::jobs {

//! \brief Rewrite of a job's course that the store is to take.
struct progress_write {
    std::string job;
    std::string value;
    std::uint64_t version = 0;
};

//! \brief Decides for one term of a leader where the tasks of all jobs run.
//!
//! Events and the present time go in, commands come out; no input and output of its own. The present time includes
//! suspensions of the host. A task runs again only if the end of its former run is known: reported by its worker, its
//! worker's life is over, or the lease has surely lapsed.
class job_engine {
public:
    using note_function = std::function<void(const engine_event&)>;

    //! \a term is the fencing token of all orders.
    job_engine(engine_settings settings, std::uint64_t term, note_function note);
    ~job_engine();
    job_engine(const job_engine&) = delete;
    job_engine& operator=(const job_engine&) = delete;

    void setRules(std::shared_ptr<const deployment_rules> rules);

    // What the directory of workers says.
    void announceWorker(const worker_description& worker, utils::time_point now);
    void withdrawWorker(const std::string& worker, utils::time_point now);

    // Jobs whose records the store has.
    void restore(const job_spec& job, const job_progress& progress, bool isCancelled, utils::time_point now);
    //! \brief Ends the restoration: tasks of restored jobs wait until each worker of \a roster has told what it runs.
    //! A leader that ended its term in order has no reach beyond it, so that only leases are waited for.
    void beginTerm(const worker_roster& roster, utils::time_point now);
    //! \brief Roster for the next leader; this one gives no order any more.
    worker_roster endTerm(utils::time_point now) const;
    void add(const job_spec& job, utils::time_point now);
    void cancel(const std::string& id, utils::time_point now);

    // Answers to commands.
    void handleStartReply(const std::string& worker, const external::run_id& run, const external::order_reply& reply, utils::time_point sentAt, utils::time_point now);
    void handleStopReply(const std::string& worker, const external::run_id& run, const external::order_reply& reply, utils::time_point now);
    void handlePaceReply(const std::string& worker, const external::run_id& run, int percent, const external::order_reply& reply, utils::time_point now);
    void handleObserveReply(const std::string& worker, const observe_command& command, const external::observe_reply& reply, utils::time_point sentAt, utils::time_point now);

    //! \brief Orders that are due now.
    std::vector<engine_command> decideCommands(utils::time_point now);

    // The store's side.
    std::vector<progress_write> takeProgressWrites(std::size_t limit);
    void markProgressStored(const std::string& job, std::uint64_t version);
    void requeueProgressWrite(const std::string& job);
    std::vector<std::string> roster() const;
    //! \brief Whether the stored roster lacks a worker or names one that can hold no run any more.
    bool needsRosterWrite() const;
    void markRosterStored(const std::vector<std::string>& workers);
    learned_record learned() const;
    void restoreLearned(const learned_record& learned);
    //! \brief Forgets jobs that ended long ago and tells their ids.
    std::vector<std::string> forgetFinishedJobs(utils::time_point now, std::size_t limit);

    // Questions of callers.
    bool hasJob(const std::string& id) const;
    //! \brief Phase that callers may be told: final only when the store has it.
    std::optional<job_phase> phase(const std::string& id) const;
    std::uint64_t pending(const std::string& queue) const;
    std::size_t unfinishedJobCount() const;
    //! \brief A worker has met a higher fencing token, so that another leader is at work.
    bool isDeposed() const;
    //! \brief Workers that were weighed as places for tasks so far, each time counted.
    std::uint64_t placesWeighed() const;

    const std::map<std::string, std::unique_ptr<worker_state>>& workers() const;

private:
    struct idle_step;
    class place_search;

    // jobs
    job_state& insert(const job_spec& job, utils::time_point now);
    void refreshReadiness(job_state& job, utils::time_point now);
    void endJob(job_state& job, job_phase phase, utils::time_point now, const std::string& why);
    void changed(job_state& job);
    void stopRuns(job_state& job, utils::time_point now, const std::string& why);
    job_progress progressOf(const job_state& job) const;
    const queue_rules* rulesOf(const job_state& job) const;
    unsigned attemptsOf(const job_state& job) const;

    // runs
    run_state& openRun(job_state& job, unsigned step, unsigned index, worker_state& worker, std::uint64_t number, utils::time_point now);
    void closeRun(run_state& run, utils::time_point now);
    void stopRun(run_state& run, utils::time_point now, const std::string& why);
    run_state* findRun(worker_state& worker, const external::run_id& id);
    task_state* findTask(const external::run_id& id, job_state** job);
    task_state& taskOf(const run_state& run);
    void taskDone(job_state& job, unsigned step, unsigned index, utils::time_point now);
    void taskFailed(job_state& job, unsigned step, unsigned index, std::uint64_t run, worker_state& worker, utils::time_point now);
    void loseRuns(worker_state& worker, utils::time_point now, const std::string& why);
    external::run_id idOf(const run_state& run) const;
    void note(note_kind kind, const run_state& run, const std::string& detail);
    void note(note_kind kind, const worker_state& worker, const std::string& detail);

    // observations
    void beginLife(worker_state& worker, std::int64_t life, utils::time_point now);
    void takeEnd(worker_state& worker, const external::run_end& end, utils::time_point now);
    void takeReports(worker_state& worker, const std::vector<external::run_report>& reports, utils::time_point sentAt, utils::time_point now);
    void takeReport(worker_state& worker, const external::run_report& report, utils::time_point now);
    void takeAbsence(run_state& run, utils::time_point sentAt, utils::time_point now);
    void updateClock(worker_state& worker, external::worker_time clock, utils::time_point now);
    external::worker_time grantLease(worker_state& worker, utils::time_point now);
    //! Ends whose jobs the store has may be acknowledged.
    void acknowledgeEnds(worker_state& worker);

    // decisions
    void expireLeases(utils::time_point now);
    void moveFromLeaving(utils::time_point now);
    void findStalledRuns(utils::time_point now);
    //! \brief Why a run is to be moved to another worker, if it is.
    std::optional<std::string> failingServer(const run_state& run, utils::time_point now) const;
    std::optional<std::string> standingFill(run_state& run, task_state& task, utils::time_point now);
    std::optional<std::string> crawlingRun(const run_state& run, utils::time_point now) const;
    //! \brief Duration of the other tasks of a run's step, as far as they tell, ms.
    std::optional<double> siblingDuration(const run_state& run) const;
    void sampleServing(worker_state& worker, utils::time_point now);
    void paceFills(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands);
    void dispatch(utils::time_point now, std::vector<engine_command>& commands);
    void startHeld(job_state& job, unsigned step, unsigned index, utils::time_point now, std::vector<engine_command>& commands);
    void startTask(job_state& job, unsigned step, unsigned index, worker_state& worker, utils::time_point now, std::vector<engine_command>& commands);
    std::vector<idle_step> idleSteps(utils::time_point now) const;
    //! Strict places leave every neighbour within its target; relaxed ones are taken after a wait.
    enum class placement_mode {
        Relaxed,
        Strict,
    };
    //! Lower is better; none for a worker that may not get a task of the step.
    std::optional<double> costOf(const worker_state& worker, const job_state& job, unsigned step, utils::time_point now, placement_mode mode) const;
    worker_state* choose(const job_state& job, unsigned step, const task_state& task, utils::time_point now, placement_mode mode) const;
    double arrangementCost(const worker_state& worker, const step_spec& step, image_number image) const;
    void countBlockers();
    void arrangeServing(utils::time_point now);
    bool moveServer(run_state& run, utils::time_point now);
    bool swapServer(run_state& run, const std::vector<run_state*>& others, utils::time_point now);
    //! \brief Keeps room for a task that is stopped to move, so that it neither returns nor loses its place.
    void holdPlace(run_state& run, worker_state& target, utils::time_point now);
    void releasePlace(job_state& job, unsigned step, task_state& task);
    void releaseOldPlaces(utils::time_point now);
    bool mayServe(const worker_state& worker, const step_spec& step, utils::time_point now) const;
    bool hasBetterPlace(const job_state& job, unsigned step, const task_state& task, utils::time_point now) const;
    void orderStops(utils::time_point now, std::vector<engine_command>& commands);
    void observe(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands);
    void endRestoration(utils::time_point now);
    bool isListed(const std::string& worker) const;
    utils::milliseconds missingWait() const;
    utils::milliseconds expectedDuration(const job_state& job, unsigned step) const;
    utils::time_point objectiveOf(const job_state& job) const;
    utils::time_point cachedObjective(job_state& job, utils::time_point now) const;

    engine_settings m_settings;
    std::uint64_t m_term;
    note_function m_note;
    rules_index m_rules;
    std::unordered_map<std::string, std::unique_ptr<job_state>> m_jobs;
    std::map<std::string, std::unique_ptr<worker_state>> m_workers;
    //! Jobs that have not ended, in order of acceptance.
    std::vector<job_state*> m_active;
    std::set<std::string> m_dirty;
    std::vector<std::string> m_storedRoster;
    //! Workers that may hold runs of a former leader and have not answered this one, and until when.
    std::map<std::string, utils::time_point> m_unheard;
    utils::time_point m_begunAt;
    bool m_isRestoring = false;
    bool m_isDeposed = false;
    interference_model m_interference;
    serving_arrangement m_arrangement;
    //! Processors that the work which fills asked for lately, by image.
    std::vector<double> m_fillDemand;
    utils::time_point m_arrangedAt;
    std::size_t m_arrangementRound = 0;
    //! Tasks with a held place, by job, step and index.
    std::vector<external::task_id> m_holders;
    utils::time_point m_reviewedAt;
    mutable std::uint64_t m_placesWeighed = 0;
    //! Something changed that may let a waiting task start.
    bool m_hasOpening = true;
    //! Mean duration of a queue's runs against their estimate.
    std::map<std::string, double> m_estimateRatios;
};

} // namespace camphorsaddle::jobs
