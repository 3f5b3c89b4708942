#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "bench/configuration/deployment_model.h"
#include "bench/figure.h"

namespace camphorsaddle::bench {

namespace {

    using configuration::edit_end;

    constexpr std::uint64_t modelSeed = 20261204;
    constexpr std::size_t daemonCount = 7;
    constexpr int changeCount = 200;
    constexpr int raceCount = 1000;
    constexpr double changesPerDay = 2600;
    constexpr double worstTarget = 9;

    const std::string repeatCommand = "build/bench/figures --only configuration";

    enum class fault {
        None,
        SilentWatch,
        PausedDaemon,
        SlowStore,
        StoreDownAfterChange,
    };

    figure make(std::string name, std::string unit, std::string target, std::string baseline, double value, bool meetsTarget)
    {
        return { "state", std::move(name), std::move(unit), std::move(target), std::move(baseline), value, meetsTarget, repeatCommand };
    }

    void submitUnder(deployment_model& model, fault kind, int round)
    {
        const auto faulty = static_cast<std::size_t>(round + 3) % daemonCount;
        if (kind == fault::SilentWatch) {
            for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
                model.setSilentWatch(daemon, daemon == faulty);
        }
        if (kind == fault::PausedDaemon)
            model.pauseDaemon(faulty, utils::seconds(5));
        if (kind == fault::SlowStore)
            model.setStoreDelay(utils::seconds(2));
        model.submit(static_cast<std::size_t>(round) % daemonCount, static_cast<std::size_t>(round) % daemonCount, 3 + round / 7 % 3);
    }

    // Seconds from the operator's call until each daemon has the change; infinite when one never got it.
    std::vector<double> delaysUnder(fault kind)
    {
        deployment_model model(daemonCount, modelSeed);
        std::vector<double> delays;
        for (int round = 0; round < changeCount; ++round) {
            const auto begin = model.now();
            const auto first = model.submissions().size();
            submitUnder(model, kind, round);
            if (kind == fault::StoreDownAfterChange) {
                while (!model.submissions()[first].hasEnded)
                    model.run(utils::milliseconds(1));
                model.stopStore(utils::seconds(15));
            }
            model.run(utils::seconds(20));
            const auto& submission = model.submissions()[first];
            double worst = submission.hasEnded && submission.outcome.end == edit_end::Accepted ? 0 : 1e9;
            for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
                const auto since = model.inForceSince(daemon, submission.outcome.revision);
                worst = std::max(worst, since == utils::time_point::max() ? 1e9 : std::chrono::duration<double>(since - begin).count());
            }
            delays.push_back(worst);
        }
        std::sort(delays.begin(), delays.end());
        return delays;
    }

    std::vector<figure> measureSpread()
    {
        const std::pair<fault, std::string> cases[] = {
            { fault::None, "no fault" },
            { fault::SilentWatch, "a silent watch on one daemon" },
            { fault::PausedDaemon, "one daemon paused for 5 s" },
            { fault::SlowStore, "store slow by 2 s" },
            { fault::StoreDownAfterChange, "store down once the change is accepted" },
        };
        std::vector<figure> figures;
        for (const auto& [kind, name] : cases) {
            const auto delays = delaysUnder(kind);
            figures.push_back(make(absl::StrCat("change in force on all daemons, median, ", name), "s", "", "", delays[delays.size() / 2], true));
            figures.push_back(make(absl::StrCat("change in force on all daemons, worst, ", name), "s", "< 9", "", delays.back(), delays.back() < worstTarget));
        }
        return figures;
    }

    struct race_counts {
        double lost = 0;
        double doubled = 0;
        double reverted = 0;
        double withoutOneWinner = 0;
    };

