#include "tasks/coordinator/evacuation_report.h"

#include <algorithm>
#include <chrono>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds updateInterval { 1000 };
    // The registry keeps each metric, and a request may name anything.
    constexpr std::size_t maximumDataCentres = 64;

    std::int64_t toSeconds(utils::milliseconds duration)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
    }

} // namespace

evacuation_report::evacuation_report(utils::metric_registry& registry)
    : m_registry(registry)
{
}

evacuation_report::data_centre_gauges* evacuation_report::gaugesOf(const std::string& dataCentre)
{
    if (const auto known = m_gauges.find(dataCentre); known != m_gauges.end())
        return &known->second;
    if (m_gauges.size() >= maximumDataCentres)
        return nullptr;
    const auto label = absl::StrCat("data_centre=\"", absl::StrReplaceAll(dataCentre, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } }), "\"");
    const auto tasks = [&](const char* kind) -> utils::gauge& {
        return m_registry.addGauge("camphorsaddle_evacuation_tasks", absl::StrCat(label, ",kind=\"", kind, "\""));
    };
    return &m_gauges.try_emplace(dataCentre, data_centre_gauges { m_registry.addGauge("camphorsaddle_evacuation_requested", label), m_registry.addGauge("camphorsaddle_evacuation_known_seconds", label), m_registry.addGauge("camphorsaddle_evacuation_workers", label), tasks("service"), tasks("batch"), tasks("best_effort"), m_registry.addGauge("camphorsaddle_evacuation_empty_seconds", label) }).first->second;
}

void evacuation_report::update(const std::vector<jobs::evacuation_status>& statuses, utils::time_point now)
{
    if (now < m_nextUpdateAt)
        return;
    m_nextUpdateAt = now + updateInterval;
    const auto show = [](data_centre_gauges& gauges, bool isRequested, const jobs::evacuation_status& status) {
        gauges.requested.set(isRequested ? 1 : 0);
        gauges.knownSeconds.set(toSeconds(status.knownFor));
        gauges.workers.set(static_cast<std::int64_t>(status.remainder.workers));
        gauges.services.set(static_cast<std::int64_t>(status.remainder.services));
        gauges.batch.set(static_cast<std::int64_t>(status.remainder.batch));
        gauges.bestEffort.set(static_cast<std::int64_t>(status.remainder.bestEffort));
        gauges.emptySeconds.set(status.emptyFor ? toSeconds(*status.emptyFor) : -1);
    };
    for (auto& known : m_gauges) {
        if (std::ranges::none_of(statuses, [&](const auto& status) { return status.dataCentre == known.first; }))
            show(known.second, false, {});
    }
    for (const auto& status : statuses) {
        if (auto* gauges = gaugesOf(status.dataCentre))
            show(*gauges, true, status);
    }
}

} // namespace camphorsaddle::tasks
