#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/optional.h"
#include "routing/outcome.h"
#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Entry of the request queue.
struct waiting_request {
    //! Number of the request in this gateway.
    std::uint64_t number = 0;
    std::string service;
    std::string caller;
    //! Requests of a greater priority are sent first.
    int priority = 0;
    //! Whether the request tolerates a long wait; see queue_limits::startsPerPatientStart.
    bool isPatient = false;
    utils::time_point deadline;

    auto operator<=>(const waiting_request&) const = default;
};

//! \brief Limits of the request queue.
struct queue_limits {
    //! Maximum number of waiting requests of all services together.
    std::size_t maximumWaiting = 4096;
    //! One of this many started requests is a patient one if any waits, so that patient requests do not starve.
    int startsPerPatientStart = 20;

    auto operator<=>(const queue_limits&) const = default;
};

//! \brief Limits the requests in flight or waiting per service and per caller.
class concurrency_limits {
public:
    //! \brief Counts a request, or returns the reason if its service or caller has reached its limit. A limit of 0 means none.
    absl::optional<refusal_reason> acquire(const std::string& service, const std::string& caller, int callerLimit, int serviceLimit);
    //! \brief Removes a request that acquire() counted.
    void release(const std::string& service, const std::string& caller);

private:
    std::map<std::string, int> m_serviceCounts;
    std::map<std::pair<std::string, std::string>, int> m_callerCounts;
};

//! \brief Requests that wait for a free slot, ordered by priority, then by arrival.
class request_queue {
public:
    explicit request_queue(const queue_limits& limits = {});

    //! \brief Adds a request to the queue, or returns why it is refused.
    //!
    //! If the queue is full and holds a request of a lower priority than \a request, the last request of the lowest
    //! priority is removed and its number is stored in \a shedNumber. \a serviceLimit is the maximum number of waiting
    //! requests of the service, 0 for none. \a startsPerSecond is the rate at which waiting requests are sent, 0 if
    //! unknown; a request that would be sent after its deadline at this rate is refused.
    absl::optional<refusal_reason> push(const waiting_request& request, int serviceLimit, double startsPerSecond, utils::time_point now,
        absl::optional<std::uint64_t>& shedNumber);

    //! \brief Removes and returns the next request whose service \a canStart accepts; nothing if there is none.
    absl::optional<waiting_request> pop(const std::function<bool(const std::string& service)>& canStart);

    //! \brief Removes the requests whose deadline has passed and returns their numbers.
    std::vector<std::uint64_t> removeExpired(utils::time_point now);
    //! \brief Removes a request; returns whether it was in the queue.
    bool remove(std::uint64_t number);

    std::size_t size() const
    {
        return m_size;
    }
    //! \brief Number of waiting requests of \a service.
    std::size_t waitingCount(const std::string& service) const;

private:
    using request_list = std::deque<waiting_request>;

    //! Removes the last request of the lowest priority if that is below \a priority; returns its number.
    absl::optional<std::uint64_t> shedLowerPriority(int priority);
    //! Number of waiting requests that are sent before a new one of \a priority.
    std::size_t countAhead(int priority) const;
    void removeFromCounts(const waiting_request& request);

    queue_limits m_limits;
    //! Waiting requests by descending priority.
    std::map<int, request_list, std::greater<>> m_levels;
    std::map<std::string, std::size_t> m_serviceCounts;
    std::size_t m_size = 0;
    std::size_t m_patientCount = 0;
    int m_startsSincePatient = 0;
};

} // namespace camphorsaddle::routing
