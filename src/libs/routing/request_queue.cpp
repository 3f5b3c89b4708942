#include "routing/request_queue.h"

#include <algorithm>
#include <iterator>

namespace camphorsaddle::routing {

absl::optional<refusal_reason> concurrency_limits::acquire(const std::string& service, const std::string& caller, int callerLimit, int serviceLimit)
{
    int& serviceCount = m_serviceCounts[service];
    if (serviceLimit > 0 && serviceCount >= serviceLimit)
        return refusal_reason::QueueFull;
    int& callerCount = m_callerCounts[{ service, caller }];
    if (callerLimit > 0 && callerCount >= callerLimit)
        return refusal_reason::CallerLimit;
    ++serviceCount;
    ++callerCount;
    return absl::nullopt;
}

void concurrency_limits::release(const std::string& service, const std::string& caller)
{
    if (const auto found = m_serviceCounts.find(service); found != m_serviceCounts.end() && --found->second <= 0)
        m_serviceCounts.erase(found);
    if (const auto found = m_callerCounts.find({ service, caller }); found != m_callerCounts.end() && --found->second <= 0)
        m_callerCounts.erase(found);
}

request_queue::request_queue(const queue_limits& limits)
    : m_limits(limits)
{
}

absl::optional<refusal_reason> request_queue::push(const waiting_request& request, int serviceLimit, double startsPerSecond, utils::time_point now,
    absl::optional<std::uint64_t>& shedNumber)
{
    shedNumber.reset();
    if (now >= request.deadline)
        return refusal_reason::Deadline;
    const auto ahead = static_cast<double>(countAhead(request.priority));
    // Patient requests are exempt: they are sent at their reserved rate, so their waiting time does not follow from the number of requests ahead.
    if (!request.isPatient && startsPerSecond > 0 && now + std::chrono::duration_cast<utils::time_point::duration>(std::chrono::duration<double>(ahead / startsPerSecond)) >= request.deadline)
        return refusal_reason::Deadline;
    const bool isServiceFull = serviceLimit > 0 && waitingCount(request.service) >= static_cast<std::size_t>(serviceLimit);
    if (isServiceFull)
        return refusal_reason::QueueFull;
    if (m_size >= m_limits.maximumWaiting) {
        shedNumber = shedLowerPriority(request.priority);
        if (!shedNumber)
            return refusal_reason::QueueFull;
    }
    m_levels[request.priority].push_back(request);
    ++m_serviceCounts[request.service];
    ++m_size;
    m_patientCount += request.isPatient ? 1 : 0;
    return absl::nullopt;
}

absl::optional<std::uint64_t> request_queue::shedLowerPriority(int priority)
{
    if (m_levels.empty() || m_levels.rbegin()->first >= priority)
        return absl::nullopt;
    const auto number = m_levels.rbegin()->second.back().number;
    remove(number);
    return number;
}

absl::optional<waiting_request> request_queue::pop(const std::function<bool(const std::string&)>& canStart)
{
    const bool isPatientTurn = m_patientCount > 0 && m_startsSincePatient + 1 >= m_limits.startsPerPatientStart;
    for (const bool isPatientOnly : { true, false }) {
        if (isPatientOnly && !isPatientTurn)
            continue;
        for (auto& [priority, requests] : m_levels) {
            // Last service that canStart rejected, so that it is called once for consecutive requests of one service.
            std::string blockedService;
            const auto found = std::find_if(requests.begin(), requests.end(), [&](const waiting_request& request) {
                if ((isPatientOnly && !request.isPatient) || request.service == blockedService)
                    return false;
                if (canStart(request.service))
                    return true;
                blockedService = request.service;
                return false;
            });
            if (found == requests.end())
                continue;
            auto taken = *found;
            remove(taken.number);
            m_startsSincePatient = taken.isPatient ? 0 : m_startsSincePatient + 1;
            return taken;
        }
    }
    return absl::nullopt;
}

std::vector<std::uint64_t> request_queue::removeExpired(utils::time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [priority, requests] : m_levels) {
        for (const auto& request : requests) {
            if (request.deadline <= now)
                expired.push_back(request.number);
        }
    }
    for (const auto number : expired)
        remove(number);
    return expired;
}

bool request_queue::remove(std::uint64_t number)
{
    for (auto level = m_levels.begin(); level != m_levels.end(); ++level) {
        const auto found = std::find_if(level->second.begin(), level->second.end(), [number](const waiting_request& request) { return request.number == number; });
        if (found == level->second.end())
            continue;
        removeFromCounts(*found);
        level->second.erase(found);
        if (level->second.empty())
            m_levels.erase(level);
        return true;
    }
    return false;
}

void request_queue::removeFromCounts(const waiting_request& request)
{
    --m_size;
    m_patientCount -= request.isPatient ? 1 : 0;
    const auto found = m_serviceCounts.find(request.service);
    if (--found->second == 0)
        m_serviceCounts.erase(found);
}

std::size_t request_queue::countAhead(int priority) const
{
    std::size_t count = 0;
    for (const auto& [levelPriority, requests] : m_levels) {
        if (levelPriority >= priority)
            count += requests.size();
    }
    return count;
}

std::size_t request_queue::waitingCount(const std::string& service) const
{
    const auto found = m_serviceCounts.find(service);
    return found == m_serviceCounts.end() ? 0 : found->second;
}

} // namespace camphorsaddle::routing
