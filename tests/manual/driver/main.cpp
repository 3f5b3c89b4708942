#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

#include <tclap/CmdLine.h>

#include "absl/strings/str_format.h"
#include "manual/driver/load_generator.h"
#include "manual/driver/verify.h"
#include "utils/errors.h"

using namespace camphorsaddle;

namespace {

struct arguments {
    bool isVerifying = false;
    standins::load_options load;
    std::string resultsFile;
    std::string ledgerUrl;
    int expectedTasks = 0;
};

arguments parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine line("Sends requests as callers do, or compares the outcomes with the ledger.", ' ', "1");
    const TCLAP::UnlabeledValueArg<std::string> mode("mode", "load or verify", true, "", "load|verify", line);
    const TCLAP::MultiArg<std::string> targets("", "gateway", "base URL of a gateway (or a minion with --direct)", false, "URL", line);
    const TCLAP::ValueArg<std::string> service("", "service", "service to call", false, "renewals", "name", line);
    const TCLAP::ValueArg<std::string> name("", "name", "prefix of the request tokens", false, "r", "text", line);
    const TCLAP::ValueArg<int> requests("", "requests", "number of requests to send, or expected by verify", false, 300, "number", line);
    const TCLAP::ValueArg<double> rate("", "rate", "requests per second, 0 for no limit", false, 0, "number", line);
    const TCLAP::ValueArg<int> concurrency("", "concurrency", "maximum number of requests in flight", false, 16, "number", line);
    const TCLAP::SwitchArg once("", "non-repeatable", "send requests that must not run more than once", line);
    const TCLAP::SwitchArg direct("", "direct", "call minions directly, without a gateway", line);
    const TCLAP::ValueArg<int> deadline("", "deadline-ms", "deadline of a request", false, 2000, "ms", line);
    const TCLAP::ValueArg<std::string> resultsFile("", "results", "file of the outcomes, written by load, read by verify", false, "", "file", line);
    const TCLAP::ValueArg<std::string> ledgerUrl("", "ledger", "base URL of the ledger", false, "http://127.0.0.1:7002", "URL", line);
    const TCLAP::ValueArg<int> expectedTasks("", "tasks", "number of tasks that must have finished", false, 0, "number", line);
    line.parse(argc, argv);

    arguments result { mode.getValue() == "verify", {}, resultsFile.getValue(), ledgerUrl.getValue(), expectedTasks.getValue() };
    result.load.targetUrls = targets.getValue();
    result.load.service = service.getValue();
    result.load.tokenPrefix = name.getValue();
    result.load.requestCount = requests.getValue();
    result.load.requestsPerSecond = rate.getValue();
    result.load.maximumConcurrency = concurrency.getValue();
    result.load.isRepeatable = !once.getValue();
    result.load.callsMinionsDirectly = direct.getValue();
    result.load.deadline = utils::milliseconds(deadline.getValue());
    return result;
}

double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void printOutcomes(const std::vector<standins::request_outcome>& outcomes, utils::milliseconds duration)
{
    int answered = 0;
    int unknown = 0;
    int mismatched = 0;
    int retries = 0;
    std::vector<double> latencies;
    for (const auto& outcome : outcomes) {
        answered += outcome.responses;
        unknown += outcome.isUnknown ? 1 : 0;
        mismatched += outcome.mismatchedResponses;
        retries += outcome.attempts - 1;
        latencies.push_back(outcome.latencyMilliseconds);
    }
    std::sort(latencies.begin(), latencies.end());
    const double seconds = std::max(0.001, std::chrono::duration<double>(duration).count());
    std::cout << absl::StrFormat("driver: sent %d, answered %d, unknown %d, foreign %d, retries %d, p50 %.1f ms, p99 %.1f ms, %.1f requests/s\n",
        outcomes.size(), answered, unknown, mismatched, retries, quantile(latencies, 0.5), quantile(latencies, 0.99),
        static_cast<double>(outcomes.size()) / seconds);
}

int runLoad(const arguments& options)
{
    if (options.load.targetUrls.empty()) {
        std::cerr << "driver: no --gateway given\n";
        return 2;
    }
    transport::event_loop loop;
    standins::load_generator generator(loop, options.load);
    const auto& outcomes = generator.run();
    printOutcomes(outcomes, generator.duration());
    if (!options.resultsFile.empty())
        std::ofstream(options.resultsFile) << standins::formatOutcomes(outcomes);
    return 0;
}

int runVerification(const arguments& options)
{
    std::ifstream file(options.resultsFile);
    const std::string text { std::istreambuf_iterator<char>(file), {} };
    transport::event_loop loop;
    const auto ledger = standins::fetchLedger(loop, options.ledgerUrl);
    if (!ledger.ok()) {
        std::cerr << "driver: " << utils::describe(ledger.status()) << "\n";
        return 1;
    }
    for (const auto& violation : ledger->at("violations"))
        std::cerr << "violation: " << violation.dump() << "\n";
    const auto verification = standins::verifyOutcomes(standins::parseOutcomes(text), options.load.requestCount, options.expectedTasks, *ledger);
    std::cout << verification.summary() << "\n";
    return verification.isPassed() && ledger->at("violations").empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parseArguments(argc, argv);
    return options.isVerifying ? runVerification(options) : runLoad(options);
}
