#include "utils/metrics.h"

#include <set>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::utils {

distribution::distribution(double low, double high, unsigned bins)
    : m_bins(std::tuple(axis_type(bins, low, high)), storage_type())
{
}

void distribution::record(double value)
{
    m_bins(value);
    double sum = m_sum.load(std::memory_order_relaxed);
    while (!m_sum.compare_exchange_weak(sum, sum + value, std::memory_order_relaxed)) { }
}

double distribution::quantile(double share) const
{
    const std::uint64_t total = count();
    if (total == 0)
        return 0;
    const auto targetCount = static_cast<double>(total) * share;
    double cumulativeCount = 0;
    const auto& axis = m_bins.axis(0);
    for (int index = -1; index <= axis.size(); ++index) {
        cumulativeCount += static_cast<double>(m_bins.at(index).load());
        if (cumulativeCount >= targetCount)
            return index < 0 ? axis.value(0) : axis.value(std::min(index + 1, axis.size()));
    }
    return axis.value(axis.size());
}

std::uint64_t distribution::count() const
{
    std::uint64_t total = 0;
    for (int index = -1; index <= m_bins.axis(0).size(); ++index)
        total += m_bins.at(index).load();
    return total;
}

double distribution::sum() const
{
    return m_sum.load(std::memory_order_relaxed);
}

std::string distribution::render(absl::string_view name) const
{
    std::string text;
    std::uint64_t cumulativeCount = 0;
    const auto& axis = m_bins.axis(0);
    for (int index = -1; index < axis.size(); ++index) {
        cumulativeCount += m_bins.at(index).load();
        absl::StrAppend(&text, name, "_bucket{le=\"", axis.value(index + 1), "\"} ", cumulativeCount, "\n");
    }
    const std::uint64_t total = cumulativeCount + m_bins.at(axis.size()).load();
    absl::StrAppend(&text, name, "_bucket{le=\"+Inf\"} ", total, "\n");
    absl::StrAppend(&text, name, "_sum ", sum(), "\n", name, "_count ", total, "\n");
    return text;
}

metric_registry::entry* metric_registry::find(absl::string_view name, absl::string_view labels)
{
    for (auto& metric : m_entries) {
        if (metric.name == name && metric.labels == labels)
            return &metric;
    }
    return nullptr;
}

counter& metric_registry::addCounter(std::string name, std::string labels)
{
    const std::lock_guard lock(m_mutex);
    if (auto* existing = find(name, labels))
        return *existing->count;
    m_entries.push_back({ std::move(name), std::move(labels), std::make_unique<counter>(), nullptr, nullptr });
    return *m_entries.back().count;
}

gauge& metric_registry::addGauge(std::string name, std::string labels)
{
    const std::lock_guard lock(m_mutex);
    if (auto* existing = find(name, labels))
        return *existing->level;
    m_entries.push_back({ std::move(name), std::move(labels), nullptr, std::make_unique<gauge>(), nullptr });
    return *m_entries.back().level;
}

distribution& metric_registry::addDistribution(std::string name, double low, double high, unsigned bins)
{
    const std::lock_guard lock(m_mutex);
    if (auto* existing = find(name, {}))
        return *existing->values;
    m_entries.push_back({ std::move(name), {}, nullptr, nullptr, std::make_unique<distribution>(low, high, bins) });
    return *m_entries.back().values;
}

std::string metric_registry::render() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    std::set<absl::string_view> declaredNames;
    for (const auto& metric : m_entries) {
        const absl::string_view kind = metric.count ? "counter" : metric.level ? "gauge"
                                                                               : "histogram";
        if (declaredNames.insert(metric.name).second)
            absl::StrAppend(&text, "# TYPE ", metric.name, " ", kind, "\n");
        if (metric.values) {
            text += metric.values->render(metric.name);
            continue;
        }
        absl::StrAppend(&text, metric.name);
        if (!metric.labels.empty())
            absl::StrAppend(&text, "{", metric.labels, "}");
        if (metric.count)
            absl::StrAppend(&text, " ", metric.count->value(), "\n");
        else
            absl::StrAppend(&text, " ", metric.level->value(), "\n");
    }
    return text;
}

} // namespace camphorsaddle::utils
