#include <gtest/gtest.h>

#include <optional>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr utils::milliseconds step { 50 };
constexpr utils::milliseconds renewalInterval { 1000 };
constexpr utils::milliseconds observedTime { 15'000 };

std::shared_ptr<const deployment_rules> rulesWithLimit(unsigned maximumAttempts)
{
    auto rules = defaultRules();
    rules.queues.front().maxAttempts = maximumAttempts;
    return std::make_shared<const deployment_rules>(rules);
}

std::shared_ptr<const deployment_rules> rulesWithoutQueue()
{
    return std::make_shared<const deployment_rules>(deployment_rules { 2, {} });
}

//! A leader with one worker, on which each run fails at once.
class leader_of_failing_worker {
public:
    explicit leader_of_failing_worker(unsigned limitAtAcceptance)
    {
        m_engine.beginTerm({}, m_now);
        m_engine.announceWorker(m_worker, m_now);
        m_engine.markRosterStored(m_engine.roster());
        auto job = makeJob("job", { batchStep(1) });
        job.maximumAttempts = limitAtAcceptance;
        m_engine.add(job, m_now);
    }

    job_engine& engine()
    {
        return m_engine;
    }

    unsigned startCount() const
    {
        return static_cast<unsigned>(m_ends.size());
    }

    void run(utils::milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += step)
            decide();
    }

    void cancel()
    {
        m_engine.cancel("job", m_now);
    }

private:
    external::worker_time clock() const
    {
        return std::chrono::duration_cast<utils::milliseconds>(m_now - m_startedAt).count() + 1;
    }

    void decide()
    {
        if (m_now >= m_renewedAt + renewalInterval) {
            m_renewedAt = m_now;
            m_worker.renewedAt = clock();
            m_engine.announceWorker(m_worker, m_now);
        }
        m_engine.confirmDirectory(m_now);
        m_engine.confirmCancellations(m_now);
        m_engine.confirmLeadership(m_now + observedTime);
        for (const auto& command : m_engine.decideCommands(m_now)) {
            if (const auto* start = std::get_if<start_command>(&command)) {
                m_ends.push_back({ m_ends.size() + 1, start->order.run, external::end_cause::Failed, "" });
                m_engine.handleStartReply("w1", start->order.run, { external::order_outcome::Accepted, clock() }, m_now, m_now);
            } else if (const auto* observe = std::get_if<observe_command>(&command)) {
                external::observe_reply reply { external::order_outcome::Accepted, { clock(), 1, {}, {} } };
                for (const auto& end : m_ends) {
                    if (end.number > observe->order.acknowledgedEnd)
                        reply.workerState.ended.push_back(end);
                }
                m_engine.handleObserveReply("w1", *observe, reply, m_now, m_now);
            }
        }
        for (const auto& write : m_engine.takeProgressWrites(1))
            m_engine.markProgressStored(write.job, write.version);
    }

    utils::time_point m_startedAt = utils::time_point() + std::chrono::hours(1);
    utils::time_point m_now = m_startedAt;
    utils::time_point m_renewedAt = m_startedAt;
    worker_description m_worker { "w1", "address:1", "service", "dc", "rack", { "a", "rack" }, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 };
    job_engine m_engine { engine_settings {}, 1, [](const engine_event&) {
                         } };
    std::vector<external::run_end> m_ends;
};

struct unknown_rules_case {
    const char* name;
    unsigned limitAtAcceptance;
    //! Rules at the time of the first failure, and later ones; null for none.
    std::shared_ptr<const deployment_rules> (*rulesAtFailure)();
    std::shared_ptr<const deployment_rules> (*laterRules)();
    unsigned startsBefore;
    unsigned startsAfter;
    job_phase phaseBefore;
};

class unknown_rules : public testing::TestWithParam<unknown_rules_case> {
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Limits, unknown_rules,
    testing::Values(
        unknown_rules_case { "noConfigurationYet", 3, [] { return std::shared_ptr<const deployment_rules>(); }, [] { return rulesWithLimit(3); }, 1, 3, job_phase::Running },
        unknown_rules_case { "newerLimitThanAtTheAcceptance", 3, [] { return std::shared_ptr<const deployment_rules>(); }, [] { return rulesWithLimit(2); }, 1, 2, job_phase::Running },
        unknown_rules_case { "limitWasReachedMeanwhile", 1, [] { return std::shared_ptr<const deployment_rules>(); }, [] { return rulesWithLimit(1); }, 1, 1, job_phase::Running },
        unknown_rules_case { "queueIsRemoved", 3, [] { return rulesWithoutQueue(); }, [] { return rulesWithoutQueue(); }, 3, 3, job_phase::Failed },
        unknown_rules_case { "queueComesBack", 0, [] { return rulesWithoutQueue(); }, [] { return rulesWithLimit(2); }, 1, 2, job_phase::Running },
        unknown_rules_case { "queueIsKnown", 0, [] { return rulesWithLimit(2); }, [] { return rulesWithLimit(2); }, 2, 2, job_phase::Failed }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a job that is given up after its first failed run because the leader has no rules for its queue: they have not arrived
// yet after all daemons were restarted, or the operators have removed the queue (review/4, review's route-comes-back).
TEST_P(unknown_rules, DontEndAJobBeforeItsLastAttempt)
{
    const auto& parameters = GetParam();
    leader_of_failing_worker leader(parameters.limitAtAcceptance);
    if (const auto rules = parameters.rulesAtFailure())
        leader.engine().setRules(rules);
    leader.run(observedTime);
    EXPECT_EQ(leader.startCount(), parameters.startsBefore);
    EXPECT_EQ(leader.engine().phase("job"), parameters.phaseBefore);
    leader.engine().setRules(parameters.laterRules());
    leader.run(observedTime);
    EXPECT_EQ(leader.startCount(), parameters.startsAfter);
    EXPECT_EQ(leader.engine().phase("job"), job_phase::Failed);
}

TEST(UnknownRules, JobThatWaitsForThemCanBeCancelled)
{
    leader_of_failing_worker leader(3);
    leader.run(observedTime);
    leader.cancel();
    leader.engine().setRules(rulesWithLimit(3));
    leader.run(observedTime);
    EXPECT_EQ(leader.startCount(), 1u);
    EXPECT_EQ(leader.engine().phase("job"), job_phase::Cancelled);
}
