#include "settings/configuration_parser.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "settings/configuration_keys.h"
#include "utils/errors.h"

namespace camphorsaddle::settings {

namespace {

    constexpr absl::string_view tokenHashPrefix = "$argon2id$";

    template <typename T>
    std::map<std::string, T> readSection(const json& object, absl::string_view section, const key_table<T>& keys, error_collector& errors)
    {
        std::map<std::string, T> result;
        const json* entries = findValue(object, section);
        if (!entries)
            return result;
        if (!entries->is_object()) {
            errors.add(section, entries, "must be an object");
            return result;
        }
        for (const auto& [name, entry] : entries->items()) {
            const std::string path = joinPath(section, name);
            const std::string message = nameError(name);
            if (!message.empty())
                errors.add(path, nullptr, message);
            else if (!entry.is_object())
                errors.add(path, &entry, "must be an object");
            else
                readKeys(entry, path, keys, {}, result[name], errors);
        }
        return result;
    }

    template <typename T>
    json renderSection(const std::map<std::string, T>& entries, const key_table<T>& keys)
    {
        json object = json::object();
        for (const auto& [name, entry] : entries)
            object[name] = renderKeys(keys, entry);
        return object;
    }

    void checkServices(const model::configuration& value, error_collector& errors)
    {
        for (const auto& [name, service] : value.services) {
            const std::string path = joinPath(servicesSection, name);
            const json target = service.latencyTarget.count();
            if (service.latencyTarget > service.deadline)
                errors.add(joinPath(path, "latency_target_ms"), &target, absl::StrCat("must be at most deadline_ms, ", service.deadline.count(), " ms"));
            const json hedging = service.hedging;
            if (service.hedging && !service.repeatable)
                errors.add(joinPath(path, "hedging"), &hedging, "requires repeatable to be true");
            const json spread = service.spread;
            if (service.replicas > 0 && service.spread > service.replicas)
                errors.add(joinPath(path, "spread"), &spread, absl::StrCat("must be at most replicas, ", service.replicas));
        }
    }

    void checkTokens(const model::configuration& value, error_collector& errors)
    {
        std::map<std::string, std::string> teamsByHash;
        for (const auto& [name, team] : value.teams) {
            const std::string path = absl::StrCat(teamsSection, ".", name, ".token_hashes");
            for (const std::string& hash : team.tokenHashes) {
                const json displayedValue = hash;
                if (!absl::StartsWith(hash, tokenHashPrefix))
                    errors.add(path, nullptr, absl::StrCat("every hash must start with ", tokenHashPrefix));
                const auto [existing, isNew] = teamsByHash.emplace(hash, name);
                if (!isNew)
                    errors.add(path, &displayedValue, absl::StrCat("is also a token hash of team ", existing->second));
            }
        }
    }

    //! Reports quotas that are too small for a task of any batch kind: such a team could never run a job.
    void checkQuotas(const model::configuration& value, error_collector& errors)
    {
        if (value.batchKinds.empty())
            return;
        for (const auto& [name, team] : value.teams) {
            const model::resources& quota = team.quota;
            const auto fits = [&](const auto& kind) {
                return kind.second.size.fitsIn(quota);
            };
            if (std::any_of(value.batchKinds.begin(), value.batchKinds.end(), fits))
                continue;
            const json displayedValue = { { "processors_milli", quota.processors }, { "memory_mib", quota.memory }, { "accelerators", quota.accelerators } };
            errors.add(absl::StrCat(teamsSection, ".", name, ".quota"), &displayedValue, "must be large enough for a task of at least one batch kind");
        }
    }

    void checkWeights(const model::configuration& value, error_collector& errors)
    {
        const model::objective_weights& weights = value.weights;
        if (weights.tail + weights.throughput + weights.evictions <= 0)
            errors.add("weights", nullptr, "at least one weight must be greater than 0");
    }

    configuration_result readObject(const json& object, absl::string_view file)
    {
        error_collector errors(file);
        configuration_result result;
        const std::vector<std::string> sections { std::string(servicesSection), std::string(batchKindsSection), std::string(teamsSection) };
        readKeys(object, "", configurationKeys(), sections, result.value, errors);
        result.value.services = readSection(object, servicesSection, serviceKeys(), errors);
        result.value.batchKinds = readSection(object, batchKindsSection, batchKindKeys(), errors);
        result.value.teams = readSection(object, teamsSection, teamKeys(), errors);
        result.errors = errors.takeErrors();
        if (!result.errors.empty())
            return result;
        checkServices(result.value, errors);
        checkTokens(result.value, errors);
        checkQuotas(result.value, errors);
        checkWeights(result.value, errors);
        result.errors = errors.takeErrors();
        return result;
    }

    bool isSectionName(absl::string_view name)
    {
        return name == servicesSection || name == batchKindsSection || name == teamsSection;
    }

    void checkNulls(const json& value, const std::string& path, error_collector& errors)
    {
        if (value.is_null())
            errors.add(path, &value, "null is only allowed to remove an entry of services, batch_kinds or teams");
        if (!value.is_object())
            return;
        for (const auto& [name, member] : value.items())
            checkNulls(member, joinPath(path, name), errors);
    }

