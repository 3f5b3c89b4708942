#include "transport/caller_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace camphorsaddle::transport {

namespace {

    // A quarter for requests and a quarter for the headers of connections leave half of the memory to the scheduler's own state.
    constexpr std::uint64_t memoryShares = 4;
    // The platform reserves this number for files.
    constexpr std::uint64_t fileDescriptors = 200;
    // Half of the other descriptors is kept for the store, the other daemons and the workers, some thousand on the largest fleet.
    constexpr std::uint64_t descriptorShares = 2;
    // Leaves connections to other callers if one address opens too many. It is small, since many callers may share a load balancer.
    constexpr std::size_t otherAddressesShares = 8;
    constexpr std::uint64_t minimumConnections = 16;

} // namespace

caller_limits deriveCallerLimits(const host_resources& resources)
{
    const auto files = std::min(fileDescriptors, resources.descriptors / 2);
    const auto byDescriptors = (resources.descriptors - files) / descriptorShares;
    const auto byMemory = resources.memoryBytes / memoryShares / connectionMemory;
    caller_limits limits;
    limits.memoryBytes = resources.memoryBytes / memoryShares;
    limits.connections = static_cast<std::size_t>(std::max(minimumConnections, std::min(byDescriptors, byMemory)));
    limits.connectionsPerAddress = deriveConnectionsPerAddress(limits.connections);
    return limits;
}

std::size_t deriveConnectionsPerAddress(std::size_t connections)
{
    return connections - connections / otherAddressesShares;
}

host_resources readHostResources()
{
    rlimit descriptors {};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    return { static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)), descriptors.rlim_cur };
}

} // namespace camphorsaddle::transport
