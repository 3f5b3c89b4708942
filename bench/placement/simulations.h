#pragma once

#include <cstddef>

namespace camphorsaddle::bench {

//! \brief Cost of one method to enforce quotas in the whole fleet.
struct quota_cost {
    //! Store writes per started task, in addition to the group commits of the journal.
    double writesPerStart = 0;
    //! Share of all requests that are refused although the team has free quota.
    double wrongRefusalShare = 0;
};

//! \brief Simulates one document in the store that holds the usage of all teams.
//!
//! This and the next two functions use the same workload: 160 teams with sizes after Zipf's law, 28 shards,
//! 90 requests/s, and quotas equal to the mean demand.
quota_cost simulateCentralQuotas(unsigned seed);
//! \brief Simulates shards that take quota from the store in chunks.
quota_cost simulateChunkedQuotas(unsigned seed);
//! \brief Simulates the scheduler's method: the home shard of a team counts the team's usage.
quota_cost simulateHomeShardQuotas(unsigned seed);

//! \brief Share of the starts on failing workers when one worker in 50 fails all attempts; 890 workers, 90 starts/s.
double wastedStartShare(unsigned seed, bool hasQuarantine);

//! \brief Mean number of workers that are compared with the size of a task per placement.
//!
//! One shard holds all \a workers, half of which are full.
double examinedWorkersPerDecision(std::size_t workers);

//! \brief Longest time in seconds from the submission to the confirmed start of an urgent task.
//!
//! The fleet of 890 workers and 28 shards is full, and one of the shards changes its owner.
double longestUrgentStartSeconds(unsigned seed);

} // namespace camphorsaddle::bench
