#pragma once

#include <map>
#include <string>
#include <vector>

#include "jobs/evacuations.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

//! \brief Shows the evacuations that the leader knows in the metrics; has none on other daemons.
class evacuation_report {
public:
    explicit evacuation_report(utils::metric_registry& registry);

    //! \brief Must be called regularly, also while there are no evacuations.
    void update(const std::vector<jobs::evacuation_status>& statuses, utils::time_point now);

private:
    struct data_centre_gauges {
        utils::gauge& requested;
        utils::gauge& knownSeconds;
        utils::gauge& workers;
        utils::gauge& services;
        utils::gauge& batch;
        utils::gauge& bestEffort;
        utils::gauge& emptySeconds;
    };

    data_centre_gauges* gaugesOf(const std::string& dataCentre);

    utils::metric_registry& m_registry;
    utils::time_point m_nextUpdateAt;
    std::map<std::string, data_centre_gauges> m_gauges;
};

} // namespace camphorsaddle::tasks
