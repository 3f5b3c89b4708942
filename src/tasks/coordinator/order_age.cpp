#include "tasks/coordinator/order_age.h"

namespace camphorsaddle::tasks {

namespace {

    // Clocks that are kept by NTP deviate by at most 500 ppm each.
    constexpr std::int64_t clockDriftDivisor = 1000;
    // 100 years; a clock counts from the start of its host.
    constexpr std::int64_t maximumMicroseconds = 100LL * 365 * 86'400'000'000;

    std::int64_t toMicroseconds(utils::time_point::duration duration)
    {
        return std::chrono::duration_cast<utils::microseconds>(duration).count();
    }

    bool isWithinBounds(std::int64_t microseconds)
    {
        return microseconds >= 0 && microseconds <= maximumMicroseconds;
    }

    // The time that a hello took, plus the difference of the two clocks.
    std::int64_t shiftedDelay(const relay_hello& hello)
    {
        return toMicroseconds(hello.handledAt.time_since_epoch()) - hello.sentMicroseconds;
    }

} // namespace

relay_hello chooseReference(const relay_hello& known, const relay_hello& received)
{
    if (!isWithinBounds(received.sentMicroseconds))
        return known;
    // A lower time is that of a host that has started again.
    const bool isComparable = known.sentMicroseconds > 0 && received.sentMicroseconds >= known.sentMicroseconds;
    const auto drift = toMicroseconds(received.handledAt - known.handledAt) / clockDriftDivisor;
    return isComparable && shiftedDelay(received) > shiftedDelay(known) + drift ? known : received;
}

order_send_time sendTimeOf(const relay_hello& reference, utils::time_point now)
{
    if (reference.sentMicroseconds == 0)
        return {};
    return { reference.sentMicroseconds, toMicroseconds(now - reference.handledAt) };
}

bool isTooOldToSend(utils::time_point decidedAt, utils::time_point now)
{
    return decidedAt != utils::time_point() && now > decidedAt + startSendLimit;
}

bool isTooOldToStart(const order_send_time& sent, utils::time_point now)
{
    if (sent.helloMicroseconds == 0)
        return false;
    const auto nowMicroseconds = toMicroseconds(now.time_since_epoch());
    // A hello that this host hasn't sent yet is that of an earlier start of the host.
    const bool isKnown = isWithinBounds(sent.helloMicroseconds) && isWithinBounds(sent.sinceHelloMicroseconds) && sent.helloMicroseconds <= nowMicroseconds;
    return !isKnown || utils::microseconds(nowMicroseconds - sent.helloMicroseconds - sent.sinceHelloMicroseconds) > relayedStartLimit;
}

} // namespace camphorsaddle::tasks
