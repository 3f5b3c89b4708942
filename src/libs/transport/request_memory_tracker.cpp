#include "transport/request_memory_tracker.h"

#include <algorithm>
#include <utility>

namespace camphorsaddle::transport {

namespace {

    // Bounds the log to one line in this time, whatever callers do.
    constexpr utils::milliseconds reportInterval { 10'000 };

} // namespace

request_memory_tracker::request_memory_tracker(const caller_limits& limits, utils::metric_registry& metrics)
    : m_limits(limits)
    , m_closingCounts(metrics, "camphorsaddle_callers_closed_total")
    , m_connectionGauge(metrics.addGauge("camphorsaddle_caller_connections"))
    , m_memoryGauge(metrics.addGauge("camphorsaddle_caller_request_bytes"))
{
}

std::uint64_t request_memory_tracker::addServer(std::function<void()> wake)
{
    const std::lock_guard lock(m_mutex);
    m_wakeFunctions[m_nextServer] = std::move(wake);
    return m_nextServer++;
}

void request_memory_tracker::removeServer(std::uint64_t server)
{
    const std::lock_guard lock(m_mutex);
    m_wakeFunctions.erase(server);
    m_closings.erase(server);
}

std::uint64_t request_memory_tracker::open(std::uint64_t server, const std::string& address, utils::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto id = m_nextConnection++;
    m_connections[id] = { server, { id, address, connection_stage::Unused, now, 0 }, false };
    ++m_openCount;
    const auto ofAddress = ++m_addressCounts[address];
    if (m_openCount > m_limits.connections || ofAddress > m_limits.connectionsPerAddress) {
        if (const auto closing = chooseForNewConnection(m_limits, openConnections(), id))
            schedule(*closing);
    }
    m_connectionGauge.set(static_cast<std::int64_t>(m_connections.size()));
    return id;
}

void request_memory_tracker::close(std::uint64_t connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    if (!found->second.isClosing) {
        m_heldBytes -= found->second.state.heldBytes;
        --m_openCount;
        if (const auto count = m_addressCounts.find(found->second.state.address); --count->second == 0)
            m_addressCounts.erase(count);
    }
    m_connections.erase(found);
    m_connectionGauge.set(static_cast<std::int64_t>(m_connections.size()));
    m_memoryGauge.set(static_cast<std::int64_t>(m_heldBytes));
}

bool request_memory_tracker::setStage(std::uint64_t connection, connection_stage stage, utils::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.isClosing)
        return false;
    auto& state = found->second.state;
    if (state.stage != connection_stage::ReceivingHeaders || stage != connection_stage::ReceivingBody)
        state.since = now;
    state.stage = stage;
    return true;
}

void request_memory_tracker::setHeldBytes(std::uint64_t connection, std::uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.isClosing)
        return;
    auto& held = found->second.state.heldBytes;
    m_heldBytes = m_heldBytes - held + bytes;
    held = bytes;
    if (m_heldBytes > m_limits.memoryBytes) {
        for (const auto& closing : chooseForMemory(m_limits, openConnections()))
            schedule(closing);
    }
    m_memoryGauge.set(static_cast<std::int64_t>(m_heldBytes));
}

void request_memory_tracker::checkTimes(std::uint64_t server, utils::time_point now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& closing : chooseLate(m_limits, openConnections(server), now))
        schedule(closing);
}

void request_memory_tracker::countClosing(std::uint64_t connection, closing_reason reason)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(connection);
    if (found != m_connections.end() && !found->second.isClosing)
        markClosing(found->second, reason);
}

void request_memory_tracker::countRefusal(closing_reason reason)
{
    const std::lock_guard lock(m_mutex);
    m_closingCounts.count(reason);
    ++m_unreported[static_cast<std::size_t>(reason)];
}

std::vector<connection_closing> request_memory_tracker::takeClosings(std::uint64_t server)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_closings.find(server);
    return found == m_closings.end() ? std::vector<connection_closing>() : std::exchange(found->second, {});
}

std::optional<request_memory_tracker::closing_counts> request_memory_tracker::takeReport(utils::time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_unreported == closing_counts {} || (m_reportedAt && now < *m_reportedAt + reportInterval))
        return std::nullopt;
    m_reportedAt = now;
    return std::exchange(m_unreported, {});
}

std::vector<connection_state> request_memory_tracker::openConnections(std::optional<std::uint64_t> server) const
{
    std::vector<connection_state> states;
    states.reserve(m_connections.size());
    for (const auto& [id, connection] : m_connections) {
        if (!connection.isClosing && (!server || connection.server == *server))
            states.push_back(connection.state);
    }
    return states;
}

void request_memory_tracker::schedule(const connection_closing& closing)
{
    auto& connection = m_connections.at(closing.id);
    markClosing(connection, closing.reason);
    m_closings[connection.server].push_back(closing);
    if (const auto wake = m_wakeFunctions.find(connection.server); wake != m_wakeFunctions.end())
        wake->second();
}

void request_memory_tracker::markClosing(tracked_connection& connection, closing_reason reason)
{
    connection.isClosing = true;
    m_heldBytes -= connection.state.heldBytes;
    connection.state.heldBytes = 0;
    --m_openCount;
    if (const auto count = m_addressCounts.find(connection.state.address); --count->second == 0)
        m_addressCounts.erase(count);
    m_closingCounts.count(reason);
    ++m_unreported[static_cast<std::size_t>(reason)];
}

} // namespace camphorsaddle::transport
