#pragma once

#include <cstdint>
#include <vector>

#include "utils/clock.h"

namespace camphorsaddle::bench {

//! \brief How gateways share the minions' slots.
enum class slot_sharing {
    Equal,
    Subsets,
    Unrestricted,
    Allocators,
};

enum class minion_selection {
    RoundRobin,
    Random,
    Routed,
};

//! \brief One run on a virtual clock: 7 gateways, 50 minions of 8 slots, lognormal service times of 20 ms in the mean.
struct scenario {
    std::uint64_t seed = 1;
    slot_sharing sharing = slot_sharing::Allocators;
    minion_selection selection = minion_selection::Routed;
    //! Offered load as a share of the capacity.
    double load = 0.85;
    //! Share of the requests that each gateway gets.
    std::vector<double> shares;
    utils::microseconds peerDelay { 500 };
    //! Service time of minion 0 as a multiple of the others'.
    double slowness = 1;
    //! Minions that die at once 10 s after the start.
    int dying = 0;
    //! Whether all attempts fail from 10 s to 13 s after the start.
    bool hasOutage = false;
    //! Retries as a share of requests; 0 for three attempts without a budget.
    double retryBudget = 0.1;
    //! Share of renewals, the rest are patient reviews.
    double renewals = 0.5;
    utils::seconds end { 20 };
};

//! \brief Counts from 6 s after the start, when all keepers lend, to the end.
struct run_result {
    double requests = 0;
    double sends = 0;
    double answered = 0;
    double notRun = 0;
    double unknown = 0;
    //! Requests without any answer to the caller when the run was over and all had time to end.
    double unanswered = 0;
    //! Non-repeatable requests that ran more than once.
    double doubled = 0;
    //! Share of the sends that found all slots of the minion in use.
    double overfilled = 0;
    double messages = 0;
    double ejections = 0;
    //! Of the renewals that were answered, ms.
    double p50 = 0;
    double p99 = 0;
    //! Share of the renewals that were answered within their deadline.
    double renewalsInTime = 0;
    //! Answers within the deadline as a share of the capacity: all, and reviews alone.
    double goodput = 0;
    double patientGoodput = 0;
    //! In the outage: sends for each request. After it: goodput of the second to third second as a share of the load.
    double outageSends = 0;
    double recovery = 0;
};

run_result simulate(const scenario& scenario);

} // namespace camphorsaddle::bench
