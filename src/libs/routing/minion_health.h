#pragma once

#include <map>
#include <string>

#include "utils/clock.h"

namespace camphorsaddle::routing {

//! \brief Limits of the outlier detection.
struct health_options {
    //! Consecutive failures after which a minion is ejected.
    int consecutiveFailureLimit = 5;
    //! A minion is ejected if its latency exceeds this multiple of the median latency.
    double slowLatencyRatio = 3;
    //! Responses after which a minion's latency is evaluated.
    int minimumResponses = 20;
    //! Duration of the first ejection; it doubles with each consecutive ejection.
    utils::milliseconds baseEjectionTime { 5000 };
    utils::milliseconds maximumEjectionTime { 60000 };
    //! Maximum share of the minions that may be ejected at the same time.
    double maximumEjectedShare = 0.3;
    //! No minion is ejected while the share of failed attempts at all minions is above this.
    double maximumFailedShare = 0.5;
    //! Time from the end of an ejection until the minion has its full weight again.
    utils::milliseconds slowStartWindow { 5000 };
    //! How long a minion that refused a request because it is leaving gets no requests, even if the host list shows it as live.
    utils::milliseconds leavingStateTtl { 30000 };

    auto operator<=>(const health_options&) const = default;
};

//! \brief Why a minion was ejected.
enum class ejection_reason {
    //! Too many consecutive failures.
    Failures,
    //! A latency far above the median.
    Slow,
};

inline constexpr std::size_t ejectionReasonCount = 2;

//! \brief Outlier detection of one gateway for the minions of a service.
//!
//! A minion that fails or responds slowly is ejected: it gets no requests for a while, then a growing share of them.
class minion_health {
public:
    explicit minion_health(const health_options& options = {});

    //! \brief Adds a minion at full weight; does nothing if it is known already.
    void add(const std::string& minion);
    void remove(const std::string& minion);

    //! \brief Records a response. Returns true and sets \a reason if the minion was ejected because of it.
    bool onResponse(const std::string& minion, utils::milliseconds latency, utils::time_point now, ejection_reason& reason);
    //! \brief Records a failed attempt. Returns true and sets \a reason if the minion was ejected because of it.
    bool onFailure(const std::string& minion, utils::time_point now, ejection_reason& reason);

    //! \brief Records that the minion refused a request because it is leaving.
    void onLeaving(const std::string& minion, utils::time_point now);

    //! \brief Weight in the choice of a minion, from 0 (ejected or leaving) to 1.
    double weight(const std::string& minion, utils::time_point now) const;
    //! \brief Moving average of the latency in ms; 0 before the first response.
    double latency(const std::string& minion) const;

private:
    struct minion_statistics {
        double latency = 0;
        int responses = 0;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0;
        utils::time_point ejectedUntil;
        utils::time_point leavingUntil;
    };

    bool eject(minion_statistics& minion, utils::time_point now);
    double medianLatency() const;

    health_options m_options;
    //! Moving average of the share of failed attempts at all minions.
    double m_failedShare = 0;
    std::map<std::string, minion_statistics> m_statistics;
};

} // namespace camphorsaddle::routing
