#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"

//! \brief Counts what becomes of the jobs of each queue, so that one can see whom an overload costs.
namespace camphorsaddle::jobs {

//! \brief Size of a job by its core-seconds, relative to the other jobs of its queue.
enum class size_group {
    LargestTenth,
    NextFifth,
    Rest,
};

inline constexpr std::size_t sizeGroupCount = 3;

constexpr absl::string_view toString(size_group group)
{
    constexpr absl::string_view names[sizeGroupCount] { "largest_tenth", "next_fifth", "rest" };
    return names[static_cast<std::size_t>(group)];
}

enum class job_outcome {
    Accepted,
    //! Refused by the leader's forecast.
    Refused,
    //! Completed by the deadline, or by three times the time allowed.
    InTime,
    Late,
    //! Failed, or completed later than that.
    NotServed,
};

inline constexpr std::size_t jobOutcomeCount = 5;

constexpr absl::string_view toString(job_outcome outcome)
{
    constexpr absl::string_view names[jobOutcomeCount] { "accepted", "refused", "in_time", "late", "not_served" };
    return names[static_cast<std::size_t>(outcome)];
}

//! \brief Learned bounds of the size groups of a queue.
struct size_bounds {
    //! Logarithms of the sizes that 70% and 90% of the jobs don't exceed; meaningless before the first job.
    double nextFifth = 0;
    double largestTenth = 0;
    std::uint64_t jobs = 0;

    auto operator<=>(const size_bounds&) const = default;
};

size_bounds updateSizeBounds(const size_bounds& known, double coreSeconds);
size_group groupOf(const size_bounds& bounds, double coreSeconds);

//! \brief Counters by queue, size group and outcome. Queues beyond a fixed number share one entry.
class job_outcomes {
public:
    using group_counts = std::array<std::array<std::uint64_t, jobOutcomeCount>, sizeGroupCount>;

    //! \brief Size group of a new job, from which the bounds are learned.
    size_group classify(const std::string& queue, double coreSeconds);
    void count(const std::string& queue, size_group group, job_outcome outcome);
    //! \brief Returns the counts since the last call, by queue.
    std::map<std::string, group_counts> take();

private:
    //! Name under which the queue is counted.
    const std::string& countedName(const std::string& queue);

    std::map<std::string, size_bounds> m_bounds;
    std::map<std::string, group_counts> m_counts;
};

} // namespace camphorsaddle::jobs
