#include "manual/driver/load_generator.h"

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;
    using utils::milliseconds;

    constexpr milliseconds retryDelay { 50 };
    //! Interval at which requests that have become due are started.
    constexpr milliseconds rateInterval { 5 };
    //! Time after the deadline for which the caller still waits for the response.
    constexpr milliseconds responseMargin { 1000 };

    std::string headerValue(const transport::http_result& result, const char* name)
    {
        const auto found = result.response.headers.find(name);
        return found == result.response.headers.end() ? std::string() : found->second;
    }

    //! Whether the response is complete and its token, body hash and request id match the request.
    bool isResponseToRequest(const std::string& token, const std::string& body, const transport::http_result& result)
    {
        const auto content = json::parse(result.response.body, nullptr, false);
        if (!content.is_object())
            return false;
        return absl::EndsWith(content.value("path", ""), absl::StrCat("/", token))
            && content.value("body_hash", "") == absl::StrCat(absl::Hex(utils::stableHash(body)))
            && content.value("request", "") == headerValue(result, "camphorsaddle-request");
    }

} // namespace

load_generator::load_generator(transport::event_loop& loop, load_options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_delays(loop)
    , m_client(transport::http_client::create(loop))
    , m_outcomes(m_options.requestCount)
    , m_startTimes(m_options.requestCount)
{
    for (std::size_t i = 0; i < m_outcomes.size(); ++i) {
        m_outcomes[i].token = absl::StrCat(m_options.tokenPrefix, "-", i);
        m_outcomes[i].isRepeatable = m_options.isRepeatable;
    }
}

const std::vector<request_outcome>& load_generator::run()
{
    m_startTime = m_loop.now();
    m_endTime = m_startTime;
    if (m_outcomes.empty())
        return m_outcomes;
    startDueRequests();
    m_loop.run();
    return m_outcomes;
}

milliseconds load_generator::duration() const
{
    return std::chrono::duration_cast<milliseconds>(m_endTime - m_startTime);
}

void load_generator::startDueRequests()
{
    const double elapsed = std::chrono::duration<double>(m_loop.now() - m_startTime).count();
    while (m_nextRequest < m_outcomes.size() && m_inFlightCount < m_options.maximumConcurrency
        && (m_options.requestsPerSecond <= 0 || static_cast<double>(m_nextRequest) <= elapsed * m_options.requestsPerSecond))
        startNextRequest();
    if (m_nextRequest < m_outcomes.size())
        m_delays.callAfter(rateInterval, [this] { startDueRequests(); });
}

void load_generator::startNextRequest()
{
    ++m_inFlightCount;
    m_startTimes[m_nextRequest] = m_loop.now();
    send(m_nextRequest++);
}

transport::http_call load_generator::makeCall(std::size_t index, const std::string& body)
{
    const auto& outcome = m_outcomes[index];
    const auto& targetUrl = m_options.targetUrls[m_nextTarget++ % m_options.targetUrls.size()];
    transport::http_call call;
    call.method = "POST";
    call.body = body;
    call.timeout = m_options.deadline + responseMargin;
    call.requiresNewConnection = !outcome.isRepeatable;
    call.headers["content-type"] = "application/octet-stream";
    if (m_options.callsMinionsDirectly) {
        call.url = absl::StrCat(targetUrl, "/", outcome.token);
        call.headers["camphorsaddle-request"] = outcome.token;
        call.headers["camphorsaddle-attempt"] = absl::StrCat(outcome.attempts);
        return call;
    }
    call.url = absl::StrCat(targetUrl, "/v1/services/", m_options.service, "/", outcome.token);
    call.headers["camphorsaddle-deadline-ms"] = absl::StrCat(m_options.deadline.count());
    call.headers["camphorsaddle-repeatable"] = outcome.isRepeatable ? "true" : "false";
    call.headers["camphorsaddle-caller"] = "driver";
    return call;
}

void load_generator::send(std::size_t index)
{
    ++m_outcomes[index].attempts;
    const std::string body = absl::StrCat("body of ", m_outcomes[index].token);
    m_client->start(makeCall(index, body), [this, index, body](const transport::http_result& result) { handleResult(index, body, result); });
}

void load_generator::handleResult(std::size_t index, const std::string& body, const transport::http_result& result)
{
    auto& outcome = m_outcomes[index];
    if (result.status.ok() && result.response.status == 200) {
        const bool isValid = isResponseToRequest(outcome.token, body, result);
        ++(isValid ? outcome.responses : outcome.mismatchedResponses);
        return completeRequest(index);
    }
    const bool isWithinRetryTimeout = m_loop.now() - m_startTimes[index] < m_options.retryTimeout;
    if (canRetry(outcome, result) && isWithinRetryTimeout)
        return m_delays.callAfter(retryDelay, [this, index] { send(index); });
    outcome.isUnknown = true;
    completeRequest(index);
}

bool load_generator::canRetry(const request_outcome& outcome, const transport::http_result& result) const
{
    if (outcome.isRepeatable)
        return true;
    if (!result.status.ok())
        return !result.mayHaveBeenSent;
    return headerValue(result, "camphorsaddle-outcome") == "not-run" || !headerValue(result, "camphorsaddle-not-run").empty();
}

void load_generator::completeRequest(std::size_t index)
{
    m_endTime = m_loop.now();
    m_outcomes[index].latencyMilliseconds = std::chrono::duration<double, std::milli>(m_endTime - m_startTimes[index]).count();
    --m_inFlightCount;
    if (++m_completedCount == m_outcomes.size())
        return m_loop.stop();
    if (m_options.requestsPerSecond <= 0 && m_nextRequest < m_outcomes.size())
        startNextRequest();
}

} // namespace camphorsaddle::standins
