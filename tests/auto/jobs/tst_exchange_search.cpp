#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "jobs/exchange_search.h"
#include "jobs/job_state.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;

namespace {

constexpr double minimumGain = 0.03;
constexpr double tolerance = 1e-9;

//! Workers with random service tasks, a third of them with a free place.
struct random_fleet {
    blocked_demand_model model;
    std::vector<std::vector<image_index>> antagonists;
    std::vector<std::unique_ptr<worker_state>> workers;
    std::vector<std::unique_ptr<run_state>> runs;
    std::vector<service_place> places;

    random_fleet(unsigned workerCount, unsigned serviceImages, unsigned bestEffortImages, unsigned seed)
    {
        std::mt19937_64 random(seed);
        std::vector<double> demand;
        for (unsigned image = 0; image < bestEffortImages; ++image)
            demand.push_back(static_cast<double>(random() % 10));
        model.setDemand(demand);
        for (unsigned image = 0; image < serviceImages; ++image) {
            auto& row = antagonists.emplace_back();
            for (image_index antagonist = 0; antagonist < bestEffortImages; ++antagonist) {
                if (random() % 4 == 0)
                    row.push_back(antagonist);
            }
        }
        for (unsigned number = 0; number < workerCount; ++number) {
            auto& worker = *workers.emplace_back(std::make_unique<worker_state>());
            if (number % 3 == 0)
                places.push_back({ &worker, nullptr });
            for (unsigned task = 0; task < 4; ++task) {
                auto& run = *runs.emplace_back(std::make_unique<run_state>());
                run.image = static_cast<image_index>(random() % serviceImages);
                addBlockers(worker.blockerCounts, antagonists[run.image]);
                places.push_back({ &worker, &run });
            }
        }
    }

    const std::vector<image_index>& antagonistsOf(const service_place& place) const
    {
        static const std::vector<image_index> none;
        return place.run == nullptr ? none : antagonists[place.run->image];
    }

    //! Demand that the exchange unblocks beyond the minimum.
    double valueOf(const service_place& left, const service_place& right) const
    {
        const double gain = model.gainOfSwapping(left.worker->blockerCounts, antagonistsOf(left), right.worker->blockerCounts, antagonistsOf(right));
        return gain - (left.run != nullptr ? minimumGain : 0) - (right.run != nullptr ? minimumGain : 0);
    }

    double bestValue() const
    {
        double best = 0;
        for (const auto& left : places) {
            for (const auto& right : places) {
                if (left.worker != right.worker)
                    best = std::max(best, valueOf(left, right));
            }
        }
        return best;
    }

    exchange_search search() const
    {
        exchange_search result(model, minimumGain);
        for (const auto& place : places)
            result.addPlace(place, place.worker->blockerCounts, antagonistsOf(place));
        return result;
    }
};

struct fleet_size {
    const char* name;
    unsigned workers;
    unsigned serviceImages;
    unsigned bestEffortImages;
};

} // namespace

class exchange_of_places : public testing::TestWithParam<fleet_size> {
protected:
    static constexpr unsigned seedCount = 20;

    static random_fleet fleet(unsigned seed)
    {
        return random_fleet(GetParam().workers, GetParam().serviceImages, GetParam().bestEffortImages, seed);
    }
};

INSTANTIATE_TEST_SUITE_P(Fleets, exchange_of_places,
    testing::Values(fleet_size { "TwoImages", 10, 2, 2 }, fleet_size { "ManyImages", 40, 16, 30 }, fleet_size { "OneWorker", 1, 16, 30 }, fleet_size { "HarmlessTasks", 10, 4, 0 }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(exchange_of_places, OffersTheBestOfAllPairsFirst)
{
    for (unsigned seed = 0; seed < seedCount; ++seed) {
        const auto fleet = this->fleet(seed);
        auto search = fleet.search();
        double value = 0;
        search.offerExchanges([&](const service_place& left, const service_place& right) {
            value = fleet.valueOf(left, right);
            return exchange_outcome::Finished;
        });
        EXPECT_NEAR(value, fleet.bestValue(), tolerance) << "seed " << seed;
    }
}

TEST_P(exchange_of_places, OffersWorthwhileExchangesOfDifferentWorkers)
{
    for (unsigned seed = 0; seed < seedCount; ++seed) {
        const auto fleet = this->fleet(seed);
        auto search = fleet.search();
        std::set<const worker_state*> exchanged;
        search.offerExchanges([&](const service_place& left, const service_place& right) {
            EXPECT_GT(fleet.valueOf(left, right), -tolerance) << "seed " << seed;
            EXPECT_TRUE(exchanged.insert(left.worker).second) << "seed " << seed;
            EXPECT_TRUE(exchanged.insert(right.worker).second) << "seed " << seed;
            return exchange_outcome::Exchanged;
        });
    }
}

// Pairs that don't fit, for example for lack of resources, cost a bounded number of evaluations.
TEST_P(exchange_of_places, EndsWhenNoPairIsSuitable)
{
    const auto fleet = this->fleet(0);
    auto search = fleet.search();
    search.offerExchanges([](const service_place&, const service_place&) { return exchange_outcome::Unsuitable; });
    constexpr std::uint64_t triesOfAPair = 128;
    const std::uint64_t classes = GetParam().serviceImages + 1;
    EXPECT_LE(search.evaluations(), fleet.places.size() * classes + classes * classes / 2 * triesOfAPair);
}
