#pragma once

#include <cstdint>

#include "utils/clock.h"

namespace camphorsaddle::external {

struct breaker_settings {
    //! Failures in a row that open the breaker.
    unsigned failureThreshold = 5;
    //! Pause before the first probe; doubles with each failed probe. Below the lease term at its longest.
    utils::milliseconds initialOpenInterval { 200 };
    utils::milliseconds maximumOpenInterval { 2000 };
    //! Calls in flight at which a recovering breaker counts as closed.
    unsigned closingWindow = 64;
};

enum class breaker_state {
    Closed,
    //! Refuses everything until the pause ends.
    Open,
    //! Admits a window of calls that starts at one and doubles with each success.
    Recovering,
};

//! \brief Decides which calls go out; time and randomness come from the caller.
class circuit_breaker {
public:
    explicit circuit_breaker(breaker_settings settings)
        : m_settings(settings)
    {
    }

    //! \brief Whether a call may go out now; each admitted call ends with succeeded() or failed().
    bool admit(utils::time_point now);
    void recordSuccess();
    //! \a random spreads the pauses of different clients.
    void recordFailure(utils::time_point now, std::uint64_t random);

    breaker_state state() const
    {
        return m_state;
    }

private:
    void open(utils::time_point now, std::uint64_t random);

    breaker_settings m_settings;
    breaker_state m_state = breaker_state::Closed;
    unsigned m_failures = 0;
    unsigned m_consecutiveOpenings = 0;
    unsigned m_recoveryWindow = 0;
    unsigned m_inFlight = 0;
    utils::time_point m_nextProbe;
};

} // namespace camphorsaddle::external
