#pragma once

#include <compare>
#include <cstdint>

#include "utils/clock.h"

namespace camphorsaddle::tasks {

//! \brief Time from the decision after which the leader no longer sends a start.
//!
//! Together with the next limit and the 500 ms of the relay's call it is the time that an order may take to its worker, 1.9 s.
inline constexpr utils::milliseconds startSendLimit { 400 };
//! \brief Age above which a relay no longer executes a start.
//!
//! The leader counts an order as unanswered after 650 ms. The limit is higher, since the age is known only as an upper bound.
inline constexpr utils::milliseconds relayedStartLimit { 1000 };

//! \brief A relay's hello as the leader has received it.
struct relay_hello {
    //! Clock of the relay when it sent the hello, us; 0 if unknown.
    std::int64_t sentMicroseconds = 0;
    //! Clock of the leader when it handled the hello.
    utils::time_point handledAt;

    auto operator<=>(const relay_hello&) const = default;
};

//! \brief The hello that orders to the relay refer to: the one that took the least time, if it isn't outdated by the drift of the clocks.
relay_hello chooseReference(const relay_hello& known, const relay_hello& received);

//! \brief What a message with orders says of the time at which it was sent.
struct order_send_time {
    //! Clock of the relay when it sent the hello that the message refers to, us; 0 in messages of older daemons.
    std::int64_t helloMicroseconds = 0;
    //! Time from the handling of the hello to the sending of the message by the leader's clock, us.
    std::int64_t sinceHelloMicroseconds = 0;

    auto operator<=>(const order_send_time&) const = default;
};

order_send_time sendTimeOf(const relay_hello& reference, utils::time_point now);

//! \brief Whether the leader must no longer send a start that was decided at \a decidedAt; false if that time is unknown.
bool isTooOldToSend(utils::time_point decidedAt, utils::time_point now);

//! \brief Whether a relay must no longer execute the starts of a message that it reads at \a now.
//!
//! The age that counts is an upper bound without synchronized clocks: the leader handled the hello after the relay had sent it, so that the
//! message was sent at least the stated time after the hello. The bound exceeds the age by the time that the hello took.
bool isTooOldToStart(const order_send_time& sent, utils::time_point now);

} // namespace camphorsaddle::tasks
