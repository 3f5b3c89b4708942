#include "standins/standin.h"

#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::standins {

namespace {
    using nlohmann::json;

    constexpr int workerCountPerRack = 8;

    host_description describeHost(const json& dataCentre, absl::string_view suffix, int rack, std::uint16_t port)
    {
        host_description result;
        result.port = port;
        result.host.url = absl::StrCat("http://127.0.0.1:", port);
        result.host.dataCentre = dataCentre.at("name");
        result.host.id = absl::StrCat(result.host.dataCentre, "-", suffix);
        result.host.rack = absl::StrCat(result.host.dataCentre, "-r", rack);
        return result;
    }

    host_description describeWorker(const json& dataCentre, int index, std::uint16_t port)
    {
        const auto& capacity = dataCentre.at("workers").at("capacity");
        const auto& services = dataCentre.at("services");
        auto result = describeHost(dataCentre, absl::StrCat("w", index), index / workerCountPerRack, port);
        result.host.capacity = { capacity.at("processors"), capacity.at("memory"), capacity.at("accelerators") };
        if (!services.empty())
            result.reportedService = services[index % services.size()].at("name");
        return result;
    }

    host_description describeMinion(const json& dataCentre, const json& service, int index, std::uint16_t port)
    {
        const std::string name = service.at("name");
        auto result = describeHost(dataCentre, absl::StrCat(name, "-m", index), 0, port);
        result.host.role = model::host_role::Minion;
        result.host.service = name;
        result.host.slots = service.value("slots", 8);
        result.host.connections = service.value("connections", 64);
        result.meanServiceTime = utils::milliseconds(service.value("mean_ms", 10));
        result.isLognormal = service.value("distribution", "lognormal") == "lognormal";
        return result;
    }

} // namespace

absl::StatusOr<std::vector<host_description>> parseFleet(absl::string_view text, std::uint16_t firstMinionPort, std::uint16_t firstWorkerPort)
{
    try {
        const auto document = json::parse(text.begin(), text.end());
        std::vector<host_description> result;
        for (const auto& dataCentre : document.at("data_centres")) {
            for (int i = 0; i < dataCentre.at("workers").at("count").get<int>(); ++i)
                result.push_back(describeWorker(dataCentre, i, firstWorkerPort++));
            for (const auto& service : dataCentre.at("services")) {
                for (int i = 0; i < service.at("minions").get<int>(); ++i)
                    result.push_back(describeMinion(dataCentre, service, i, firstMinionPort++));
            }
        }
        std::uint64_t seed = document.value("seed", std::uint64_t { 1 });
        for (auto& host : result)
            host.seed = seed++;
        return result;
    } catch (const json::exception& error) {
        return utils::makeError(absl::StatusCode::kInvalidArgument, "parse fleet", "", error.what());
    }
}

} // namespace camphorsaddle::standins
