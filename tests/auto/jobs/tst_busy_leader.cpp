#include <gtest/gtest.h>

#include <algorithm>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;
using utils::milliseconds;

namespace {

std::string jobName(unsigned number)
{
    return "job" + std::to_string(100 + number);
}

//! Names of the jobs whose progress the engine has stored next.
std::vector<std::string> nextWrites(simulated_fleet& fleet, std::size_t limit)
{
    std::vector<std::string> names;
    for (const auto& write : fleet.engine().takeProgressWrites(limit))
        names.push_back(write.job);
    return names;
}

} // namespace

// Jobs with low ids were stored again and again while the ends of others waited (pregon-unido-large: 31,090 of 60,776 ends were
// not acknowledged for 8 s).
TEST(BusyLeader, EndOfAJobWaitsForTheProgressOfOthers)
{
    constexpr unsigned jobCount = 20;
    simulated_fleet fleet;
    fleet.addWorker("w", { 128'000, 512'000, 0 });
    fleet.run(milliseconds(200));
    fleet.setStoreDown(true);
    for (unsigned number = 0; number < jobCount; ++number)
        fleet.submit(makeJob(jobName(number), { batchStep(1), batchStep(1, { 0 }) }));
    fleet.submit(makeJob("last", { batchStep(1) }));
    fleet.run(simulated_fleet::taskTime + milliseconds(300));
    EXPECT_EQ(nextWrites(fleet, 1), std::vector<std::string> { "last" });
}

// A job that changes while it is being stored took the turn of others.
TEST(BusyLeader, ChangedJobOvertakesJobsThatWaitForTheStore)
{
    constexpr unsigned jobCount = 4;
    simulated_fleet fleet;
    fleet.addWorker("w", { 128'000, 512'000, 0 });
    fleet.run(milliseconds(200));
    fleet.setStoreDown(true);
    const std::vector<step_spec> steps { batchStep(1), batchStep(1, { 0 }), batchStep(1, { 1 }) };
    for (unsigned number = 0; number < jobCount; ++number)
        fleet.submit(makeJob(jobName(number), steps));
    fleet.run(simulated_fleet::taskTime + milliseconds(300));
    const auto first = nextWrites(fleet, 1);
    fleet.run(simulated_fleet::taskTime);
    auto others = nextWrites(fleet, jobCount);
    EXPECT_EQ(std::ranges::count(others, first.front()), 0);
    EXPECT_EQ(others.size(), jobCount - 1);
    fleet.engine().requeueProgressWrite(first.front());
    EXPECT_EQ(nextWrites(fleet, jobCount), first);
}
