#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "bench/configuration/deployment_model.h"
#include "bench/figure.h"

namespace camphorsaddle::bench {

namespace {

    using configuration::edit_outcome_type;

    constexpr std::uint64_t modelSeed = 20261204;
    constexpr std::size_t daemonCount = 7;
    constexpr int changeCount = 200;
    constexpr int raceCount = 1000;
    constexpr double changesPerDay = 2600;
    constexpr double maximumPropagationSeconds = 9;

    const std::string repeatCommand = "build/bench/figures --only configuration";

    enum class fault {
        None,
        StalledWatch,
        PausedDaemon,
        SlowStore,
        StoreDownAfterChange,
    };

    figure makeFigure(std::string name, std::string unit, std::string target, std::string baseline, double value, bool meetsTarget)
    {
        return { "state", std::move(name), std::move(unit), std::move(target), std::move(baseline), value, meetsTarget, repeatCommand };
    }

    void submitWithFault(deployment_model& model, fault kind, int round)
    {
        const auto faulty = static_cast<std::size_t>(round + 3) % daemonCount;
        if (kind == fault::StalledWatch) {
            for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
                model.setWatchStalled(daemon, daemon == faulty);
        }
        if (kind == fault::PausedDaemon)
            model.pauseDaemon(faulty, utils::seconds(5));
        if (kind == fault::SlowStore)
            model.setStoreDelay(utils::seconds(2));
        model.submitOverlayEdit(static_cast<std::size_t>(round) % daemonCount, static_cast<std::size_t>(round) % daemonCount, 3 + round / 7 % 3);
    }

    // Seconds from the operator's submission until all daemons have activated the change, sorted; at least 1e9 if the edit was
    // not accepted or a daemon has not activated it.
    std::vector<double> measurePropagationDelays(fault kind)
    {
        deployment_model model(daemonCount, modelSeed);
        std::vector<double> delays;
        for (int round = 0; round < changeCount; ++round) {
            const auto begin = model.now();
            const auto first = model.submissions().size();
            submitWithFault(model, kind, round);
            if (kind == fault::StoreDownAfterChange) {
                while (!model.submissions()[first].hasEnded)
                    model.run(utils::milliseconds(1));
                model.startStoreOutage(utils::seconds(15));
            }
            model.run(utils::seconds(20));
            const auto& submission = model.submissions()[first];
            double worst = submission.hasEnded && submission.outcome.type == edit_outcome_type::Accepted ? 0 : 1e9;
            for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
                const auto since = model.activeSince(daemon, submission.outcome.revision);
                worst = std::max(worst, since == utils::time_point::max() ? 1e9 : std::chrono::duration<double>(since - begin).count());
            }
            delays.push_back(worst);
        }
        std::sort(delays.begin(), delays.end());
        return delays;
    }

    std::vector<figure> measurePropagation()
    {
        const std::pair<fault, std::string> cases[] = {
            { fault::None, "no fault" },
            { fault::StalledWatch, "a silent watch on one daemon" },
            { fault::PausedDaemon, "one daemon paused for 5 s" },
            { fault::SlowStore, "store slow by 2 s" },
            { fault::StoreDownAfterChange, "store down once the change is accepted" },
        };
        std::vector<figure> figures;
        for (const auto& [kind, name] : cases) {
            const auto delays = measurePropagationDelays(kind);
            figures.push_back(makeFigure(absl::StrCat("change in force on all daemons, median, ", name), "s", "", "", delays[delays.size() / 2], true));
            figures.push_back(makeFigure(absl::StrCat("change in force on all daemons, worst, ", name), "s", "< 9", "", delays.back(), delays.back() < maximumPropagationSeconds));
        }
        return figures;
    }

    struct race_counts {
        double lost = 0;
        double duplicated = 0;
        double reverted = 0;
        double withoutOneWinner = 0;
    };

