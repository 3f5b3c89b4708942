#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include <boost/histogram.hpp>

namespace camphorsaddle::utils {

//! \brief A counter; may be incremented from any thread.
class counter {
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

//! \brief A gauge; may be set from any thread.
class gauge {
public:
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

//! \brief Histogram of positive values with logarithmic bins; thread-safe.
class distribution {
public:
    //! Values less than \a low go to the underflow bin, values of at least \a high to the overflow bin.
    distribution(double low, double high, unsigned bins);

    void record(double value);

    //! \brief Upper edge of the bin that contains the quantile \a share (0 to 1); 0 when there are no values.
    double quantile(double share) const;

    std::uint64_t count() const;
    double sum() const;

    //! \brief Renders the histogram as Prometheus text under \a name.
    std::string render(absl::string_view name) const;

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage_type = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;
    boost::histogram::histogram<std::tuple<axis_type>, storage_type> m_bins;
    std::atomic<double> m_sum { 0 };
};

//! \brief Owns the metrics of a process and renders them as Prometheus text.
//!
//! Adding a metric again with the same name and labels returns the existing one.
class metric_registry {
public:
    //! \a labels is the text between the braces, for example reason="deadline".
    counter& addCounter(std::string name, std::string labels = {});
    gauge& addGauge(std::string name, std::string labels = {});
    distribution& addDistribution(std::string name, double low, double high, unsigned bins);

    std::string render() const;

private:
    struct entry {
        std::string name;
        std::string labels;
        std::unique_ptr<counter> count;
        std::unique_ptr<gauge> level;
        std::unique_ptr<distribution> values;
    };

    entry* find(absl::string_view name, absl::string_view labels);

    mutable std::mutex m_mutex;
    std::vector<entry> m_entries;
};

//! \brief One counter for each value of a reason enum.
//!
//! The values of the enum must be consecutive from 0; toString(reason) is found by argument-dependent lookup.
template <typename Reason, std::size_t Count>
class reason_counters {
public:
    reason_counters(metric_registry& registry, absl::string_view name)
    {
        for (std::size_t index = 0; index < Count; ++index) {
            const std::string labels = "reason=\"" + std::string(toString(static_cast<Reason>(index))) + "\"";
            m_counters[index] = &registry.addCounter(std::string(name), labels);
        }
    }

    void count(Reason reason, std::uint64_t amount = 1)
    {
        m_counters[static_cast<std::size_t>(reason)]->add(amount);
    }

    std::uint64_t value(Reason reason) const
    {
        return m_counters[static_cast<std::size_t>(reason)]->value();
    }

private:
    std::array<counter*, Count> m_counters {};
};

} // namespace camphorsaddle::utils