    //! Reports nulls in the overlay that don't remove an existing entry of a section of the base.
    void checkNullEntries(const json& base, const json& overlay, error_collector& errors)
    {
        for (const auto& [section, value] : overlay.items()) {
            if (!isSectionName(section) || !value.is_object()) {
                checkNulls(value, section, errors);
                continue;
            }
            for (const auto& [name, entry] : value.items()) {
                const std::string path = joinPath(section, name);
                const auto entries = base.find(section);
                const bool isInBase = entries != base.end() && entries->is_object() && entries->contains(name);
                if (!entry.is_null())
                    checkNulls(entry, path, errors);
                else if (!isInBase)
                    errors.add(path, &entry, "removes an entry that does not exist in the base");
            }
        }
    }

    bool isBlank(absl::string_view text)
    {
        return absl::StripAsciiWhitespace(text).empty();
    }

    json applyMergePatch(json base, const json& overlay)
    {
        base.merge_patch(overlay);
        return base;
    }

    //! Parses \a base merged with \a overlay; errors that are in \a baseErrors are not reported again.
    configuration_result readWithOverlay(const json& base, const std::vector<setting_error>& baseErrors, const named_document& overlay)
    {
        error_collector errors(overlay.name);
        const std::optional<json> object = isBlank(overlay.text) ? json::object() : parseObject(overlay.text, errors);
        configuration_result result;
        if (object) {
            checkNullEntries(base, *object, errors);
            result = readObject(applyMergePatch(base, *object), overlay.name);
        }
        const auto isKnown = [&](const setting_error& error) {
            return std::any_of(baseErrors.begin(), baseErrors.end(), [&](const setting_error& known) {
                return known.key == error.key && known.value == error.value && known.message == error.message;
            });
        };
        std::erase_if(result.errors, isKnown);
        const std::vector<setting_error> parseErrors = errors.takeErrors();
        result.errors.insert(result.errors.begin(), parseErrors.begin(), parseErrors.end());
        return result;
    }

} // namespace

absl::StatusOr<std::string> mergeOverlay(absl::string_view base, absl::string_view overlay)
{
    error_collector baseErrors("base");
    error_collector overlayErrors("overlay");
    const std::optional<json> baseObject = parseObject(base, baseErrors);
    const std::optional<json> overlayObject = parseObject(overlay, overlayErrors);
    std::vector<setting_error> errors = baseErrors.takeErrors();
    for (setting_error& error : overlayErrors.takeErrors())
        errors.push_back(std::move(error));
    if (!errors.empty())
        return toStatus(errors, "merge configuration", "overlay");
    return applyMergePatch(*baseObject, *overlayObject).dump(4, ' ', false, json::error_handler_t::replace);
}

configuration_result readConfiguration(absl::string_view text, absl::string_view file)
{
    error_collector errors(file);
    const std::optional<json> object = parseObject(text, errors);
    configuration_result result;
    if (object)
        result = readObject(*object, file);
    const std::vector<setting_error> parseErrors = errors.takeErrors();
    result.errors.insert(result.errors.begin(), parseErrors.begin(), parseErrors.end());
    return result;
}

absl::StatusOr<model::configuration> parseConfiguration(const named_document& base, const named_document& overlay)
{
    error_collector errors(base.name);
    const std::optional<json> object = parseObject(base.text, errors);
    const std::vector<setting_error> parseErrors = errors.takeErrors();
    if (!parseErrors.empty())
        return toStatus(parseErrors, "read configuration", base.name);
    configuration_result result = readWithOverlay(*object, {}, overlay);
    if (!result.errors.empty())
        return toStatus(result.errors, "read configuration", overlay.name);
    return std::move(result.value);
}

std::vector<setting_error> checkConfiguration(const named_document& base, const std::vector<named_document>& overlays)
{
    error_collector collector(base.name);
    const std::optional<json> object = parseObject(base.text, collector);
    std::vector<setting_error> errors = collector.takeErrors();
    if (object) {
        const std::vector<setting_error> read = readObject(*object, base.name).errors;
        errors.insert(errors.end(), read.begin(), read.end());
    }
    const std::vector<setting_error> baseErrors = errors;
    for (const named_document& overlay : overlays) {
        if (object) {
            const std::vector<setting_error> merged = readWithOverlay(*object, baseErrors, overlay).errors;
            errors.insert(errors.end(), merged.begin(), merged.end());
        } else if (!isBlank(overlay.text)) {
            error_collector overlayErrors(overlay.name);
            parseObject(overlay.text, overlayErrors);
            const std::vector<setting_error> parseErrors = overlayErrors.takeErrors();
            errors.insert(errors.end(), parseErrors.begin(), parseErrors.end());
        }
    }
    return errors;
}

std::string renderConfiguration(const model::configuration& value)
{
    json object = renderKeys(configurationKeys(), value);
    object[std::string(servicesSection)] = renderSection(value.services, serviceKeys());
    object[std::string(batchKindsSection)] = renderSection(value.batchKinds, batchKindKeys());
    object[std::string(teamsSection)] = renderSection(value.teams, teamKeys());
    return object.dump(4, ' ', false, json::error_handler_t::replace);
}

} // namespace camphorsaddle::settings
