#pragma once

#include <cstdint>
#include <vector>

#include "utils/clock.h"

namespace camphorsaddle::bench {

//! \brief How the gateways share the minions' slots.
enum class slot_sharing {
    //! Each gateway has the same number of slots of each minion.
    Equal,
    //! Each gateway has all slots of its own subset of the minions.
    Subsets,
    //! Each gateway may use all slots of each minion.
    Unrestricted,
    //! Slot allocators grant slots on demand.
    Allocators,
};

//! \brief How a gateway chooses a minion.
enum class minion_selection {
    RoundRobin,
    Random,
    //! By routing::chooseMinion().
    Routed,
};

//! \brief Parameters of a run on a virtual clock.
//!
//! The run has 7 gateways, 50 minions with 8 slots each, and lognormal service times with a mean of 20 ms.
struct scenario {
    std::uint64_t seed = 1;
    slot_sharing sharing = slot_sharing::Allocators;
    minion_selection selection = minion_selection::Routed;
    //! Offered load as a share of the capacity.
    double load = 0.85;
    //! Relative share of the requests for each gateway; empty for equal shares.
    std::vector<double> gatewayShares;
    //! Delay of a message between two gateways.
    utils::microseconds peerDelay { 500 };
    //! Service time of minion 0 as a multiple of the other minions' service time.
    double slowMinionFactor = 1;
    //! Number of minions that fail together 10 s after the start.
    int failingMinionCount = 0;
    //! Whether all attempts fail from 10 s to 13 s after the start.
    bool hasOutage = false;
    //! Maximum share of retries to requests; 0 for up to three attempts without a budget.
    double retryBudget = 0.1;
    //! Share of the requests that are renewals; the others are patient reviews.
    double renewalShare = 0.5;
    utils::seconds duration { 20 };
};

//! \brief Results of a run, counted from 6 s after the start, when all allocators grant slots, to the end.
struct run_result {
    double requests = 0;
    double sentAttempts = 0;
    double answered = 0;
    double notRun = 0;
    double unknown = 0;
    //! Requests that got no response at all, although all had time to end after the run.
    double unanswered = 0;
    //! Non-repeatable requests that ran more than once.
    double requestsRunTwice = 0;
    //! Share of the sent attempts for which all slots of the minion were in use.
    double overfilledShare = 0;
    double messagesPerRequest = 0;
    double ejections = 0;
    //! Latency of the answered renewals in ms.
    double p50Milliseconds = 0;
    double p99Milliseconds = 0;
    //! Share of the renewals that were answered within their deadline.
    double renewalsInTimeShare = 0;
    //! Responses within the deadline as a share of the capacity.
    double goodput = 0;
    //! The same for reviews only.
    double reviewGoodput = 0;
    //! Attempts sent per request during the outage.
    double sentAttemptsPerRequestInOutage = 0;
    //! Goodput from 1 s to 2 s after the end of the outage as a share of the load.
    double recoveredShare = 0;
};

//! \brief Runs a simulation.
run_result simulate(const scenario& scenario);

} // namespace camphorsaddle::bench
