#pragma once

#include <functional>

#include "utils/clock.h"

namespace camphorsaddle::utils {

//! \brief Current time and delayed function calls on the caller's event loop; all calls run on one thread.
class executor {
public:
    virtual ~executor() = default;

    virtual time_point now() const = 0;
    virtual void callLater(milliseconds delay, std::function<void()> function) = 0;
};

} // namespace camphorsaddle::utils
