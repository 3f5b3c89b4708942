#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "utils/clock.h"

namespace camphorsaddle::jobs {

//! \brief What is known about the requests to evacuate data centres.
enum class evacuation_knowledge {
    //! The store hasn't listed the requests yet, so that any data centre may be under evacuation.
    Unknown,
    //! There was no request when the store was asked last.
    Empty,
    Known,
};

//! \brief Data centres that operators have asked to evacuate, and how recent that knowledge is.
class evacuations {
public:
    //! \brief Replaces the set by the one that the store lists. A data centre that stays in it keeps its time.
    void setRequested(const std::set<std::string>& dataCentres, utils::time_point now);
    //! \brief The set was complete at the given time. The epoch stands for a store that hasn't answered yet.
    void confirm(utils::time_point at);

    evacuation_knowledge knowledge() const;
    //! \brief Whether the set was complete at most \a maximumAge ago.
    bool isRecent(utils::time_point now, utils::milliseconds maximumAge) const;
    bool contains(const std::string& dataCentre) const;
    //! \brief The data centres, with the time since which each request is known.
    const std::map<std::string, utils::time_point>& requested() const;
    //! \brief When the set was last known to be complete; the epoch before the first time.
    utils::time_point confirmedAt() const;

    bool operator==(const evacuations&) const = default;

private:
    std::map<std::string, utils::time_point> m_requested;
    utils::time_point m_confirmedAt;
};

//! \brief What is left in a data centre, by the runs whose end isn't known.
struct evacuation_remainder {
    std::size_t workers = 0;
    std::size_t services = 0;
    std::size_t batch = 0;
    std::size_t bestEffort = 0;

    auto operator<=>(const evacuation_remainder&) const = default;
};

inline bool isEmpty(const evacuation_remainder& remainder)
{
    return remainder.services + remainder.batch + remainder.bestEffort == 0;
}

//! \brief A data centre under evacuation, for the metrics.
struct evacuation_status {
    std::string dataCentre;
    utils::milliseconds knownFor { 0 };
    evacuation_remainder remainder;
    //! Time since the last task has left; nullopt as long as there is one.
    std::optional<utils::milliseconds> emptyFor;

    auto operator<=>(const evacuation_status&) const = default;
};

//! \brief What it costs to leave a run that ends by itself in a data centre under evacuation, or to move it.
struct run_departure {
    //! Expected time until it ends where it is.
    utils::milliseconds remaining { 0 };
    //! Time that it has worked since its last checkpoint.
    utils::milliseconds sinceCheckpoint { 0 };

    auto operator<=>(const run_departure&) const = default;
};

//! \brief Whether the move loses less time than the evacuation loses by waiting for the end of the run.
bool isMoveCheaper(const run_departure& departure);

} // namespace camphorsaddle::jobs
