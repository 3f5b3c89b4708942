#include "bench/state/journal_model.h"

#include "gtest/gtest.h"

namespace camphorsaddle::bench {

namespace {

    TEST(journal_load, StoreTrafficStaysWithinLimitsInSteadyStateAndDuringTakeover)
    {
        const journal_model_settings settings;
        journal_model model(settings);
        model.run(utils::seconds(60));
        const auto before = model.storeTraffic();
        constexpr std::uint64_t seconds = 300;
        model.run(utils::seconds(seconds));
        const auto after = model.storeTraffic();
        EXPECT_LE((after.writes - before.writes) / seconds, 200U);
        EXPECT_LE((after.reads - before.reads) / seconds, 200U);
        EXPECT_LE((after.writtenBytes - before.writtenBytes) / seconds / settings.daemons, 22'000U);
        for (const std::size_t count : { 1U, 4U, 28U }) {
            const auto takeover = model.takeOver(count);
            EXPECT_TRUE(takeover.isComplete) << count;
            // The limit on the reads of a single second, applied to all reads of the takeover.
            EXPECT_LE(takeover.traffic.reads, 2000U) << count;
            model.run(utils::seconds(10));
        }
    }

} // namespace

} // namespace camphorsaddle::bench
