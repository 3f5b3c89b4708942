#include "jobs/serving_zone.h"

#include <algorithm>
#include <tuple>

namespace camphorsaddle::jobs {

std::set<std::string> chooseSensitiveZone(std::vector<zone_worker> workers, const std::set<std::string>& present, double fill)
{
    std::int64_t needed = 0;
    for (const auto& worker : workers)
        needed += worker.sensitive;
    const auto rank = [&](const zone_worker& worker) {
        const double share = static_cast<double>(worker.sensitive) / static_cast<double>(std::max<std::int64_t>(worker.capacity, 1));
        return std::tuple(!present.contains(worker.id), -share, worker.id);
    };
    std::ranges::sort(workers, {}, rank);
    std::set<std::string> zone;
    for (const auto& worker : workers) {
        if (needed <= 0)
            break;
        zone.insert(worker.id);
        needed -= static_cast<std::int64_t>(fill * static_cast<double>(worker.capacity));
    }
    return zone;
}

} // namespace camphorsaddle::jobs
