#pragma once

#include "absl/types/optional.h"
#include "routing/minion_choice.h"
#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Limits the retries and hedges of one service to a share of its requests.
class retry_budget {
public:
    //! \a retryShare is the number of retries and hedges allowed per request. Unused ones accumulate up to \a maximumBalance.
    explicit retry_budget(double retryShare, double maximumBalance = 10);

    //! \brief Adds the share of one request to the balance.
    void countRequest();
    //! \brief Records the end of an attempt. While nearly all attempts fail, no retry is allowed, because it would fail too.
    void countAttempt(bool hasFailed);
    //! \brief Consumes one retry or hedge; returns false if none is allowed now.
    bool tryConsume();

private:
    double m_retryShare;
    double m_maximumBalance;
    double m_balance = 0;
    //! Moving average of the share of failed attempts.
    double m_failedShare = 0;
};

//! \brief Limits of the retries of one request.
struct retry_options {
    utils::milliseconds baseDelay { 5 };
    utils::milliseconds maximumDelay { 200 };
    int maximumAttempts = 3;

    auto operator<=>(const retry_options&) const = default;
};

//! \brief Random delay before the next attempt after \a failedAttempts failed ones.
//!
//! The delay is between 0 and a bound that doubles with each attempt, from baseDelay up to maximumDelay. Returns nothing
//! if no attempts are left or the next one would begin after the deadline.
absl::optional<utils::milliseconds> retryDelay(const retry_options& options, int failedAttempts, utils::time_point now, utils::time_point deadline,
    random_generator& random);

//! \brief Time at which a hedge (second copy) of a request that is sent \a now may be sent.
//!
//! Returns nothing if a response after \a usualLatency would miss the deadline.
absl::optional<utils::time_point> hedgeTime(utils::milliseconds slowLatency, utils::milliseconds usualLatency, utils::time_point now, utils::time_point deadline);

} // namespace camphorsaddle::routing
