#pragma once

#include <cstdint>

#include "utils/clock.h"

namespace camphorsaddle::utils {

//! \brief Limits a rate, for example that of the bytes that one gateway may transfer across the link between regions.
class token_bucket {
public:
    //! \a burst is the capacity of the bucket. It starts full.
    token_bucket(double tokensPerSecond, double burst, time_point now);

    //! \brief Consumes \a tokens if the balance covers all of them; otherwise consumes nothing and returns false.
    bool tryConsume(std::int64_t tokens, time_point now);

    //! \brief Consumes \a tokens unconditionally. The balance may become negative and delay later requests.
    void consume(std::int64_t tokens);

private:
    double m_tokensPerSecond;
    double m_burst;
    double m_balance;
    time_point m_refilledAt;
};

} // namespace camphorsaddle::utils
