#include "settings/process_settings.h"

#include <algorithm>
#include <set>

#include "settings/process_keys.h"

namespace camphorsaddle::settings {

namespace {

    constexpr std::size_t maximumDataCentres = 64;

    std::vector<data_centre_settings> readDataCentres(const json& object, error_collector& errors)
    {
        const json* list = findValue(object, dataCentresPath);
        if (!list) {
            errors.add(dataCentresPath, nullptr, "required key is missing");
            return {};
        }
        if (!list->is_array() || list->empty() || list->size() > maximumDataCentres) {
            errors.add(dataCentresPath, list, absl::StrCat("must be a list of 1 to ", maximumDataCentres, " objects"));
            return {};
        }
        std::vector<data_centre_settings> result;
        for (const json& item : *list) {
            const std::string path = absl::StrCat(dataCentresPath, ".", result.size());
            data_centre_settings& read = result.emplace_back();
            if (item.is_object())
                readKeys(item, path, dataCentreKeys(), {}, read, errors);
            else
                errors.add(path, &item, "must be an object");
        }
        return result;
    }

    void checkDataCentres(const process_settings& value, error_collector& errors)
    {
        std::set<std::string> names;
        for (const data_centre_settings& dataCentre : value.cluster.dataCentres) {
            const json name = dataCentre.name;
            if (!names.insert(dataCentre.name).second)
                errors.add(dataCentresPath, &name, "is stated twice");
        }
        const auto isOwn = [&](const data_centre_settings& candidate) {
            return candidate.name == value.dataCentre;
        };
        const auto own = std::find_if(value.cluster.dataCentres.begin(), value.cluster.dataCentres.end(), isOwn);
        const json name = value.dataCentre;
        const json region = value.region;
        if (own == value.cluster.dataCentres.end())
            errors.add("data_centre", &name, "must be one of cluster.data_centres");
        else if (own->region != value.region)
            errors.add("region", &region, absl::StrCat("must be ", own->region, ", which cluster.data_centres states for ", value.dataCentre));
    }

    void checkTimes(const cluster_settings& cluster, error_collector& errors)
    {
        const json interval = cluster.renewalInterval.count();
        if (cluster.renewalInterval >= cluster.workerLeaseDuration)
            errors.add("cluster.renewal_interval_ms", &interval, absl::StrCat("must be below cluster.worker_lease_ms, ", cluster.workerLeaseDuration.count(), " ms"));
        const json horizon = cluster.renewalHorizon.count();
        if (cluster.renewalHorizon < cluster.workerLeaseDuration)
            errors.add("cluster.renewal_horizon_ms", &horizon, absl::StrCat("must be at least cluster.worker_lease_ms, ", cluster.workerLeaseDuration.count(), " ms"));
        const json heartbeat = cluster.heartbeatInterval.count();
        if (cluster.heartbeatInterval >= cluster.leaseDuration)
            errors.add("cluster.heartbeat_interval_ms", &heartbeat, absl::StrCat("must be below cluster.lease_term_ms, ", cluster.leaseDuration.count(), " ms"));
    }

    void checkPorts(const process_settings& value, error_collector& errors)
    {
        const json administration = value.administration.port;
        if (value.administration.port == value.gateway.port)
            errors.add("administration.port", &administration, "must differ from gateway.port");
        const json peer = value.peer.port;
        if (value.peer.port == value.gateway.port || value.peer.port == value.administration.port)
            errors.add("peer.port", &peer, "must differ from gateway.port and administration.port");
    }

} // namespace

process_settings_result readProcessSettings(absl::string_view text, absl::string_view file)
{
    error_collector errors(file);
    process_settings_result result;
    const std::optional<json> object = parseObject(text, errors);
    if (object) {
        readKeys(*object, "", processKeys(), { std::string(dataCentresPath) }, result.value, errors);
        result.value.cluster.dataCentres = readDataCentres(*object, errors);
    }
    result.errors = errors.take();
    if (!result.errors.empty())
        return result;
    checkDataCentres(result.value, errors);
    checkTimes(result.value.cluster, errors);
    checkPorts(result.value, errors);
    result.errors = errors.take();
    return result;
}

absl::StatusOr<process_settings> parseProcessSettings(absl::string_view text, absl::string_view file)
{
    process_settings_result result = readProcessSettings(text, file);
    if (!result.errors.empty())
        return toStatus(result.errors, "read settings", file);
    return std::move(result.value);
}

std::string renderProcessSettings(const process_settings& value)
{
    json object = renderKeys(processKeys(), value);
    json list = json::array();
    for (const data_centre_settings& dataCentre : value.cluster.dataCentres)
        list.push_back(renderKeys(dataCentreKeys(), dataCentre));
    setValue(object, dataCentresPath, std::move(list));
    return object.dump(4, ' ', false, json::error_handler_t::replace);
}

} // namespace camphorsaddle::settings
