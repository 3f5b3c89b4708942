#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_engine.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "tasks/coordinator/decision_pacer.h"
#include "tasks/coordinator/early_cancellation_sweep.h"
#include "tasks/coordinator/former_leaders.h"
#include "tasks/coordinator/inbox_tracker.h"
#include "tasks/coordinator/job_daemon_settings.h"
#include "tasks/coordinator/job_event_log.h"
#include "tasks/coordinator/job_memory_budget.h"
#include "tasks/coordinator/leader_election.h"
#include "tasks/coordinator/leader_writer.h"
#include "tasks/coordinator/prefix_watch.h"
#include "tasks/coordinator/relayed_run_control.h"
#include "tasks/coordinator/rules_codec.h"
#include "tasks/coordinator/stored_jobs.h"
#include "tasks/coordinator/worker_directory.h"

namespace camphorsaddle::tasks {

using reply_callback = std::function<void(const job_reply&)>;

//! \brief Refusal of a new job by the leader.
struct submission_refusal {
    std::string reason;
    utils::milliseconds retryAfter { 0 };
    //! Figures for the log.
    std::string details;
    //! The refusal follows from the forecast.
    bool isForecast = false;
};

//! \brief One term of this daemon as leader: loads the jobs, executes the decisions of the job engine and handles calls.
//!
//! Owned by a shared pointer, so that callbacks which run after the end of the term can detect it.
class leader_term : public std::enable_shared_from_this<leader_term> {
public:
    //! \a onDeposed is called with a reason when the term must end, usually because there is another leader.
    leader_term(transport::event_loop& loop, const job_daemon_settings& settings, const deployment_adapter& deployment, external::transactional_store& store,
        relayed_run_control& runControl, leader_election& election, std::function<void(const std::string& why)> onDeposed);

    //! \brief Loads the stored jobs and starts serving.
    void begin();
    //! \brief Stops sending orders and stores the worker roster for the next leader.
    //!
    //! \a done is called once, even if the store can't be reached.
    void handOver(std::function<void()> done);
    //! \brief The same in favour of another daemon. Stores nothing while the runs of former leaders aren't all known: the next leader then
    //! waits for them as this one does, and not for the times of a planned stop.
    void transferLead(std::function<void()> done);
    //! \brief Ends the term: sends no more orders and replies NotLeader to pending calls.
    void end();
    //! \brief Counts the outcomes of the jobs there from now on.
    void setMetrics(utils::metric_registry& metrics);
    void setRules(std::shared_ptr<const jobs::deployment_rules> rules);
    //! \brief Records how much memory all jobs may take if the daemon at \a endpoint leads; 0 if it doesn't tell.
    void noteJobMemoryLimit(const std::string& endpoint, std::uint64_t limit, utils::time_point now);
    //! \brief Records that the daemon at \a endpoint leads no term before \a term.
    void noteFollower(const std::string& endpoint, std::uint64_t term);
    //! \brief The leaders before this term that are not known to have ended.
    const std::vector<jobs::leader_record>& unprovenLeaders() const;
    //! \brief Calls \a reply once, now or later.
    void handleCall(const job_call& call, reply_callback reply);
    //! \brief What the other daemons need for the admission of jobs.
    admission_update publishedAdmission(utils::time_point now) const;
    //! \brief Bytes of the jobs of this term, also of those whose write isn't settled.
    std::uint64_t heldMemory() const;
    //! \brief Whether the stored jobs are loaded.
    bool isLoaded() const;
    //! \brief The evacuations that this leader knows.
    std::vector<jobs::evacuation_status> evacuationStatuses(utils::time_point now) const;
    //! \brief Reservations of waiting tasks and what was started before them.
    jobs::backfill_summary backfillSummary() const;

private:
    //! A job whose write is under way, or got no answer.
    struct unsettled_submission {
        std::uint64_t memory = 0;
        //! A write of it got no answer and may still take effect, so that it isn't refused.
        bool mayBeStored = false;
    };

