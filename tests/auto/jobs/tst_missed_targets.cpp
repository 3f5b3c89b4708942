#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;
using utils::milliseconds;

namespace {

constexpr std::int64_t targetLatency = 150;
//! The users count best-effort work as harmful if a service task beside it misses its target for this time on end.
constexpr milliseconds maximumMissTime { 4000 };
constexpr milliseconds runTime { 40'000 };
constexpr milliseconds startupTime { 600 };
constexpr milliseconds observationStep { 20 };
constexpr milliseconds loadPhase { 500 };
constexpr unsigned workerCount = 3;
constexpr unsigned serviceCount = 6;

bool isBestEffort(const external::task_id& task)
{
    return task.job.starts_with("effort");
}

struct missed_target_case {
    const char* name;
    milliseconds longestDelay;
    milliseconds paceDelay;
    //! Interval at which another daemon executes the orders; 0 for never.
    milliseconds relayChangeInterval;
};

//! A fleet with services and best-effort work that starts, ends, is paced down and moves.
class disturbed_fleet {
public:
    disturbed_fleet(std::uint64_t seed, const missed_target_case& faults)
        : m_faults(faults)
        , m_fleet(seed)
        , m_random(seed)
    {
        m_fleet.setTaskTimes(milliseconds(2500), startupTime);
        for (unsigned number = 0; number < workerCount; ++number) {
            auto& worker = m_fleet.addWorker("w" + std::to_string(number));
            worker.faults.paceDelay = faults.paceDelay;
            worker.tailLatency = [this](const fake_worker& current, const external::run_id&) {
                return latencyAlone(current) + disturbance(current);
            };
        }
        m_fleet.run(milliseconds(300));
        m_fleet.submit(makeJob("service", { serviceStep(serviceCount, "sensitive") }));
        m_fleet.run(milliseconds(1500));
        if (faults.longestDelay.count() > 0)
            m_fleet.setLag(simulated_lag(seed, faults.longestDelay, m_fleet.now()));
    }

    //! Returns the longest time for which best-effort work kept a service task over its target.
    milliseconds longestMiss()
    {
        const auto begin = m_fleet.now();
        auto nextJob = begin;
        auto nextRelay = begin + m_faults.relayChangeInterval;
        std::map<std::string, utils::time_point> metAt;
        milliseconds longest { 0 };
        while (m_fleet.now() < begin + runTime) {
            if (m_fleet.now() >= nextJob) {
                nextJob += milliseconds(100 + static_cast<std::int64_t>(m_random() % 600));
                m_fleet.submit(makeJob("effort" + std::to_string(m_jobCount++), { bestEffortStep(1 + m_random() % 4, m_random() % 3 == 0 ? "light" : "heavy") }));
            }
            const bool changesRelay = m_faults.relayChangeInterval.count() > 0 && m_fleet.now() >= nextRelay;
            if (changesRelay) {
                nextRelay += m_faults.relayChangeInterval;
                m_fleet.changeRelay();
            }
            m_fleet.run(observationStep);
            for (unsigned number = 0; number < workerCount; ++number) {
                const auto id = "w" + std::to_string(number);
                const auto& worker = m_fleet.worker(id);
                const bool isDisturbed = isServing(worker) && disturbance(worker) > 0 && latencyAlone(worker) <= targetLatency && latencyAlone(worker) + disturbance(worker) > targetLatency;
                if (!isDisturbed || changesRelay || !metAt.contains(id))
                    metAt[id] = m_fleet.now();
                longest = std::max(longest, utils::millisecondsBetween(metAt[id], m_fleet.now()));
            }
        }
        return longest;
    }

    const std::vector<std::string>& violations() const
    {
        return m_fleet.violations();
    }

private:
    //! Fluctuates with the service's own load.
    std::int64_t latencyAlone(const fake_worker& worker) const
    {
        const auto phase = static_cast<std::uint64_t>(m_fleet.now().time_since_epoch() / loadPhase);
        std::seed_seq seeds { phase, static_cast<std::uint64_t>(worker.description.id.back()) };
        std::mt19937 random(seeds);
        return 50 + static_cast<std::int64_t>(random() % 60);
    }

    bool isServing(const fake_worker& worker) const
    {
        return std::ranges::any_of(worker.running, [this](const auto& entry) {
            return entry.second.isLongRunning && m_fleet.now() >= entry.second.startedAt + startupTime;
        });
    }

    static std::int64_t disturbance(const fake_worker& worker)
    {
        std::int64_t sum = 0;
        for (const auto& [task, run] : worker.running)
            sum += isBestEffort(task) ? run.pace : 0;
        return sum / 2;
    }

    missed_target_case m_faults;
    simulated_fleet m_fleet;
    std::mt19937_64 m_random;
    unsigned m_jobCount = 0;
};

} // namespace

class missed_target : public testing::TestWithParam<std::tuple<missed_target_case, std::uint64_t>> {
};

INSTANTIATE_TEST_SUITE_P(Faults, missed_target,
    testing::Combine(testing::Values(missed_target_case { "promptLeader", milliseconds(0), milliseconds(0), milliseconds(0) },
                         missed_target_case { "lateLeader", milliseconds(1000), milliseconds(0), milliseconds(0) },
                         missed_target_case { "veryLateLeader", milliseconds(3000), milliseconds(0), milliseconds(0) },
                         missed_target_case { "lostPaceOrders", milliseconds(0), milliseconds(3000), milliseconds(0) },
                         missed_target_case { "lateLeaderAndLostPaceOrders", milliseconds(1000), milliseconds(3000), milliseconds(0) },
                         missed_target_case { "lateLeaderAndOtherRelays", milliseconds(1000), milliseconds(0), milliseconds(9000) }),
        testing::Range<std::uint64_t>(1, 13)),
    [](const auto& info) { return std::string(std::get<0>(info.param).name) + "Seed" + std::to_string(std::get<1>(info.param)); });

// Service tasks stayed over their latency target beside best-effort work for as long as the leader handled reports and replies
// late, or while orders to slow that work down had no answer.
TEST_P(missed_target, BestEffortWorkKeepsServiceTaskOverItsTarget)
{
    disturbed_fleet fleet(std::get<1>(GetParam()), std::get<0>(GetParam()));
    EXPECT_LE(fleet.longestMiss(), maximumMissTime);
    EXPECT_EQ(fleet.violations(), std::vector<std::string>());
}
