#pragma once

#include "utils/clock.h"

namespace camphorsaddle::journal {

//! \brief Token bucket that limits the rate of the store writes of all journals of a daemon.
class write_budget {
public:
    //! \a burst is the maximum number of writes that may be issued without a delay between them.
    write_budget(double writesPerSecond, double burst);

    //! \brief Changes the rate, for instance when the number of live daemons changes.
    void setRate(double writesPerSecond);

    //! \brief Takes a token and returns how long the caller must wait before the write; zero if a token was available.
    utils::milliseconds reserve(utils::time_point now);

private:
    double m_writesPerSecond;
    double m_burst;
    double m_tokens;
    utils::time_point m_lastUpdate {};
};

} // namespace camphorsaddle::journal
