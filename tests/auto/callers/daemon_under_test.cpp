#include "callers/daemon_under_test.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::callers {

nlohmann::json platformSettings(const daemon_traits& traits)
{
    return {
        { "NodeName", traits.name }, { "Zone", "z" }, { "Ip", traits.ip }, { "HeartbeatMs", 2000 },
        { "BindAddrs", { { "Front", absl::StrCat(traits.ip, ":", traits.frontPort) }, { "Readiness", absl::StrCat(traits.ip, ":", readinessPort) } } },
        { "PortRange", { 7000, 7010 } }, { "platform", { { "Address", traits.storeAddress }, { "TtlMinMs", 1000 } } },
        { "Limits", { { "CpuShare", 0.1 }, { "MemoryMb", traits.memoryMegabytes }, { "MaxFds", traits.descriptors } } },
        { "Bounds", { { "GraceS", 6 }, { "ConfigApplyMs", 2500 }, { "MaxHoldMs", 10000 }, { "StopMs", 400 }, { "ContactMs", 4000 }, { "DrainMs", 2500 }, { "cancel_ms", 3000 }, { "status_s", 120 } } }
    };
}

std::size_t descriptorCount(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(absl::StrCat("/proc/", process, "/fd"), error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t peakMemoryKilobytes(pid_t process)
{
    std::ifstream status(absl::StrCat("/proc/", process, "/status"));
    for (std::string name; status >> name;) {
        std::size_t value = 0;
        if (name == "VmHWM:" && status >> value)
            return value;
    }
    return 0;
}

} // namespace camphorsaddle::callers
