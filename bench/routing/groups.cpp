#include "bench/figure.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "bench/routing/simulation.h"

namespace camphorsaddle::bench {

namespace {

    const std::vector<double> halfOfLoadToOneGateway { 6, 1, 1, 1, 1, 1, 1 };
    const std::vector<double> sevenfoldLoadToOneGateway { 7, 1, 1, 1, 1, 1, 1 };

    figure atMost(const std::string& name, const std::string& unit, double value, double bound, const std::string& baseline)
    {
        return { "requests", name, unit, absl::StrCat("<= ", bound), baseline, value, value <= bound, "bench/figures --only routing, seed 1" };
    }

    figure atLeast(const std::string& name, const std::string& unit, double value, double bound, const std::string& baseline)
    {
        return { "requests", name, unit, absl::StrCat(">= ", bound), baseline, value, value >= bound, "bench/figures --only routing, seed 1" };
    }

    figure withoutTarget(const std::string& name, const std::string& unit, double value)
    {
        return { "requests", name, unit, {}, {}, value, true, "bench/figures --only routing, seed 1" };
    }

    std::string nameOf(slot_sharing sharing)
    {
        switch (sharing) {
        case slot_sharing::Equal:
            return "equal shares";
        case slot_sharing::Subsets:
            return "fixed subsets";
        case slot_sharing::Unrestricted:
            return "unrestricted";
        default:
            return "keepers";
        }
    }

    run_result runUneven(slot_sharing sharing, const std::vector<double>& gatewayShares, utils::microseconds delay)
    {
        scenario uneven;
        uneven.sharing = sharing;
        uneven.gatewayShares = gatewayShares;
        uneven.peerDelay = delay;
        return simulate(uneven);
    }

    std::vector<figure> measureSharing()
    {
        std::vector<figure> figures;
        for (const auto delay : { utils::microseconds(500), utils::microseconds(12000) }) {
            const std::string suffix = absl::StrFormat(", %.1f ms", static_cast<double>(delay.count()) / 1000);
            const auto even = runUneven(slot_sharing::Allocators, {}, delay);
            figures.push_back(withoutTarget("even load: p99 of renewals" + suffix, "ms", even.p99Milliseconds));
            for (const auto& [load, gatewayShares] : { std::pair(std::string("half to one gateway"), halfOfLoadToOneGateway), std::pair(std::string("seven times the others"), sevenfoldLoadToOneGateway) }) {
                std::string others;
                for (const auto sharing : { slot_sharing::Equal, slot_sharing::Subsets, slot_sharing::Unrestricted }) {
                    const auto other = runUneven(sharing, gatewayShares, delay);
                    absl::StrAppend(&others, others.empty() ? "" : "; ", nameOf(sharing), absl::StrFormat(" %.2f in time %.1f%% overfilled %.2f%%", other.p99Milliseconds / even.p99Milliseconds, 100 * other.renewalsInTimeShare, 100 * other.overfilledShare));
                }
                const auto current = runUneven(slot_sharing::Allocators, gatewayShares, delay);
                figures.push_back(atMost(absl::StrCat(load, ": p99 to even load", suffix), "ratio", current.p99Milliseconds / even.p99Milliseconds, 1.25, others));
                figures.push_back(atMost(absl::StrCat(load, ": sends over a minion's slots", suffix), "share", current.overfilledShare, 0, {}));
                figures.push_back(withoutTarget(absl::StrCat(load, ": renewals in time", suffix), "share", current.renewalsInTimeShare));
                figures.push_back(withoutTarget(absl::StrCat(load, ": messages", suffix), "per request", current.messagesPerRequest));
            }
        }
        return figures;
    }

    run_result runSlow(double slowMinionFactor, minion_selection selection)
    {
        scenario slow;
        slow.load = 0.6;
        slow.slowMinionFactor = slowMinionFactor;
        slow.selection = selection;
        if (selection != minion_selection::Routed)
            slow.sharing = slot_sharing::Unrestricted;
        return simulate(slow);
    }

