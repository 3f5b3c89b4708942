#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "external/key_value_store.h"
#include "journal/executor.h"
#include "journal/write_budget.h"

namespace camphorsaddle::journal {

//! \brief What the writes of one log share.
struct write_context {
    external::key_value_store& store;
    executor& loop;
    write_budget& budget;
    utils::milliseconds initialRetryDelay;
    utils::milliseconds maximumRetryDelay;
    //! Spreads the retries of different writers.
    std::uint64_t jitterSeed = 0;
    bool isReachable = true;
    std::uint64_t issuedWrites = 0;

    //! \brief Notes an answer of the store.
    void recordStoreResult(const absl::Status& status);
    //! \brief Exponential backoff with jitter, between half and the whole of the step.
    utils::milliseconds retryDelay(unsigned failures);
};

enum class write_outcome {
    //! The key holds the own value at \a current.version.
    Written,
    //! The key holds \a current, written by another; the own value is not there and never will be.
    Conflict,
    //! The store refuses the value for good.
    Refused,
};

struct write_result {
    write_outcome outcome = write_outcome::Written;
    external::key_value current;
    //! An answer was lost, so the value may have been there before the conflict.
    bool wasUncertain = false;
    absl::Status cause;
};

//! \brief Writes a value that no other write equals, and repeats or reads back until the result is certain.
//!
//! The expected version stays the same in each repetition, so that at most one of them takes effect.
//! The callback is dropped when \a owner has expired.
void writeConfirmed(std::shared_ptr<write_context> context, std::weak_ptr<void> owner, external::write_request request, std::function<void(write_result)> callback);

//! \brief Runs \a function after the time that the budget asks for, at once when it has a token.
void runRateLimited(const std::shared_ptr<write_context>& context, std::weak_ptr<void> owner, std::function<void()> function);

} // namespace camphorsaddle::journal
