#pragma once

#include <chrono>

namespace camphorsaddle::utils {

//! \brief Monotonic time point; functions that make decisions take the current time as an argument.
using time_point = std::chrono::steady_clock::time_point;

//! \brief Wall-clock time point, for values that are read by other hosts or by people.
using wall_time_point = std::chrono::system_clock::time_point;

//! \brief Current monotonic time that, unlike the steady clock, includes the time while the host was suspended.
//!
//! Lease checks need it, because a lease also expires while the process does not run.
time_point nowIncludingSuspend();

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds millisecondsBetween(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace camphorsaddle::utils
