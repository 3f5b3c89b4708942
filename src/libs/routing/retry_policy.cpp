#include "routing/retry_policy.h"

#include <algorithm>

namespace camphorsaddle::routing {

namespace {

    // Sums of a share such as 0.1 differ from whole numbers by rounding errors.
    constexpr double roundingAllowance = 1e-9;
    // Number of attempts over which the failed share is averaged.
    constexpr double smoothingWindowAttempts = 20;
    // Above this share of failed attempts a retry would most likely fail too and only add load.
    constexpr double maximumFailedShare = 0.8;

} // namespace

retry_budget::retry_budget(double retryShare, double maximumBalance)
    : m_retryShare(retryShare)
    , m_maximumBalance(maximumBalance)
{
}

void retry_budget::countRequest()
{
    m_balance = std::min(m_maximumBalance, m_balance + m_retryShare);
}

void retry_budget::countAttempt(bool hasFailed)
{
    m_failedShare += ((hasFailed ? 1.0 : 0.0) - m_failedShare) / smoothingWindowAttempts;
}

bool retry_budget::tryConsume()
{
    if (m_failedShare > maximumFailedShare || m_balance + roundingAllowance < 1)
        return false;
    m_balance -= 1;
    return true;
}

absl::optional<utils::milliseconds> retryDelay(const retry_options& options, int failedAttempts, utils::time_point now, utils::time_point deadline,
    random_generator& random)
{
    if (failedAttempts >= options.maximumAttempts)
        return absl::nullopt;
    constexpr int maximumDoublings = 20;
    const auto bound = std::min(options.maximumDelay, options.baseDelay * (1 << std::clamp(failedAttempts - 1, 0, maximumDoublings)));
    const utils::milliseconds delay(std::uniform_int_distribution<std::int64_t>(0, bound.count())(random));
    if (now + delay >= deadline)
        return absl::nullopt;
    return delay;
}

absl::optional<utils::time_point> hedgeTime(utils::milliseconds slowLatency, utils::milliseconds usualLatency, utils::time_point now, utils::time_point deadline)
{
    const auto time = now + slowLatency;
    if (time + usualLatency >= deadline)
        return absl::nullopt;
    return time;
}

} // namespace camphorsaddle::routing