    // An accepted change is lost if it is not in the stored history, and duplicated if it is there more than once.
    race_counts countRaces(double replyLossRate)
    {
        deployment_model model(daemonCount, modelSeed);
        model.setLossRates(replyLossRate, 0);
        race_counts counts;
        for (int round = 0; round < raceCount; ++round) {
            const auto first = model.submissions().size();
            const auto& documents = model.activeRecord(0).documents;
            const auto found = documents.find("overlays/site-0");
            const std::uint64_t expected = found == documents.end() ? 0 : found->second.revision;
            for (int operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
                const auto text = absl::StrCat(R"({"services":{"renewals":{"replicas":)", 3 + (2 * round + operatorIndex) % 4, "}}}");
                model.submitEdit(static_cast<std::size_t>(round + operatorIndex) % daemonCount, { "overlays/site-0", text, expected, "operator", absl::StrCat("race-", round, "-", operatorIndex) });
            }
            model.run(utils::seconds(12));
            int acceptedCount = 0;
            for (std::size_t index = first; index < first + 2; ++index) {
                const auto& submission = model.submissions()[index];
                const auto times = std::count_if(model.stored().history.begin(), model.stored().history.end(), [&](const auto& change) { return change.changeId == submission.edit.changeId; });
                acceptedCount += static_cast<int>(times > 0);
                counts.duplicated += static_cast<double>(times > 1);
                counts.lost += static_cast<double>(submission.outcome.type == edit_outcome_type::Accepted && times == 0);
            }
            counts.withoutOneWinner += static_cast<double>(acceptedCount != 1);
        }
        counts.reverted = static_cast<double>(model.orderViolationCount());
        return counts;
    }

    std::vector<figure> measureRaces()
    {
        std::vector<figure> figures;
        for (const double share : { 0.0, 0.1 }) {
            const auto counts = countRaces(share);
            const auto name = absl::StrCat("1,000 races of two operators, ", share * 100, "% of store answers lost: ");
            figures.push_back(makeFigure(name + "lost", "changes", "0", "", counts.lost, counts.lost == 0));
            figures.push_back(makeFigure(name + "doubled", "changes", "0", "", counts.duplicated, counts.duplicated == 0));
            figures.push_back(makeFigure(name + "reverted", "records", "0", "", counts.reverted, counts.reverted == 0));
            figures.push_back(makeFigure(name + "without exactly one winner", "races", "", "", counts.withoutOneWinner, true));
        }
        return figures;
    }

    std::vector<figure> measureTraffic()
    {
        deployment_model model(daemonCount, modelSeed);
        // Fills the history first, so that the record has its final size.
        for (int round = 0; round < 2 * changeCount; ++round) {
            submitWithFault(model, fault::None, round);
            model.run(utils::seconds(5));
        }
        const auto before = model.totalTraffic();
        const auto begin = model.now();
        for (int round = 0; round < changeCount; ++round) {
            submitWithFault(model, fault::None, round);
            model.run(utils::milliseconds(static_cast<int>(86400000 / changesPerDay)));
        }
        const auto after = model.totalTraffic();
        const double elapsedSeconds = std::chrono::duration<double>(model.now() - begin).count();
        const auto peers = static_cast<double>(after.peerBytes - before.peerBytes);
        const auto store = static_cast<double>(after.storeBytes - before.storeBytes);
        const auto reads = static_cast<double>(after.storeReads - before.storeReads);
        return {
            makeFigure("record of 8 documents and 200 edits", "B", "", "", static_cast<double>(settings::formatRecord(model.stored()).size()), true),
            makeFigure("bytes between daemons a change, 7 daemons", "B", "", "", peers / changeCount, true),
            makeFigure("bytes from and to the store a change, 7 daemons, at 2,600 changes a day", "B", "", "", store / changeCount, true),
            makeFigure("configuration bytes a daemon at 2,600 changes a day", "B/s", "", "", (peers + store) / elapsedSeconds / daemonCount, true),
            makeFigure("configuration reads of the store, all 7 daemons", "1/s", "< 2", "", reads / elapsedSeconds, reads / elapsedSeconds < 2),
        };
    }

} // namespace

std::vector<figure_group> configurationFigureGroups()
{
    return {
        { "configuration spread", measurePropagation },
        { "configuration races", measureRaces },
        { "configuration traffic", measureTraffic },
    };
}

} // namespace camphorsaddle::bench
