#include "utils/token_bucket.h"

#include <algorithm>

namespace camphorsaddle::utils {

token_bucket::token_bucket(double tokensPerSecond, double burst, time_point now)
    : m_tokensPerSecond(tokensPerSecond)
    , m_burst(burst)
    , m_balance(burst)
    , m_refilledAt(now)
{
}

bool token_bucket::tryConsume(std::int64_t tokens, time_point now)
{
    m_balance = std::min(m_burst, m_balance + m_tokensPerSecond * std::chrono::duration<double>(now - m_refilledAt).count());
    m_refilledAt = now;
    if (m_balance < static_cast<double>(tokens))
        return false;
    m_balance -= static_cast<double>(tokens);
    return true;
}

void token_bucket::consume(std::int64_t tokens)
{
    m_balance -= static_cast<double>(tokens);
}

} // namespace camphorsaddle::utils
