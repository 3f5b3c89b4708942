#include "jobs/relay_choice.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr double minimumWeight = 0.001;

} // namespace

std::optional<relay_daemon> chooseRelay(const std::vector<relay_daemon>& relays, const std::string& worker, const std::string& dataCentre)
{
    if (relays.empty())
        return std::nullopt;
    const auto isNear = [&](const relay_daemon& candidate) {
        return candidate.dataCentre == dataCentre;
    };
    const bool hasNearRelay = std::ranges::any_of(relays, isNear);
    const auto rank = [&](const relay_daemon& candidate) {
        // The negative of an exponential variate whose rate is the weight. The highest value wins with a probability in
        // proportion to the weight.
        const auto hash = utils::stableHash(absl::StrCat(worker, "@", candidate.endpoint));
        const double uniform = (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(std::uint64_t(1) << 53);
        return std::log(uniform) / std::max(candidate.weight, minimumWeight);
    };
    const relay_daemon* best = nullptr;
    double bestRank = 0;
    for (const auto& candidate : relays) {
        if (hasNearRelay && !isNear(candidate))
            continue;
        const double candidateRank = rank(candidate);
        if (best == nullptr || candidateRank > bestRank) {
            best = &candidate;
            bestRank = candidateRank;
        }
    }
    return *best;
}

} // namespace camphorsaddle::jobs
