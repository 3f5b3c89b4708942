#include "jobs/carrier_choice.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr double leastWeight = 0.001;

} // namespace

std::optional<relay_daemon> chooseRelay(const std::vector<relay_daemon>& carriers, const std::string& worker, const std::string& dataCentre)
{
    if (carriers.empty())
        return std::nullopt;
    const auto rank = [&](const relay_daemon& candidate) {
        // An exponential variate with the weight as its rate: the least one wins in proportion to the weights.
        const auto hash = utils::stableHash(absl::StrCat(worker, "@", candidate.endpoint));
        const double uniform = (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(std::uint64_t(1) << 53);
        return std::pair(candidate.dataCentre == dataCentre, std::log(uniform) / std::max(candidate.weight, leastWeight));
    };
    return *std::ranges::max_element(carriers, {}, rank);
}

} // namespace camphorsaddle::jobs
