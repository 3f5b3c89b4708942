#include "manual/driver/verify.h"

#include <algorithm>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::standins {

using nlohmann::json;

bool verification::isPassed() const
{
    return answeredRequests == expectedRequests && duplicatedRequests == 0 && lostRequests == 0 && finishedTasks == expectedTasks && duplicatedTasks == 0 && lostTasks == 0;
}

std::string verification::summary() const
{
    return absl::StrCat("requests: answered ", answeredRequests, " of ", expectedRequests, ", doubled ", duplicatedRequests, ", lost ", lostRequests,
        "; tasks: finished ", finishedTasks, " of ", expectedTasks, ", doubled ", duplicatedTasks, ", lost ", lostTasks);
}

verification verifyOutcomes(const std::vector<request_outcome>& outcomes, int expectedRequests, int expectedTasks, const json& ledgerDetails)
{
    std::map<std::string, int> finishedRunsByToken;
    for (const auto& run : ledgerDetails.at("request_runs")) {
        const std::string path = run.at("path");
        if (run.at("finished") >= 0)
            ++finishedRunsByToken[path.substr(path.rfind('/') + 1)];
    }
    verification result;
    result.expectedRequests = expectedRequests;
    for (const auto& outcome : outcomes) {
        const int runs = finishedRunsByToken[outcome.token];
        const bool isAnswered = outcome.responses > 0 && outcome.mismatchedResponses == 0 && runs > 0;
        result.answeredRequests += isAnswered ? 1 : 0;
        result.duplicatedRequests += outcome.responses > 1 || (!outcome.isRepeatable && runs > 1) ? 1 : 0;
    }
    result.lostRequests = std::max(0, expectedRequests - result.answeredRequests);
    const auto& taskCounts = ledgerDetails.at("tasks");
    result.expectedTasks = expectedTasks;
    result.finishedTasks = taskCounts.at("finished");
    result.duplicatedTasks = taskCounts.at("doubled");
    result.lostTasks = std::max(0, expectedTasks - result.finishedTasks);
    return result;
}

std::string formatOutcomes(const std::vector<request_outcome>& outcomes)
{
    std::string text;
    for (const auto& outcome : outcomes)
        absl::StrAppend(&text, outcome.token, " ", outcome.isRepeatable ? 1 : 0, " ", outcome.responses, " ", outcome.mismatchedResponses, "\n");
    return text;
}

std::vector<request_outcome> parseOutcomes(const std::string& text)
{
    std::vector<request_outcome> outcomes;
    std::istringstream lines(text);
    request_outcome outcome;
    while (lines >> outcome.token >> outcome.isRepeatable >> outcome.responses >> outcome.mismatchedResponses)
        outcomes.push_back(outcome);
    return outcomes;
}

absl::StatusOr<json> fetchLedger(transport::event_loop& loop, const std::string& url)
{
    const auto client = transport::http_client::create(loop);
    transport::http_call call;
    call.url = absl::StrCat(url, "/ledger?details=true");
    call.responseLimit = std::size_t { 1 } << 30;
    transport::http_result fetched;
    client->start(call, [&](transport::http_result result) {
        fetched = std::move(result);
        loop.stop();
    });
    loop.run();
    if (!fetched.status.ok())
        return utils::withContext(fetched.status, "read ledger", url);
    auto details = json::parse(fetched.response.body, nullptr, false);
    if (!details.is_object())
        return utils::makeError(absl::StatusCode::kDataLoss, "read ledger", url, "not a JSON object");
    return details;
}

} // namespace camphorsaddle::standins
