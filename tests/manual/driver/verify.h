#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "manual/driver/load_generator.h"

namespace camphorsaddle::standins {

//! \brief Result of the comparison of the callers' outcomes with the ledger.
struct verification {
    int expectedRequests = 0;
    int answeredRequests = 0;
    //! Requests with several responses, and non-repeatable ones with several finished runs.
    int duplicatedRequests = 0;
    int lostRequests = 0;
    int expectedTasks = 0;
    int finishedTasks = 0;
    int duplicatedTasks = 0;
    int lostTasks = 0;

    auto operator<=>(const verification&) const = default;

    //! \brief Whether all expected requests and tasks finished, none more than once.
    bool isPassed() const;
    //! \brief The counts in one line of text.
    std::string summary() const;
};

//! \brief Compares the outcomes and the ledger with the expected numbers of requests and tasks.
//!
//! A response counts only if the ledger has a finished run of its request.
verification verifyOutcomes(const std::vector<request_outcome>& outcomes, int expectedRequests, int expectedTasks, const nlohmann::json& ledgerDetails);

//! \brief Formats the outcomes as one line of text each.
std::string formatOutcomes(const std::vector<request_outcome>& outcomes);
//! \brief Parses the lines of \a formatOutcomes.
std::vector<request_outcome> parseOutcomes(const std::string& text);

//! \brief Reads the whole ledger and runs the event loop until it has arrived. Errors: those of the call, DataLoss for a
//! malformed body.
absl::StatusOr<nlohmann::json> fetchLedger(transport::event_loop& loop, const std::string& url);

} // namespace camphorsaddle::standins
