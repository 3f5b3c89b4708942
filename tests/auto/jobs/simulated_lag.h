#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <vector>

#include "utils/clock.h"

namespace camphorsaddle::jobs::test {

//! \brief Kinds of input of a leader, each handled with a delay of its own.
enum class leader_input {
    OrderReply,
    Observation,
    DirectoryChange,
    Cancellation,
    Decision,
};

inline constexpr std::size_t leaderInputCount = 5;

//! \brief Delays with which a simulated leader handles its input.
//!
//! Each kind of input is handled in order, at times without a delay, at others late. Now and then the leader handles
//! nothing for seconds.
class simulated_lag {
public:
    simulated_lag(std::uint64_t seed, utils::milliseconds longestDelay, utils::time_point start);

    //! \brief When the leader handles an input that arrives at the given time.
    utils::time_point handledAt(leader_input kind, utils::time_point arrivedAt);
    //! \brief When a timer of the leader runs that is due at the given time.
    utils::time_point firesAt(utils::time_point dueAt) const;

private:
    struct pause {
        utils::time_point start;
        utils::time_point end;
    };
    struct input_delay {
        utils::milliseconds delay { 0 };
        utils::time_point changesAt;
        utils::time_point lastHandledAt;
    };

    utils::milliseconds drawDelay();

    std::mt19937_64 m_random;
    utils::milliseconds m_longestDelay;
    std::array<input_delay, leaderInputCount> m_delays;
    //! In order of time.
    std::vector<pause> m_pauses;
};

} // namespace camphorsaddle::jobs::test
