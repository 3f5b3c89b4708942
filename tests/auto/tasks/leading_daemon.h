#pragma once

#include <gtest/gtest.h>

#include <optional>

#include "jobs/job_record.h"
#include "tasks/coordinator/leader_term.h"
#include "tasks/memory_store.h"
#include "tasks/plain_deployment_format.h"

namespace camphorsaddle::tasks::test {

inline constexpr utils::milliseconds settlingTime { 300 };
inline const std::string jobId = "job";

class plain_deployment final : public plain_deployment_format<deployment_adapter> {
public:
    std::unique_ptr<external::transactional_store> makeStore(transport::http_client&, utils::metric_registry&) const override
    {
        return nullptr;
    }

    std::unique_ptr<external::run_control> makeRunControl(transport::http_client&) const override
    {
        return nullptr;
    }

    absl::StatusOr<jobs::worker_description> parseWorker(const std::string& key, const std::string&, utils::wall_time_point) const override
    {
        jobs::worker_description worker;
        worker.id = key.substr(workerKeyPrefix().size());
        worker.endpoint = "127.0.0.1:1";
        worker.capacity = { 1000, 1000, 0 };
        worker.incarnation = 1;
        return worker;
    }
};

//! Control of workers that answer observations and never end a run.
class observed_workers final : public external::run_control {
public:
    explicit observed_workers(transport::event_loop& loop)
        : m_timer(loop, [this] { reply(); })
    {
    }

    void start(const external::worker_address&, const external::run_order&, std::function<void(external::order_reply)>) override { }
    void stop(const external::worker_address&, const external::run_id&, std::uint64_t, std::function<void(external::order_reply)>) override { }
    void pace(const external::worker_address&, const external::run_id&, int, std::uint64_t, std::function<void(external::order_reply)>) override { }
    void observe(const external::worker_address&, const external::observe_order&, std::function<void(external::observe_reply)> callback) override
    {
        m_pending.push_back(std::move(callback));
        m_timer.startOnce(utils::milliseconds(1));
    }

private:
    void reply()
    {
        const auto clock = utils::millisecondsBetween(utils::time_point(), utils::nowIncludingSuspend()).count();
        for (const auto& callback : std::exchange(m_pending, {}))
            callback({ external::order_outcome::Accepted, { clock, 1, {}, {} } });
    }

    std::vector<std::function<void(external::observe_reply)>> m_pending;
    transport::timer m_timer;
};

//! A daemon that leads with a store in memory.
class leading_daemon : public testing::Test {
protected:
    explicit leading_daemon(const std::vector<jobs::leader_record>& history = {}, const std::string& roster = {}, const early_cancellation_settings& earlyCancellations = {}, std::optional<std::uint64_t> jobMemory = {})
    {
        m_settings.earlyCancellations = earlyCancellations;
        m_settings.jobMemory.jobs = jobMemory.value_or(m_settings.jobMemory.jobs);
        if (!roster.empty())
            m_store.put(store_keys::roster, roster);
        if (!history.empty()) {
            m_store.put(store_keys::term, std::to_string(history.back().term));
            m_store.put(store_keys::leaderHistory, jobs::encodeLeaderHistory(history));
        }
        m_election.start();
        runLoop(m_loop, settlingTime);
        EXPECT_TRUE(m_election.isLeader());
        m_term = std::make_shared<leader_term>(m_loop, m_settings, m_deployment, m_store, m_runControl, m_election, [this](const std::string&) { m_isDeposed = true; });
        m_term->begin();
        runLoop(m_loop, settlingTime);
        EXPECT_TRUE(m_term->isLoaded());
    }

    ~leading_daemon() override
    {
        m_term->end();
    }

    static jobs::job_spec makeJob()
    {
        jobs::job_spec job;
        job.id = jobId;
        job.queue = "queue";
        job.steps.resize(1);
        job.steps.front().count = 1;
        return job;
    }

    //! Stores a job as a daemon does that gets no reply from the leader.
    void storeWithoutLeader(const std::string& mark)
    {
        m_store.put(store_keys::job(jobId), jobs::encodeJob(makeJob()));
        if (mark == store_keys::cancelledMark)
            m_store.put(store_keys::cancellation(jobId), "cancelled");
        m_store.put(store_keys::inboxPrefix + jobId, mark);
    }

    job_reply call(call_kind kind)
    {
        std::optional<job_reply> reply;
        job_call call;
        call.kind = kind;
        call.subject = jobId;
        call.job = makeJob();
        call.timeout = utils::milliseconds(1000);
        m_term->handleCall(call, [&](const job_reply& received) { reply = received; });
        runLoop(m_loop, settlingTime);
        return reply.value_or(job_reply {});
    }

    transport::event_loop m_loop;
    memory_store m_store { m_loop };
    job_daemon_settings m_settings;
    plain_deployment m_deployment;
    observed_workers m_directControl { m_loop };
    utils::metric_registry m_metrics;
    relayed_order_counters m_counters { m_metrics };
    relayed_run_control m_runControl { m_loop, m_directControl, "own", [](const std::string&, const protocol::CoordinatorEnvelope&) {}, m_counters, 1 };
    leader_election m_election { m_loop, m_store, m_settings.leaderElection, { "daemon", 1, "own", 0 }, [] {
                                } };
    std::shared_ptr<leader_term> m_term;
    bool m_isDeposed = false;
};

} // namespace camphorsaddle::tasks::test
