#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_engine.h"
#include "tasks/coordinator/carried_runs.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "tasks/coordinator/inbox_marks.h"
#include "tasks/coordinator/job_daemon_settings.h"
#include "tasks/coordinator/leader_writer.h"
#include "tasks/coordinator/leadership.h"
#include "tasks/coordinator/prefix_watch.h"

namespace camphorsaddle::tasks {

using reply_function = std::function<void(const job_reply&)>;

//! \brief What a daemon does while it leads: loads the jobs, drives the engine, and answers calls.
//!
//! Owned by a shared pointer, so that answers that arrive after the term find it gone.
class leader_term : public std::enable_shared_from_this<leader_term> {
public:
    //! \a deposed is called when another leader was met.
    leader_term(transport::event_loop& loop, const job_daemon_settings& settings, const deployment& format, external::transactional_store& store,
        carried_runs& control, leadership& lead, std::function<void(const std::string& why)> deposed);

    void begin();
    //! \brief Stops ordering and leaves word of the workers for the next leader; \a done is called once, also without the store.
    void handOver(std::function<void()> done);
    //! \brief Ends the term: callers that wait are told to ask elsewhere, and nothing is ordered any more.
    void end();
    void setRules(std::shared_ptr<const jobs::deployment_rules> rules);
    //! \brief Answers once, perhaps later.
    void answer(const job_call& call, reply_function reply);
    bool isLoaded() const;

private:
    void loadJobs();
    void loadLearned();
    void loadRoster();
    void restore(const external::key_listing& listing);
    void serve(const jobs::worker_roster& roster);
    void onWorker(const std::string& key, const external::key_value* value);
    void onInbox(const std::string& key, const external::key_value* value);
    void adopt(const std::string& id, external::revision markVersion);
    void submit(const job_call& call, const reply_function& reply);
    void settleSubmission(const jobs::job_spec& job, write_outcome outcome, const external::key_value* present);
    void cancel(const job_call& call, const reply_function& reply);
    void wake();
    void drive();
    void execute(const jobs::engine_command& command);
    void writeProgress();
    void writeRoster();
    void writeLearned();
    void forgetJobs();
    void note(const jobs::engine_event& note) const;

    const deployment& m_format;
    external::transactional_store& m_store;
    carried_runs& m_control;
    leadership& m_lead;
    std::function<void(const std::string& why)> m_deposed;
    jobs::job_engine m_engine;
    leader_writer m_writer;
    prefix_watch m_workers;
    prefix_watch m_inbox;
    transport::timer m_tick;
    transport::timer m_wake;
    transport::timer m_reload;
    transport::timer m_housekeeping;
    transport::timer m_refresh;
    bool m_isLoaded = false;
    bool m_hasEnded = false;
    bool m_isHandingOver = false;
    utils::time_point m_begunAt;
    transport::timer m_learning;
    std::vector<std::pair<job_call, reply_function>> m_waiting;
    //! Submissions whose write is under way, with everyone who waits for it.
    std::map<std::string, std::vector<reply_function>> m_submissions;
    std::map<std::string, external::revision> m_progressVersions;
    std::set<std::string> m_storing;
    external::revision m_rosterVersion = 0;
    bool m_isStoringRoster = false;
    external::revision m_learnedVersion = 0;
    bool m_isStoringLearned = false;
    inbox_marks m_adopting;
};

} // namespace camphorsaddle::tasks
