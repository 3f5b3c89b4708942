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
    const auto rank = [&](const relay_daemon& candidate) {
        // The negative of an exponential variate whose rate is the weight. The highest value wins with a probability in
        // proportion to the weight.
        const auto hash = utils::stableHash(absl::StrCat(worker, "@", candidate.endpoint));
        const double uniform = (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(std::uint64_t(1) << 53);
        return std::pair(candidate.dataCentre == dataCentre, std::log(uniform) / std::max(candidate.weight, minimumWeight));
    };
    return *std::ranges::max_element(relays, {}, rank);
}

} // namespace camphorsaddle::jobs
