#include "jobs/relay_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr double minimumWeight = 0.001;
    // A relay calls each of its workers a few times a second.
    constexpr std::size_t workersPerRelay = 40;
    // Bounds the share of a small data centre's workers that a lost relay leaves without orders until it is noticed.
    constexpr std::size_t minimumRelays = 4;

    using rank = std::pair<bool, double>;

    //! The rank of a relay for the workers that \a key stands for; the highest one is chosen.
    rank rankOf(const relay_daemon& candidate, const std::string& key, const std::string& dataCentre)
    {
        // The negative of an exponential variate whose rate is the weight. The highest value wins with a probability in
        // proportion to the weight.
        const auto hash = utils::stableHash(absl::StrCat(key, "@", candidate.endpoint));
        const double uniform = (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(std::uint64_t(1) << 53);
        return { candidate.dataCentre == dataCentre, std::log(uniform) / std::max(candidate.weight, minimumWeight) };
    }

} // namespace

std::optional<relay_daemon> chooseRelay(const std::vector<relay_daemon>& relays, const std::string& worker, const std::string& dataCentre)
{
    if (relays.empty())
        return std::nullopt;
    return *std::ranges::max_element(relays, {}, [&](const relay_daemon& candidate) { return rankOf(candidate, worker, dataCentre); });
}

std::vector<relay_daemon> selectRelays(std::vector<relay_daemon> relays, std::size_t workerCount, const std::string& dataCentre)
{
    const auto count = std::min(relays.size(), std::max(minimumRelays, (workerCount + workersPerRelay - 1) / workersPerRelay));
    std::ranges::sort(relays, std::greater(), [&](const relay_daemon& candidate) { return rankOf(candidate, dataCentre, dataCentre); });
    relays.resize(count);
    return relays;
}

} // namespace camphorsaddle::jobs
