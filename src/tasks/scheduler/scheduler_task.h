#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "external/guarded_store.h"
#include "external/http_host_directory.h"
#include "external/http_key_value_store.h"
#include "external/http_worker_control.h"
#include "journal/write_budget.h"
#include "membership/assignment.h"
#include "tasks/loop_executor.h"
#include "tasks/scheduler/evacuation_api.h"
#include "tasks/scheduler/evacuation_follower.h"
#include "tasks/scheduler/job_api.h"
#include "tasks/scheduler/shard_owner.h"
#include "tasks/task.h"

namespace camphorsaddle::tasks {

//! \brief Owns the batch shards that the membership assigns to this daemon and handles requests about their jobs.
class scheduler_task : public task {
public:
    explicit scheduler_task(daemon_context& context);
    ~scheduler_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    void handleMessage(scheduler_message message);
    //! Opens and releases shards according to the current membership.
    void updateOwnership();
    void releaseShard(const std::string& shard);
    void releaseAllShards();
    void fetchHosts();
    void updateHosts(const std::vector<model::host>& hosts);
    void runCycle();
    void updateEvacuations();
    //! Logs changes of what is known about the evacuations and of the tasks in evacuated data centres, and sets the gauges.
    void reportEvacuations();
    evacuation_overview evacuationOverview() const;
    //! Sends the status of all shards to the administration task.
    void publishStatus();

    void handleCall(const administration_call& call);
    void handleSubmission(const administration_call& call);
    //! Handles GET and DELETE requests about the jobs of a team.
    void handleJobRequest(const administration_call& call);
    void reply(std::uint64_t ticket, transport::http_response response);
    //! The home shard of the team if this daemon owns it; otherwise redirects or refuses the call and returns null.
    shard_owner* findHomeShard(const administration_call& call, const std::string& team);
    void acceptJob(std::uint64_t ticket, shard_owner& owner, const job_submission& submission);
    void cancelJob(std::uint64_t ticket, shard_owner& owner, const std::string& job);
    absl::string_view waitReason(const std::string& shard) const;

    std::unique_ptr<transport::http_client> m_client;
    external::http_key_value_store m_httpStore;
    external::http_worker_control m_workers;
    external::http_host_directory m_directory;
    loop_executor m_executor;
    external::guarded_store m_store;
    evacuation_follower m_evacuations;
    evacuation_api m_evacuationApi;
    utils::gauge& m_evacuatedDataCentres;
    utils::gauge& m_evacuatedTasks;
    utils::gauge& m_startsSuspended;
    journal::write_budget m_budget;
    transport::timer m_hostListTimer;
    transport::timer m_cycleTimer;
    std::vector<membership::shard_location> m_shards;
    membership_changed m_membership;
    std::shared_ptr<const model::configuration> m_configuration;
    std::map<std::string, std::unique_ptr<shard_owner>> m_owners;
    std::map<std::string, std::vector<model::host>> m_hostsByShard;
    std::uint64_t m_ownerCount = 0;
    //! The last state of the evacuations that was logged; Empty before, so that a start without a listing is logged.
    placement::evacuation_knowledge m_loggedKnowledge = placement::evacuation_knowledge::Empty;
    //! Evacuated data centres in which this daemon's shards had tasks at the last report.
    std::set<std::string> m_dataCentresWithTasks;
    bool m_isDraining = false;
};

} // namespace camphorsaddle::tasks
