#pragma once

#include <chrono>

namespace camphorsaddle::utils {

//! \brief Monotonic time point that every deciding function takes as an argument.
using time_point = std::chrono::steady_clock::time_point;

//! \brief Wall-clock time point, for values that other hosts or people read.
using wall_time_point = std::chrono::system_clock::time_point;

//! \brief Monotonic time that goes on while the host is suspended, unlike the steady clock.
//!
//! Whoever acts on a lease must know that time passed although the process did not run.
time_point nowIncludingSuspend();

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace camphorsaddle::utils
