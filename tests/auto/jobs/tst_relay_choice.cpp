#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "jobs/relay_choice.h"

using namespace camphorsaddle::jobs;

namespace {

struct fleet_case {
    const char* name;
    int dataCentres;
    int relaysPerDataCentre;
    int workersPerDataCentre;
    std::size_t maximumUsedRelays;
};

std::string dataCentreName(int number)
{
    return "dc" + std::to_string(number);
}

std::vector<relay_daemon> relaysOf(const fleet_case& fleet)
{
    std::vector<relay_daemon> relays;
    for (int dataCentre = 0; dataCentre < fleet.dataCentres; ++dataCentre) {
        for (int number = 0; number < fleet.relaysPerDataCentre; ++number)
            relays.push_back({ dataCentreName(dataCentre) + "-" + std::to_string(number), dataCentreName(dataCentre), number % 3 == 0 ? 0.5 : 0.12 });
    }
    return relays;
}

//! The relay of each worker.
std::map<std::string, relay_daemon> assign(const std::vector<relay_daemon>& relays, const fleet_case& fleet)
{
    std::map<std::string, relay_daemon> assigned;
    for (int dataCentre = 0; dataCentre < fleet.dataCentres; ++dataCentre) {
        const auto name = dataCentreName(dataCentre);
        const auto selected = selectRelays(relays, static_cast<std::size_t>(fleet.workersPerDataCentre), name);
        for (int number = 0; number < fleet.workersPerDataCentre; ++number) {
            const auto worker = "worker-" + name + "-" + std::to_string(number);
            assigned[worker] = *chooseRelay(selected, worker, name);
        }
    }
    return assigned;
}

class relay_selection : public testing::TestWithParam<fleet_case> {
};

INSTANTIATE_TEST_SUITE_P(Fleets, relay_selection,
    testing::Values(fleet_case { "small", 3, 2, 16, 6 }, fleet_case { "oneRelay", 1, 1, 48, 1 }, fleet_case { "medium", 3, 12, 117, 12 }, fleet_case { "large", 6, 24, 183, 30 }),
    [](const auto& info) { return std::string(info.param.name); });

} // namespace

// With a relay for every seven workers, each order of a large fleet went out in a message of its own.
TEST_P(relay_selection, UsesFewRelaysInTheWorkersDataCentre)
{
    std::set<std::string> used;
    for (const auto& [worker, relay] : assign(relaysOf(GetParam()), GetParam())) {
        used.insert(relay.endpoint);
        EXPECT_NE(worker.find(relay.dataCentre), std::string::npos) << worker;
    }
    EXPECT_LE(used.size(), GetParam().maximumUsedRelays);
}

TEST_P(relay_selection, LossOfARelayReassignsOnlyItsWorkers)
{
    auto relays = relaysOf(GetParam());
    if (relays.size() < 2)
        return;
    const auto before = assign(relays, GetParam());
    const auto lost = before.begin()->second;
    std::erase(relays, lost);
    std::set<std::string> successors;
    std::size_t moved = 0;
    for (const auto& [worker, relay] : assign(relays, GetParam())) {
        if (before.at(worker) == lost)
            continue;
        // Of the others, only those move whose best choice is the relay that takes the lost one's place.
        if (before.at(worker) != relay) {
            successors.insert(relay.endpoint);
            ++moved;
        }
    }
    EXPECT_LE(successors.size(), 1u);
    EXPECT_LT(moved, before.size() / 2);
}

TEST(RelaySelection, OfNoRelaysIsEmpty)
{
    EXPECT_TRUE(selectRelays({}, 100, "dc0").empty());
}
