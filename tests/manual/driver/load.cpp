#include "manual/driver/load.h"

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;
    using utils::milliseconds;

    constexpr milliseconds retryPause { 50 };
    constexpr milliseconds rateTick { 5 };
    constexpr milliseconds answerAllowance { 1000 };

    std::string headerOf(const transport::http_result& result, const char* name)
    {
        const auto found = result.response.headers.find(name);
        return found == result.response.headers.end() ? std::string() : found->second;
    }

    bool isOwnAnswer(const std::string& token, const std::string& body, const transport::http_result& result)
    {
        const auto answer = json::parse(result.response.body, nullptr, false);
        if (!answer.is_object())
            return false;
        return absl::EndsWith(answer.value("path", ""), absl::StrCat("/", token))
            && answer.value("body_hash", "") == absl::StrCat(absl::Hex(utils::stableHash(body)))
            && answer.value("request", "") == headerOf(result, "camphorsaddle-request");
    }

} // namespace

load::load(transport::event_loop& loop, load_options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_delays(loop)
    , m_client(transport::http_client::create(loop))
    , m_outcomes(m_options.requests)
    , m_begins(m_options.requests)
{
    for (std::size_t i = 0; i < m_outcomes.size(); ++i) {
        m_outcomes[i].token = absl::StrCat(m_options.name, "-", i);
        m_outcomes[i].isRepeatable = m_options.isRepeatable;
    }
}

const std::vector<request_outcome>& load::run()
{
    m_begin = m_loop.now();
    m_end = m_begin;
    if (m_outcomes.empty())
        return m_outcomes;
    startDue();
    m_loop.run();
    return m_outcomes;
}

milliseconds load::duration() const
{
    return std::chrono::duration_cast<milliseconds>(m_end - m_begin);
}

void load::startDue()
{
    const double elapsed = std::chrono::duration<double>(m_loop.now() - m_begin).count();
    while (m_next < m_outcomes.size() && m_inFlight < m_options.concurrency
        && (m_options.rate <= 0 || static_cast<double>(m_next) <= elapsed * m_options.rate))
        startNext();
    if (m_next < m_outcomes.size())
        m_delays.after(rateTick, [this] { startDue(); });
}

void load::startNext()
{
    ++m_inFlight;
    m_begins[m_next] = m_loop.now();
    send(m_next++);
}

transport::http_call load::makeCall(std::size_t index, const std::string& body)
{
    const auto& outcome = m_outcomes[index];
    const auto& target = m_options.targets[m_turn++ % m_options.targets.size()];
    transport::http_call call;
    call.method = "POST";
    call.body = body;
    call.timeout = m_options.deadline + answerAllowance;
    call.requiresNewConnection = !outcome.isRepeatable;
    call.headers["content-type"] = "application/octet-stream";
    if (m_options.isDirect) {
        call.url = absl::StrCat(target, "/", outcome.token);
        call.headers["camphorsaddle-request"] = outcome.token;
        call.headers["camphorsaddle-attempt"] = absl::StrCat(outcome.tries);
        return call;
    }
    call.url = absl::StrCat(target, "/v1/services/", m_options.service, "/", outcome.token);
    call.headers["camphorsaddle-deadline-ms"] = absl::StrCat(m_options.deadline.count());
    call.headers["camphorsaddle-repeatable"] = outcome.isRepeatable ? "true" : "false";
    call.headers["camphorsaddle-caller"] = "driver";
    return call;
}

void load::send(std::size_t index)
{
    ++m_outcomes[index].tries;
    const std::string body = absl::StrCat("body of ", m_outcomes[index].token);
    m_client->start(makeCall(index, body), [this, index, body](const transport::http_result& result) { take(index, body, result); });
}

void load::take(std::size_t index, const std::string& body, const transport::http_result& result)
{
    auto& outcome = m_outcomes[index];
    if (result.status.ok() && result.response.status == 200) {
        const bool isOwn = isOwnAnswer(outcome.token, body, result);
        ++(isOwn ? outcome.answers : outcome.foreign);
        return complete(index);
    }
    const bool hasPatience = m_loop.now() - m_begins[index] < m_options.patience;
    if (mayRepeat(outcome, result) && hasPatience)
        return m_delays.after(retryPause, [this, index] { send(index); });
    outcome.isUnknown = true;
    complete(index);
}

bool load::mayRepeat(const request_outcome& outcome, const transport::http_result& result) const
{
    if (outcome.isRepeatable)
        return true;
    if (!result.status.ok())
        return !result.mayHaveBeenSent;
    return headerOf(result, "camphorsaddle-outcome") == "not-run" || !headerOf(result, "camphorsaddle-not-run").empty();
}

void load::complete(std::size_t index)
{
    m_end = m_loop.now();
    m_outcomes[index].latencyMilliseconds = std::chrono::duration<double, std::milli>(m_end - m_begins[index]).count();
    --m_inFlight;
    if (++m_done == m_outcomes.size())
        return m_loop.stop();
    if (m_options.rate <= 0 && m_next < m_outcomes.size())
        startNext();
}

} // namespace camphorsaddle::standins
