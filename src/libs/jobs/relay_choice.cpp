#include "jobs/relay_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr double minimumWeight = 0.001;
    // A relay calls each of its workers a few times a second.
    constexpr std::size_t workersPerRelay = 40;
    // Bounds the share of a small data centre's workers that a lost relay leaves without orders until it is noticed.
    constexpr std::size_t minimumRelays = 4;

    // The negative of an exponential variate whose rate is the weight. The highest value wins with a probability in proportion
    // to the weight.
    double rankOf(const relay_daemon& candidate, const std::string& key)
    {
        const auto hash = utils::stableHash(absl::StrCat(key, "@", candidate.endpoint));
        const double uniform = (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(std::uint64_t(1) << 53);
        return std::log(uniform) / std::max(candidate.weight, minimumWeight);
    }

} // namespace

std::optional<relay_daemon> chooseRelay(const std::vector<relay_daemon>& relays, const std::string& worker, const std::string& dataCentre)
{
    if (relays.empty())
        return std::nullopt;
    const auto isNear = [&](const relay_daemon& candidate) {
        return candidate.dataCentre == dataCentre;
    };
    const bool hasNearRelay = std::ranges::any_of(relays, isNear);
    const relay_daemon* best = nullptr;
    double bestRank = 0;
    for (const auto& candidate : relays) {
        if (hasNearRelay && !isNear(candidate))
            continue;
        const double candidateRank = rankOf(candidate, worker);
        if (best == nullptr || candidateRank > bestRank) {
            best = &candidate;
            bestRank = candidateRank;
        }
    }
    return *best;
}

std::vector<relay_daemon> selectRelays(const std::vector<relay_daemon>& relays, std::size_t workerCount, const std::string& dataCentre)
{
    std::vector<std::tuple<bool, double, const relay_daemon*>> ranked;
    ranked.reserve(relays.size());
    for (const auto& relay : relays)
        ranked.emplace_back(relay.dataCentre == dataCentre, rankOf(relay, dataCentre), &relay);
    std::ranges::sort(ranked, std::greater());
    ranked.resize(std::min(relays.size(), std::max(minimumRelays, (workerCount + workersPerRelay - 1) / workersPerRelay)));
    std::vector<relay_daemon> selected;
    selected.reserve(ranked.size());
    for (const auto& entry : ranked)
        selected.push_back(*std::get<2>(entry));
    return selected;
}

} // namespace camphorsaddle::jobs
