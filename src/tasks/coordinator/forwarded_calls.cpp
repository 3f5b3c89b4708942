#include "tasks/coordinator/forwarded_calls.h"

#include <algorithm>
#include <utility>

namespace camphorsaddle::tasks {

namespace {

    // A leader replies within a few milliseconds plus a round trip of up to 25 ms; its store replies within a second even
    // when it is slow.
    constexpr utils::milliseconds leaderReplyTimeout { 700 };

    utils::milliseconds replyTimeout(const job_call& call)
    {
        return std::min(leaderReplyTimeout, call.timeout / 2);
    }

} // namespace

void forwarded_calls::setFirstTicket(std::uint64_t firstTicket)
{
    m_nextTicket = firstTicket;
}

job_call forwarded_calls::add(const job_call& call, utils::time_point now)
{
    auto sentCall = call;
    sentCall.ticket = m_nextTicket++;
    sentCall.timeout = std::min(call.timeout, leaderReplyTimeout);
    m_calls[sentCall.ticket] = { call, now };
    return sentCall;
}

std::optional<job_call> forwarded_calls::take(std::uint64_t ticket)
{
    const auto found = m_calls.find(ticket);
    if (found == m_calls.end())
        return std::nullopt;
    auto call = std::move(found->second.call);
    m_calls.erase(found);
    return call;
}

std::vector<job_call> forwarded_calls::takeOverdue(utils::time_point readUntil)
{
    std::vector<job_call> overdueCalls;
    for (auto entry = m_calls.begin(); entry != m_calls.end();) {
        auto& [call, sentAt] = entry->second;
        if (readUntil <= sentAt + replyTimeout(call)) {
            ++entry;
            continue;
        }
        call.timeout -= replyTimeout(call);
        overdueCalls.push_back(std::move(call));
        entry = m_calls.erase(entry);
    }
    return overdueCalls;
}

} // namespace camphorsaddle::tasks