    void loadJobs();
    void loadLearnedRecord();
    void loadRoster();
    void startServing(const jobs::worker_roster& roster);
    void onWorkerEntry(const std::string& key, const external::key_value* value);
    void onInboxEntry(const std::string& key, const external::key_value* value);
    void onEvacuationEntry(const std::string& key, const external::key_value* value);
    //! \brief Tells the engine which data centres the store lists for evacuation.
    void updateEvacuations();
    //! \brief Adds a job that the store has, and cancels it if the inbox has said so already.
    void addJob(const jobs::job_spec& job, utils::time_point now);
    void adoptJob(const std::string& id, external::revision entryVersion);
    //! \brief Reads a job whose inbox entry is gone and adds it; a job that is known already stays as it is.
    void loadAnnouncedJob(const std::string& id);
    void submitJob(const job_call& call, const reply_callback& reply);
    void recordOutcomes();
    void storeSubmission(const job_call& call, const reply_callback& reply, utils::time_point now);
    //! \brief Why a new job can't be accepted now; nullopt if it can.
    std::optional<submission_refusal> findRefusal(const jobs::job_spec& job, utils::time_point now) const;
    //! \brief Refuses the job if there is a reason and the store doesn't have it; returns false if it is to be accepted.
    bool refuseSubmission(const job_call& call, const reply_callback& reply, utils::time_point now);
    void completeRefusal(const job_call& call, const reply_callback& reply, const submission_refusal& refusal, const absl::StatusOr<external::key_value>& stored, utils::time_point calledAt);
    //! \brief Whether a write of the job got no answer and may still take effect.
    bool mayBeStored(const std::string& id) const;
    void completeSubmission(const jobs::job_spec& job, write_outcome outcome);
    void settleSubmission(const std::string& id);
    void cancelJob(const job_call& call, const reply_callback& reply);
    //! \brief Asks the store for changes of the workers and of the inbox that the long polls haven't reported.
    void refreshWatches();
    void scheduleDecisions();
    void runDecisions();
    void executeCommand(const jobs::engine_command& command);
    void writePendingProgress();
    void writeRoster();
    void writeLearnedRecord();
    //! \brief Tells the engine once that all former leaders have ended.
    void reviewFormerLeaders();
    //! \brief Stores that no former leader has to be considered by the next one, once the engine knows all their runs.
    void writeHistory();
    void eraseFinishedJobs();
    void eraseEarlyCancellations();

    const deployment_adapter& m_deployment;
    external::transactional_store& m_store;
    relayed_run_control& m_runControl;
    leader_election& m_election;
    std::function<void(const std::string& why)> m_onDeposed;
    job_event_log m_eventLog;
    jobs::job_engine m_engine;
    worker_directory m_workerDirectory;
    leader_writer m_writer;
    prefix_watch m_workerWatch;
    prefix_watch m_inboxWatch;
    //! Requests to evacuate data centres; null if the deployment has none.
    std::unique_ptr<prefix_watch> m_evacuationWatch;
    decision_pacer m_decisionPacer;
    transport::timer m_decisionTickTimer;
    transport::timer m_decisionTimer;
    transport::timer m_reloadTimer;
    transport::timer m_housekeepingTimer;
    transport::timer m_refreshTimer;
    bool m_isLoaded = false;
    bool m_hasEnded = false;
    bool m_isHandingOver = false;
    utils::time_point m_startedAt;
    transport::timer m_learnedWriteTimer;
    std::vector<std::pair<job_call, reply_callback>> m_pendingCalls;
    //! Reply callbacks by job id for submissions that are being written to the store.
    std::map<std::string, std::vector<reply_callback>> m_submissionReplies;
    std::map<std::string, unsettled_submission> m_unsettledSubmissions;
    //! Bytes of all of them.
    std::uint64_t m_unsettledMemory = 0;
    //! Bytes of the submissions that wait until the stored jobs are loaded, and their limit.
    std::uint64_t m_pendingMemory = 0;
    std::uint64_t m_pendingMemoryLimit;
    job_memory_budget m_jobMemory;
    //! Version of the stored progress by job id.
    std::map<std::string, external::revision> m_progressVersions;
    stored_jobs m_storedJobs;
    //! Ids of jobs whose progress is being written to the store.
    external::revision m_rosterVersion = 0;
    bool m_isStoringRoster = false;
    external::revision m_learnedVersion = 0;
    bool m_isStoringLearned = false;
    inbox_tracker m_inboxTracker;
    utils::metric_registry* m_metrics = nullptr;
    former_leaders m_formerLeaders;
    bool m_haveFormerLeadersEnded = false;
    bool m_isHistoryWritten = false;
    early_cancellation_sweep m_earlyCancellationSweep;
};

} // namespace camphorsaddle::tasks