    // An accepted change is lost when no stored record names it, doubled when two revisions do.
    race_counts countRaces(double lostAnswers)
    {
        deployment_model model(daemonCount, modelSeed);
        model.setLoss(lostAnswers, 0);
        race_counts counts;
        for (int round = 0; round < raceCount; ++round) {
            const auto first = model.submissions().size();
            const auto& documents = model.inForce(0).documents;
            const auto found = documents.find("overlays/site-0");
            const std::uint64_t expected = found == documents.end() ? 0 : found->second.revision;
            for (int racer = 0; racer < 2; ++racer) {
                const auto text = absl::StrCat(R"({"services":{"renewals":{"replicas":)", 3 + (2 * round + racer) % 4, "}}}");
                model.submitEdit(static_cast<std::size_t>(round + racer) % daemonCount, { "overlays/site-0", text, expected, "operator", absl::StrCat("race-", round, "-", racer) });
            }
            model.run(utils::seconds(12));
            int winners = 0;
            for (std::size_t index = first; index < first + 2; ++index) {
                const auto& submission = model.submissions()[index];
                const auto times = std::count_if(model.stored().history.begin(), model.stored().history.end(), [&](const auto& change) { return change.changeId == submission.edit.changeId; });
                winners += static_cast<int>(times > 0);
                counts.doubled += static_cast<double>(times > 1);
                counts.lost += static_cast<double>(submission.outcome.end == edit_end::Accepted && times == 0);
            }
            counts.withoutOneWinner += static_cast<double>(winners != 1);
        }
        counts.reverted = static_cast<double>(model.reversals());
        return counts;
    }

    std::vector<figure> measureRaces()
    {
        std::vector<figure> figures;
        for (const double share : { 0.0, 0.1 }) {
            const auto counts = countRaces(share);
            const auto name = absl::StrCat("1,000 races of two operators, ", share * 100, "% of store answers lost: ");
            figures.push_back(make(name + "lost", "changes", "0", "", counts.lost, counts.lost == 0));
            figures.push_back(make(name + "doubled", "changes", "0", "", counts.doubled, counts.doubled == 0));
            figures.push_back(make(name + "reverted", "records", "0", "", counts.reverted, counts.reverted == 0));
            figures.push_back(make(name + "without exactly one winner", "races", "", "", counts.withoutOneWinner, true));
        }
        return figures;
    }

    std::vector<figure> measureTraffic()
    {
        deployment_model model(daemonCount, modelSeed);
        // A full history first, so that the record has its lasting size.
        for (int round = 0; round < 2 * changeCount; ++round) {
            submitUnder(model, fault::None, round);
            model.run(utils::seconds(5));
        }
        const auto before = model.counted();
        const auto begin = model.now();
        for (int round = 0; round < changeCount; ++round) {
            submitUnder(model, fault::None, round);
            model.run(utils::milliseconds(static_cast<int>(86400000 / changesPerDay)));
        }
        const auto after = model.counted();
        const double span = std::chrono::duration<double>(model.now() - begin).count();
        const auto peers = static_cast<double>(after.peerBytes - before.peerBytes);
        const auto store = static_cast<double>(after.storeBytes - before.storeBytes);
        const auto reads = static_cast<double>(after.storeReads - before.storeReads);
        return {
            make("record of 8 documents and 200 edits", "B", "", "", static_cast<double>(settings::formatRecord(model.stored()).size()), true),
            make("bytes between daemons a change, 7 daemons", "B", "", "", peers / changeCount, true),
            make("bytes from and to the store a change, 7 daemons, at 2,600 changes a day", "B", "", "", store / changeCount, true),
            make("configuration bytes a daemon at 2,600 changes a day", "B/s", "", "", (peers + store) / span / daemonCount, true),
            make("configuration reads of the store, all 7 daemons", "1/s", "< 2", "", reads / span, reads / span < 2),
        };
    }

} // namespace

std::vector<figure_group> configurationFigureGroups()
{
    return {
        { "configuration spread", measureSpread },
        { "configuration races", measureRaces },
        { "configuration traffic", measureTraffic },
    };
}

} // namespace camphorsaddle::bench
