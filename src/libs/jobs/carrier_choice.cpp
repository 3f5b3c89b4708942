#include "jobs/carrier_choice.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::jobs {

std::optional<carrier> chooseCarrier(const std::vector<carrier>& carriers, const std::string& worker, const std::string& dataCentre)
{
    if (carriers.empty())
        return std::nullopt;
    const auto rank = [&](const carrier& candidate) {
        return std::pair(candidate.dataCentre == dataCentre, utils::stableHash(absl::StrCat(worker, "@", candidate.endpoint)));
    };
    return *std::ranges::max_element(carriers, {}, rank);
}

} // namespace camphorsaddle::jobs
