#pragma once

#include <cstddef>

#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief Limits of the cancellations that are stored before their job.
struct early_cancellation_settings {
    //! Number that one daemon stores without a pause, and per second after that. All daemons of a large fleet together stay
    //! below a fifth of the writes that the store allows.
    double burst = 64;
    double perSecond = 2;
    //! Time for which each one keeps its job from being stored at least. Longer than any caller waits for a reply, than
    //! daemons freeze, and than the store executes a write late.
    utils::milliseconds retention { 300'000 };
    //! Time between two searches of the leader for those that may be erased.
    utils::milliseconds sweepInterval { 30'000 };

    auto operator<=>(const early_cancellation_settings&) const = default;
};

} // namespace camphorsaddle::tasks
