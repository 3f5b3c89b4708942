#include "absl/strings/str_cat.h"
#include "bench/figure.h"
#include "bench/state/journal_model.h"

namespace camphorsaddle::bench {

namespace {

    constexpr double mostWrites = 200;
    constexpr double mostReads = 200;
    constexpr double mostBytes = 22;
    constexpr double mostRecoveryReads = 2000;
    constexpr double bytesInKilobyte = 1000;
    constexpr utils::seconds warmUp { 60 };
    constexpr utils::seconds measured { 300 };

    const std::string repeatCommand = "build/bench/figures --only journal";

    figure atMost(std::string name, std::string unit, double bound, std::string baseline, double value)
    {
        return { "state", std::move(name), std::move(unit), absl::StrCat("<= ", bound), std::move(baseline), value, value <= bound, repeatCommand };
    }

    figure shown(std::string name, std::string unit, double value, bool isWhole = true)
    {
        return { "state", std::move(name), std::move(unit), "", "", value, isWhole, repeatCommand };
    }

    struct steady_rates {
        double writes = 0;
        double reads = 0;
        double kilobytes = 0;
    };

    steady_rates steady(journal_model& model, const journal_model_settings& settings)
    {
        model.run(warmUp);
        const auto before = model.spent();
        model.run(measured);
        const auto after = model.spent();
        const auto seconds = static_cast<double>(measured.count());
        return { static_cast<double>(after.writes - before.writes) / seconds, static_cast<double>(after.reads - before.reads) / seconds,
            static_cast<double>(after.writtenBytes - before.writtenBytes) / seconds / bytesInKilobyte / static_cast<double>(settings.daemons) };
    }

    std::vector<figure> measureJournal()
    {
        journal_model_settings small;
        small.ring = 64;
        journal_model earlier(small);
        const auto base = steady(earlier, small);

        const journal_model_settings settings;
        journal_model model(settings);
        const auto rates = steady(model, settings);
        const auto baseline = [](double value) {
            return absl::StrCat("ring of 64: ", value);
        };
        std::vector<figure> result {
            atMost("journal: store writes, 28 shards, 90 starts/s", "1/s", mostWrites, baseline(base.writes), rates.writes),
            atMost("journal: store reads, steady state", "1/s", mostReads, baseline(base.reads), rates.reads),
            atMost("journal: bytes written per daemon", "KB/s", mostBytes, baseline(base.kilobytes), rates.kilobytes),
            shown("journal: snapshot bytes of a task", "B", static_cast<double>(model_shard::taskBytes())),
        };
        for (const std::size_t count : { 1U, 4U, 28U }) {
            const auto taken = model.takeOver(count);
            const std::string of = absl::StrCat("journal: takeover of ", count, ", ");
            result.push_back(shown(absl::StrCat(of, "until all are open"), "s", taken.seconds, taken.isWhole));
            result.push_back(shown(absl::StrCat(of, "entries replayed"), "", static_cast<double>(taken.entries)));
            result.push_back(shown(absl::StrCat(of, "read"), "KB", static_cast<double>(taken.cost.readBytes) / bytesInKilobyte));
            result.push_back(atMost(absl::StrCat(of, "reads in all"), "", mostRecoveryReads, "", static_cast<double>(taken.cost.reads)));
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
