#include "absl/strings/str_cat.h"
#include "bench/figure.h"
#include "bench/state/journal_model.h"

namespace camphorsaddle::bench {

namespace {

    constexpr double maximumWritesPerSecond = 200;
    constexpr double maximumReadsPerSecond = 200;
    constexpr double maximumKilobytesPerSecond = 22;
    constexpr double maximumRecoveryReads = 2000;
    constexpr double bytesInKilobyte = 1000;
    constexpr utils::seconds warmUp { 60 };
    constexpr utils::seconds measuredTime { 300 };

    const std::string repeatCommand = "build/bench/figures --only journal";

    figure boundedFigure(std::string name, std::string unit, double bound, std::string baseline, double value)
    {
        return { "state", std::move(name), std::move(unit), absl::StrCat("<= ", bound), std::move(baseline), value, value <= bound, repeatCommand };
    }

    figure unboundedFigure(std::string name, std::string unit, double value, bool isComplete = true)
    {
        return { "state", std::move(name), std::move(unit), "", "", value, isComplete, repeatCommand };
    }

    struct steady_rates {
        double writes = 0;
        double reads = 0;
        double kilobytes = 0;
    };

    steady_rates measureSteadyState(journal_model& model, const journal_model_settings& settings)
    {
        model.run(warmUp);
        const auto before = model.storeTraffic();
        model.run(measuredTime);
        const auto after = model.storeTraffic();
        const auto seconds = static_cast<double>(measuredTime.count());
        return { static_cast<double>(after.writes - before.writes) / seconds, static_cast<double>(after.reads - before.reads) / seconds,
            static_cast<double>(after.writtenBytes - before.writtenBytes) / seconds / bytesInKilobyte / static_cast<double>(settings.daemons) };
    }

    std::vector<figure> measureJournal()
    {
        journal_model_settings smallSettings;
        smallSettings.slotCount = 64;
        journal_model smallModel(smallSettings);
        const auto smallRates = measureSteadyState(smallModel, smallSettings);

        const journal_model_settings settings;
        journal_model model(settings);
        const auto rates = measureSteadyState(model, settings);
        const auto baseline = [](double value) {
            return absl::StrCat("ring of 64: ", value);
        };
        std::vector<figure> result {
            boundedFigure("journal: store writes, 28 shards, 90 starts/s", "1/s", maximumWritesPerSecond, baseline(smallRates.writes), rates.writes),
            boundedFigure("journal: store reads, steady state", "1/s", maximumReadsPerSecond, baseline(smallRates.reads), rates.reads),
            boundedFigure("journal: bytes written per daemon", "KB/s", maximumKilobytesPerSecond, baseline(smallRates.kilobytes), rates.kilobytes),
            unboundedFigure("journal: snapshot bytes of a task", "B", static_cast<double>(model_shard::taskBytes())),
        };
        for (const std::size_t count : { 1U, 4U, 28U }) {
            const auto takeover = model.takeOver(count);
            const std::string prefix = absl::StrCat("journal: takeover of ", count, ", ");
            result.push_back(unboundedFigure(absl::StrCat(prefix, "until all are open"), "s", takeover.seconds, takeover.isComplete));
            result.push_back(unboundedFigure(absl::StrCat(prefix, "entries replayed"), "", static_cast<double>(takeover.entries)));
            result.push_back(unboundedFigure(absl::StrCat(prefix, "read"), "KB", static_cast<double>(takeover.traffic.readBytes) / bytesInKilobyte));
            result.push_back(boundedFigure(absl::StrCat(prefix, "reads in all"), "", maximumRecoveryReads, "", static_cast<double>(takeover.traffic.reads)));
            model.run(warmUp);
        }
        return result;
    }

} // namespace

std::vector<figure_group> stateFigureGroups()
{
    return { { "journal", measureJournal } };
}

} // namespace camphorsaddle::bench
