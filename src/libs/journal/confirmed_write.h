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

//! \brief State that all writes of one log share.
struct write_context {
    external::key_value_store& store;
    executor& loop;
    write_budget& budget;
    utils::milliseconds initialRetryDelay;
    utils::milliseconds maximumRetryDelay;
    //! State of the jitter, which keeps different writers from retrying at the same time.
    std::uint64_t jitterSeed = 0;
    bool isReachable = true;
    std::uint64_t issuedWrites = 0;

    //! \brief Updates isReachable with the result of a store call and logs changes; a version conflict counts as reachable.
    void recordStoreResult(const absl::Status& status);
    //! \brief Exponential backoff with jitter: a random time between half of the backoff step and the whole step.
    utils::milliseconds retryDelay(unsigned failures);
};

enum class write_outcome {
    //! The key holds the requested value at version \a current.version.
    Written,
    //! The key holds \a current, which another writer wrote; the requested value is not stored and will not be.
    Conflict,
    //! The store rejects the value permanently.
    Rejected,
};

struct write_result {
    write_outcome outcome = write_outcome::Written;
    external::key_value current;
    //! An answer was lost, so the value may have been stored before another writer replaced it.
    bool wasUncertain = false;
    absl::Status cause;
};

//! \brief Writes a value and retries or reads the key back until the outcome is known.
//!
//! The value must differ from that of every other write. All attempts expect the same version, so that at most one of them
//! takes effect. \a callback does not run once \a owner has expired.
void writeConfirmed(std::shared_ptr<write_context> context, std::weak_ptr<void> owner, external::write_request request, std::function<void(write_result)> callback);

//! \brief Runs \a function when the write budget allows it: immediately if a token is available, otherwise after a delay.
void runRateLimited(const std::shared_ptr<write_context>& context, std::weak_ptr<void> owner, std::function<void()> function);

} // namespace camphorsaddle::journal
