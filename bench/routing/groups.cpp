#include "bench/figure.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "bench/routing/simulation.h"

namespace camphorsaddle::bench {

namespace {

    const std::vector<double> halfToOne { 6, 1, 1, 1, 1, 1, 1 };
    const std::vector<double> sevenTimes { 7, 1, 1, 1, 1, 1, 1 };

    figure atMost(const std::string& name, const std::string& unit, double value, double bound, const std::string& baseline)
    {
        return { "requests", name, unit, absl::StrCat("<= ", bound), baseline, value, value <= bound, "bench/figures --only routing, seed 1" };
    }

    figure atLeast(const std::string& name, const std::string& unit, double value, double bound, const std::string& baseline)
    {
        return { "requests", name, unit, absl::StrCat(">= ", bound), baseline, value, value >= bound, "bench/figures --only routing, seed 1" };
    }

    figure shown(const std::string& name, const std::string& unit, double value)
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

    run_result runUneven(slot_sharing sharing, const std::vector<double>& shares, utils::microseconds delay)
    {
        scenario uneven;
        uneven.sharing = sharing;
        uneven.shares = shares;
        uneven.peerDelay = delay;
        return simulate(uneven);
    }

    std::vector<figure> measureSharing()
    {
        std::vector<figure> figures;
        for (const auto delay : { utils::microseconds(500), utils::microseconds(12000) }) {
            const std::string suffix = absl::StrFormat(", %.1f ms", static_cast<double>(delay.count()) / 1000);
            const auto even = runUneven(slot_sharing::Keepers, {}, delay);
            figures.push_back(shown("even load: p99 of renewals" + suffix, "ms", even.p99));
            for (const auto& [load, shares] : { std::pair(std::string("half to one gateway"), halfToOne), std::pair(std::string("seven times the others"), sevenTimes) }) {
                std::string others;
                for (const auto sharing : { slot_sharing::Equal, slot_sharing::Subsets, slot_sharing::Unrestricted }) {
                    const auto other = runUneven(sharing, shares, delay);
                    absl::StrAppend(&others, others.empty() ? "" : "; ", nameOf(sharing), absl::StrFormat(" %.2f in time %.1f%% overfilled %.2f%%", other.p99 / even.p99, 100 * other.renewalsInTime, 100 * other.overfilled));
                }
                const auto own = runUneven(slot_sharing::Keepers, shares, delay);
                figures.push_back(atMost(absl::StrCat(load, ": p99 to even load", suffix), "ratio", own.p99 / even.p99, 1.25, others));
                figures.push_back(atMost(absl::StrCat(load, ": sends over a minion's slots", suffix), "share", own.overfilled, 0, {}));
                figures.push_back(shown(absl::StrCat(load, ": renewals in time", suffix), "share", own.renewalsInTime));
                figures.push_back(shown(absl::StrCat(load, ": messages", suffix), "per request", own.messages));
            }
        }
        return figures;
    }

    run_result runSlow(double slowness, minion_selection selection)
    {
        scenario slow;
        slow.load = 0.6;
        slow.slowness = slowness;
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
        figures.push_back(atMost("one slow minion: p99 to healthy", "ratio", slow.p99 / healthy.p99, 1.5,
            absl::StrFormat("round robin %.2f, in time %.1f%%; random %.2f, in time %.1f%%", roundRobin.p99 / healthy.p99, 100 * roundRobin.renewalsInTime, random.p99 / healthy.p99, 100 * random.renewalsInTime)));
        figures.push_back(atLeast("one slow minion: renewals in time", "share", slow.renewalsInTime, 0.99, absl::StrFormat("round robin %.4f; random %.4f", roundRobin.renewalsInTime, random.renewalsInTime)));
        scenario dying;
        dying.load = 0.6;
        dying.dying = 5;
        const auto died = simulate(dying);
        dying.selection = minion_selection::RoundRobin;
        dying.sharing = slot_sharing::Unrestricted;
        const auto diedPlain = simulate(dying);
        const std::string plain = absl::StrFormat("round robin: not run %.0f, unknown %.0f", diedPlain.notRun, diedPlain.unknown);
        figures.push_back(atMost("a tenth dies: requests without an answer", "requests", died.unanswered, 0, {}));
        figures.push_back(atMost("a tenth dies: non-repeatable requests run twice", "requests", died.doubled, 0, {}));
        figures.push_back(shown("a tenth dies: told not run", "requests", died.notRun));
        figures.push_back(shown("a tenth dies: told unknown", "requests", died.unknown));
        figures.back().baseline = plain;
        figures.push_back(atLeast("a tenth dies: renewals in time", "share", died.renewalsInTime, 0.99, absl::StrFormat("round robin %.4f", diedPlain.renewalsInTime)));
        return figures;
    }

    std::vector<figure> measureOutage()
    {
        scenario outage;
        outage.hasOutage = true;
        const auto own = simulate(outage);
        outage.retryBudget = 0;
        const auto plain = simulate(outage);
        return { atMost("all fail: sends", "per request", own.outageSends, 1.1, absl::StrFormat("no budget %.2f", plain.outageSends)),
            atLeast("all fail: answers in the second second after it to load", "share", own.recovery, 0.95, absl::StrFormat("no budget %.3f", plain.recovery)) };
    }

    std::vector<figure> measureOverload()
    {
        scenario overload;
        overload.load = 2;
        overload.renewals = 0.4;
        overload.end = utils::seconds(14);
        const auto own = simulate(overload);
        overload.sharing = slot_sharing::Unrestricted;
        overload.selection = minion_selection::RoundRobin;
        const auto plain = simulate(overload);
        return { atLeast("load twice the capacity: goodput", "share of capacity", own.goodput, 0.9, absl::StrFormat("round robin %.3f", plain.goodput)),
            atLeast("load twice the capacity: renewals in time", "share", own.renewalsInTime, 0.99, absl::StrFormat("round robin %.3f", plain.renewalsInTime)),
            atLeast("load twice the capacity: reviews answered", "share of capacity", own.patientGoodput, 0.05, absl::StrFormat("round robin %.3f", plain.patientGoodput)) };
    }

} // namespace

std::vector<figure_group> routingFigureGroups()
{
    return { { "routing sharing", measureSharing }, { "routing faults", measureFaults }, { "routing outage", measureOutage }, { "routing overload", measureOverload } };
}

} // namespace camphorsaddle::bench
