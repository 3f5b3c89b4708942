#include <algorithm>

#include "absl/strings/str_cat.h"
#include "bench/figure.h"
#include "bench/placement/simulations.h"

namespace camphorsaddle::bench {

namespace {

    constexpr unsigned seed = 20261204;

    figure batchFigure(std::string name, std::string unit, std::string target, std::string baseline, double value, bool meetsTarget)
    {
        return { "batch", std::move(name), std::move(unit), std::move(target), std::move(baseline), value, meetsTarget, absl::StrCat("seed ", seed) };
    }

    std::vector<figure> measureQuotas()
    {
        const auto central = simulateCentralQuotas(seed);
        const auto chunks = simulateChunkedQuotas(seed);
        const auto homes = simulateHomeShardQuotas(seed);
        return {
            batchFigure("extra store writes per start, quotas at home shards (none by construction)", "writes", "<= 0.1", absl::StrCat("central document ", central.writesPerStart, ", chunks ", chunks.writesPerStart), homes.writesPerStart, homes.writesPerStart <= 0.1),
            batchFigure("refusals although quota was free", "%", "0", absl::StrCat("central document ", central.wrongRefusalShare * 100, ", chunks ", chunks.wrongRefusalShare * 100), homes.wrongRefusalShare * 100, homes.wrongRefusalShare <= 0),
        };
    }

    std::vector<figure> measureChoices()
    {
        const auto wasted = wastedStartShare(seed, true) * 100;
        const auto small = examinedWorkersPerDecision(50);
        const auto middle = examinedWorkersPerDecision(890);
        const auto large = examinedWorkersPerDecision(3560);
        return {
            batchFigure("starts wasted on one worker in 50 that fails all", "%", "<= 1", absl::StrCat("no quarantine ", wastedStartShare(seed, false) * 100), wasted, wasted <= 1),
            batchFigure("workers examined per decision at 3,560 equal workers", "workers", "sub-linear", absl::StrCat("50 workers ", small, ", 890 workers ", middle), large, large < 4 * middle && middle < 17.8 * small),
        };
    }

    std::vector<figure> measureUrgent()
    {
        const auto longest = std::max({ longestUrgentStartSeconds(seed), longestUrgentStartSeconds(seed + 100), longestUrgentStartSeconds(seed + 200) });
        return { batchFigure("longest start of urgent work in a full fleet, one owner changing, of 3 seeds", "s", "<= 7.6", "", longest, longest <= 7.6) };
    }

} // namespace

std::vector<figure_group> placementFigureGroups()
{
    return { { "batch quotas", measureQuotas }, { "batch choices", measureChoices }, { "batch urgent", measureUrgent } };
}

} // namespace camphorsaddle::bench
