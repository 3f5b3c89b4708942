#include "placement/placer.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "placement/preemption.h"
#include "shard_simulation.h"

#include "gtest/gtest.h"

namespace camphorsaddle::placement {

namespace {

    using utils::milliseconds;

    class placer_test : public testing::Test {
    protected:
        placer_test()
        {
            m_configuration.guards.urgentHeadroom = 0;
            addKind("plain", { 10, { 1000, 100, 0 } });
            addKind("urgent", { 90, { 1000, 100, 0 } });
            addKind("patient", { 0, { 1000, 100, 0 }, milliseconds(1000), true, true });
            addKind("heavy", { 10, { 1000, 100, 0 }, milliseconds(1000), true, false, 10 });
            addTeam("a", 1000000);
        }

        void addKind(const std::string& name, const model::batch_kind_configuration& kind)
        {
            m_configuration.batchKinds[name] = kind;
        }

        void addTeam(const std::string& name, std::int64_t processors)
        {
            m_configuration.teams[name].quota = { processors, 1000000, 100 };
        }

        void addWorkers(std::size_t count, const model::resources& capacity)
        {
            for (std::size_t index = 0; index < count; ++index) {
                auto& view = m_workers[absl::StrCat("worker-", m_workers.size())];
                view.isResponsive = true;
                view.host.capacity = capacity;
            }
        }

        void submit(const std::string& job, const std::string& kind, std::uint32_t tasks, const std::string& team = "a")
        {
            ASSERT_TRUE(m_state.apply(job_accepted { job, team, kind, tasks }).ok());
        }

        placement_round runRound(std::size_t limit = 1000)
        {
            auto round = placePendingTasks(m_state, m_workers, m_configuration, {}, limit, m_startsSincePatient);
            m_startsSincePatient = round.startsSincePatient;
            for (const auto& placed : round.placed) {
                EXPECT_TRUE(m_state.apply(placed).ok());
                EXPECT_TRUE(m_state.apply(task_confirmed { placed.task, placed.attempt }).ok());
            }
            return round;
        }

        std::size_t countPlaced(const placement_round& round, const std::string& job)
        {
            return static_cast<std::size_t>(std::count_if(round.placed.begin(), round.placed.end(), [&](const task_placed& placed) { return placed.task.job == job; }));
        }

        model::configuration m_configuration;
        worker_views m_workers;
        shard_state m_state;
        unsigned m_startsSincePatient = 0;
    };

} // namespace

TEST_F(placer_test, PlacesTasksUpToTheQuota)
{
    addTeam("b", 3500);
    addWorkers(2, { 8000, 8000, 0 });
    submit("job", "plain", 10, "b");
    EXPECT_EQ(runRound().placed.size(), 3U);
    EXPECT_EQ(runRound().placed.size(), 0U);
}

TEST_F(placer_test, SharesCapacityInProportionToQuotas)
{
    addTeam("b", 20000);
    addTeam("c", 10000);
    addWorkers(1, { 9000, 9000, 0 });
    submit("job-b", "plain", 100, "b");
    submit("job-c", "plain", 100, "c");
    const auto round = runRound();
    EXPECT_EQ(countPlaced(round, "job-b"), 6U);
    EXPECT_EQ(countPlaced(round, "job-c"), 3U);
}

TEST_F(placer_test, ReservesHeadroomForUrgentTasks)
{
    m_configuration.guards.urgentHeadroom = 0.25;
    addWorkers(1, { 4000, 4000, 0 });
    submit("job", "plain", 10);
    EXPECT_EQ(runRound().placed.size(), 3U);
    submit("urgent", "urgent", 2);
    const auto round = runRound();
    EXPECT_EQ(countPlaced(round, "urgent"), 1U);
    EXPECT_EQ(round.blockedUrgentTasks, (std::vector<task_id> { { "urgent", 1 } }));
}

TEST_F(placer_test, PlacesPatientTasksAtRegularIntervals)
{
    addWorkers(1, { 44000, 44000, 0 });
    submit("plain", "plain", 1000);
    submit("patient", "patient", 1000);
    EXPECT_EQ(countPlaced(runRound(), "patient"), 4U);
}

TEST_F(placer_test, PreemptsTasksWithLeastLostWork)
{
    addWorkers(1, { 3000, 3000, 0 });
    submit("heavy", "heavy", 1);
    submit("plain", "plain", 2);
    runRound();
    const utils::time_point now { utils::seconds(1000) };
    const std::map<task_id, utils::time_point> unsavedWorkSince { { { "heavy", 0 }, now - utils::seconds(10) }, { { "plain", 0 }, now - utils::seconds(60) }, { { "plain", 1 }, now - utils::seconds(90) } };
    const auto chosen = choosePreemption(m_state, m_workers, m_configuration, { 1000, 100, 0 }, 90, unsavedWorkSince, {}, now);
    EXPECT_EQ(chosen.victims, (std::vector<task_id> { { "plain", 0 } }));
    EXPECT_DOUBLE_EQ(chosen.lostWorkSeconds, 60);
    EXPECT_TRUE(choosePreemption(m_state, m_workers, m_configuration, { 1000, 100, 0 }, 10, unsavedWorkSince, {}, now).victims.empty());
}

// A placement examines at most a twentieth of a fleet of 890 workers, and no more in a fleet of four times the size.
TEST_F(placer_test, ExaminesFewWorkersPerTask)
{
    m_configuration.teams["a"].quota = { 100000000, 100000000, 10000 };
    addKind("large", { 10, { 6000, 20000, 0 } });
    addKind("accelerated", { 10, { 4000, 16000, 1 } });
    for (const std::size_t fleet : { 890U, 3560U }) {
        m_workers.clear();
        m_state = {};
        addWorkers(fleet * 3 / 4, { 32000, 131072, 0 });
        addWorkers(fleet / 4, { 64000, 262144, 4 });
        submit("plain", "plain", 500);
        submit("large", "large", 500);
        submit("accelerated", "accelerated", 500);
        const auto round = runRound(1500);
        ASSERT_EQ(round.placed.size(), 1500U);
        EXPECT_LE(round.examinedWorkerCount, round.placed.size() * 890 / 20);
    }
}

TEST(shard_simulation, PreemptsForUrgentTasksWithinDeadline)
{
    model::configuration configuration;
    configuration.guards.urgentHeadroom = 0;
    configuration.batchKinds["small"].size = { 1000, 1024, 0 };
    configuration.batchKinds["urgent"] = { 90, { 2000, 1024, 0 } };
    configuration.teams["team"].quota = { 100000, 100000, 0 };
    standins::virtual_clock clock;
    shard_simulation simulation(clock, "home", 1, configuration, 3);
    simulation.run(milliseconds(2000));
    simulation.submit(20);
    simulation.run(milliseconds(3000));
    simulation.setCheckpointBehavior(0, checkpoint_behavior::Unanswered);
    simulation.setCheckpointBehavior(1, checkpoint_behavior::Failing);
    simulation.submit(3, "urgent");
    simulation.run(milliseconds(7600));
    EXPECT_EQ(simulation.committedState().findJob("team/job-1")->countPhases()[static_cast<std::size_t>(task_phase::Running)], 3U);
    EXPECT_EQ(simulation.startedEvictions(), 6U);
    EXPECT_EQ(simulation.violation(), "");
}

} // namespace camphorsaddle::placement
