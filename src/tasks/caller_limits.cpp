#include "tasks/caller_limits.h"

namespace camphorsaddle::tasks {

transport::caller_limits callerLimits(const settings::request_limits& limits, const transport::host_resources& host)
{
    auto result = transport::deriveCallerLimits(host);
    if (limits.requestMemoryBytes > 0)
        result.memoryBytes = static_cast<std::uint64_t>(limits.requestMemoryBytes);
    if (limits.maximumConnections > 0) {
        result.connections = static_cast<std::size_t>(limits.maximumConnections);
        result.connectionsPerAddress = transport::deriveConnectionsPerAddress(result.connections);
    }
    if (limits.maximumConnectionsPerAddress > 0)
        result.connectionsPerAddress = static_cast<std::size_t>(limits.maximumConnectionsPerAddress);
    result.headerTime = limits.headerTime;
    result.requestTime = limits.requestTime;
    return result;
}

} // namespace camphorsaddle::tasks