    std::vector<figure> measureFaults()
    {
        std::vector<figure> figures;
        const auto healthy = runSlow(1, minion_selection::Routed);
        const auto slow = runSlow(10, minion_selection::Routed);
        const auto roundRobin = runSlow(10, minion_selection::RoundRobin);
        const auto random = runSlow(10, minion_selection::Random);
        figures.push_back(atMost("one slow minion: p99 to healthy", "ratio", slow.p99Milliseconds / healthy.p99Milliseconds, 1.5,
            absl::StrFormat("round robin %.2f, in time %.1f%%; random %.2f, in time %.1f%%", roundRobin.p99Milliseconds / healthy.p99Milliseconds, 100 * roundRobin.renewalsInTimeShare, random.p99Milliseconds / healthy.p99Milliseconds, 100 * random.renewalsInTimeShare)));
        figures.push_back(atLeast("one slow minion: renewals in time", "share", slow.renewalsInTimeShare, 0.99, absl::StrFormat("round robin %.4f; random %.4f", roundRobin.renewalsInTimeShare, random.renewalsInTimeShare)));
        scenario failing;
        failing.load = 0.6;
        failing.failingMinionCount = 5;
        const auto withFailures = simulate(failing);
        failing.selection = minion_selection::RoundRobin;
        failing.sharing = slot_sharing::Unrestricted;
        const auto withFailuresBaseline = simulate(failing);
        const std::string baseline = absl::StrFormat("round robin: not run %.0f, unknown %.0f", withFailuresBaseline.notRun, withFailuresBaseline.unknown);
        figures.push_back(atMost("a tenth dies: requests without an answer", "requests", withFailures.unanswered, 0, {}));
        figures.push_back(atMost("a tenth dies: non-repeatable requests run twice", "requests", withFailures.requestsRunTwice, 0, {}));
        figures.push_back(withoutTarget("a tenth dies: told not run", "requests", withFailures.notRun));
        figures.push_back(withoutTarget("a tenth dies: told unknown", "requests", withFailures.unknown));
        figures.back().baseline = baseline;
        figures.push_back(atLeast("a tenth dies: renewals in time", "share", withFailures.renewalsInTimeShare, 0.99, absl::StrFormat("round robin %.4f", withFailuresBaseline.renewalsInTimeShare)));
        return figures;
    }

    std::vector<figure> measureOutage()
    {
        scenario outage;
        outage.hasOutage = true;
        const auto current = simulate(outage);
        outage.retryBudget = 0;
        const auto baseline = simulate(outage);
        return { atMost("all fail: sends", "per request", current.sentAttemptsPerRequestInOutage, 1.1, absl::StrFormat("no budget %.2f", baseline.sentAttemptsPerRequestInOutage)),
            atLeast("all fail: answers in the second second after it to load", "share", current.recoveredShare, 0.95, absl::StrFormat("no budget %.3f", baseline.recoveredShare)) };
    }

    std::vector<figure> measureOverload()
    {
        scenario overload;
        overload.load = 2;
        overload.renewalShare = 0.4;
        overload.duration = utils::seconds(14);
        const auto current = simulate(overload);
        overload.sharing = slot_sharing::Unrestricted;
        overload.selection = minion_selection::RoundRobin;
        const auto baseline = simulate(overload);
        return { atLeast("load twice the capacity: goodput", "share of capacity", current.goodput, 0.9, absl::StrFormat("round robin %.3f", baseline.goodput)),
            atLeast("load twice the capacity: renewals in time", "share", current.renewalsInTimeShare, 0.99, absl::StrFormat("round robin %.3f", baseline.renewalsInTimeShare)),
            atLeast("load twice the capacity: reviews answered", "share of capacity", current.reviewGoodput, 0.05, absl::StrFormat("round robin %.3f", baseline.reviewGoodput)) };
    }

} // namespace

std::vector<figure_group> routingFigureGroups()
{
    return { { "routing sharing", measureSharing }, { "routing faults", measureFaults }, { "routing outage", measureOutage }, { "routing overload", measureOverload } };
}

} // namespace camphorsaddle::bench
