#pragma once

#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief Bounds the share of the event loop's time that the leader's decisions take to a half, unless one takes longer than 100 ms.
//!
//! The rest is left to replies, lease renewals and the store's responses, on which the next decision depends.
class decision_pacer {
public:
    //! \brief Delay from \a now until the next decision may begin.
    utils::milliseconds delay(utils::time_point now) const;
    void recordDecision(utils::time_point beganAt, utils::time_point endedAt);

private:
    utils::time_point m_notBefore;
};

} // namespace camphorsaddle::tasks
