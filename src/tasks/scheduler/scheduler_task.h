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
#include "tasks/scheduler/job_api.h"
#include "tasks/scheduler/shard_owner.h"
#include "tasks/task.h"

namespace camphorsaddle::tasks {

//! \brief Owns the batch shards that the membership assigns to this daemon, and answers calls on jobs.
class scheduler_task : public task {
public:
    explicit scheduler_task(daemon_context& context);
    ~scheduler_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    void handle(scheduler_message message);
    void assign();
    void release(const std::string& shard);
    void releaseAll();
    void readHosts();
    void applyHosts(const std::vector<model::host>& hosts);
    void drive();
    void report();

    void answer(const administration_call& call);
    void submit(const administration_call& call);
    void query(const administration_call& call);
    void reply(std::uint64_t ticket, transport::http_response response);
    //! The owned home shard of the team; null after the call was redirected or refused.
    shard_owner* homeShard(const administration_call& call, const std::string& team);
    void acceptJob(std::uint64_t ticket, shard_owner& owner, const job_submission& submission);
    void cancelJob(std::uint64_t ticket, shard_owner& owner, const std::string& job);
    bool canEverRun(const model::resources& size) const;

    std::unique_ptr<transport::http_client> m_client;
    external::http_key_value_store m_httpStore;
    external::http_worker_control m_workers;
    external::http_host_directory m_directory;
    loop_executor m_executor;
    external::guarded_store m_store;
    journal::write_budget m_budget;
    transport::timer m_hostsTimer;
    transport::timer m_driveTimer;
    std::vector<membership::shard_location> m_places;
    membership_changed m_membership;
    std::shared_ptr<const model::configuration> m_configuration;
    std::map<std::string, std::unique_ptr<shard_owner>> m_owners;
    std::map<std::string, std::vector<model::host>> m_hostsByShard;
    std::uint64_t m_ownerCount = 0;
    bool m_isDraining = false;
};

} // namespace camphorsaddle::tasks
