#pragma once

#include <cstdint>

#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Token bucket for the bytes that one gateway may transfer across the link between regions.
class link_budget {
public:
    //! \a burstBytes is the capacity of the bucket. It starts full.
    link_budget(double bytesPerSecond, double burstBytes, utils::time_point now);

    //! \brief Consumes \a bytes if the balance covers all of them; otherwise consumes nothing and returns false.
    bool tryConsume(std::int64_t bytes, utils::time_point now);

    //! \brief Consumes the bytes of a response unconditionally. The balance may become negative and delay later requests.
    void consume(std::int64_t bytes);

private:
    double m_bytesPerSecond;
    double m_burstBytes;
    double m_balance;
    utils::time_point m_refilledAt;
};

} // namespace camphorsaddle::routing
