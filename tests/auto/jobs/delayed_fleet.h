#pragma once

#include <random>

#include "jobs/simulated_fleet.h"

namespace camphorsaddle::jobs::test {

inline constexpr utils::milliseconds longestDelay { 10'000 };
inline constexpr utils::milliseconds batchTime { 2500 };
inline constexpr utils::milliseconds startupTime { 600 };
inline constexpr utils::milliseconds settlingTime { 500 };
inline constexpr utils::milliseconds longestRound { 1200 };
inline constexpr unsigned workerCount = 6;
inline constexpr int delayedRoundCount = 60;

//! A fleet of which the leader is behind, and the source of the events of a test.
struct delayed_fleet {
    explicit delayed_fleet(std::uint64_t seed)
        : fleet(seed)
        , random(seed)
    {
        fleet.setTaskTimes(batchTime, startupTime);
        for (unsigned number = 0; number < workerCount; ++number) {
            ids.push_back("w" + std::to_string(number));
            fleet.addWorker(ids.back());
        }
        fleet.run(settlingTime);
        fleet.setLag(simulated_lag(seed, longestDelay, fleet.now()));
    }

    const std::string& drawWorker()
    {
        return ids[random() % ids.size()];
    }

    void submitJobs()
    {
        for (auto count = random() % 3; count > 0; --count) {
            const auto id = "job" + std::to_string(jobCount++);
            auto step = random() % 4 == 0 ? serviceStep(1 + random() % 3, "image") : batchStep(1 + random() % 6);
            step.estimate = step.isLongRunning ? step.estimate : batchTime;
            fleet.submit(makeJob(id, { step }));
        }
    }

    void cancelJob()
    {
        if (jobCount > 0)
            fleet.cancel("job" + std::to_string(random() % jobCount));
    }

    void runRound()
    {
        submitJobs();
        fleet.run(utils::milliseconds(100 + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(longestRound.count()))));
    }

    simulated_fleet fleet;
    std::mt19937_64 random;
    std::vector<std::string> ids;
    unsigned jobCount = 0;
};

} // namespace camphorsaddle::jobs::test
