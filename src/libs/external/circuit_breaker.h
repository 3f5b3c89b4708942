#pragma once

#include <cstdint>

#include "utils/clock.h"

namespace camphorsaddle::external {

struct breaker_settings {
    //! Number of consecutive failures that opens the breaker.
    unsigned failureThreshold = 5;
    //! Time until the first probe; doubles with each failed probe. The maximum must be below the lease
    //! term.
    utils::milliseconds initialOpenInterval { 200 };
    utils::milliseconds maximumOpenInterval { 2000 };
    //! Size of the recovery window, in calls, at which the breaker closes.
    unsigned closingWindow = 64;
};

enum class breaker_state {
    Closed,
    //! Rejects every call until the next probe is due.
    Open,
    //! Admits a limited number of concurrent calls, the recovery window, which starts at one and doubles with each success.
    Recovering,
};

//! \brief Circuit breaker that decides which calls may be sent; the caller passes the time and random numbers.
class circuit_breaker {
public:
    explicit circuit_breaker(breaker_settings settings)
        : m_settings(settings)
    {
    }

    //! \brief Whether a call may be sent now. The caller must report the result of each admitted call with recordSuccess() or
    //! recordFailure().
    bool admit(utils::time_point now);
    void recordSuccess();
    //! \a random adds jitter, so that different clients do not probe at the same time.
    void recordFailure(utils::time_point now, std::uint64_t random);

    breaker_state state() const
    {
        return m_state;
    }

private:
    void open(utils::time_point now, std::uint64_t random);

    breaker_settings m_settings;
    breaker_state m_state = breaker_state::Closed;
    unsigned m_consecutiveFailures = 0;
    unsigned m_consecutiveOpenings = 0;
    unsigned m_recoveryWindow = 0;
    unsigned m_inFlight = 0;
    utils::time_point m_nextProbe;
};

} // namespace camphorsaddle::external
