#pragma once

#include <functional>
#include <random>

#include "jobs/simulated_fleet.h"

namespace camphorsaddle::jobs::test {

constexpr utils::milliseconds settleTime { 200 };
constexpr unsigned workerCount = 10;

void addWorkers(simulated_fleet& fleet);

//! \brief Runs jobs beside tasks that crash their workers, changes of the leader, outages of the store, unresponsive workers, lost
//! replies and late start orders. Fails the test if an invariant is violated or a job doesn't end.
//!
//! Tasks that end crash their worker 10 ms after their start, long-running ones after the time that \a longRunningCrashDelay returns.
void playMixedFaults(std::uint64_t seed, const std::function<utils::milliseconds(std::mt19937_64&)>& longRunningCrashDelay);

} // namespace camphorsaddle::jobs::test
