#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "routing/minion_choice.h"
#include "routing/minion_health.h"
#include "routing/slot_grants.h"
#include "utils/metrics.h"
#include "utils/token_bucket.h"

namespace camphorsaddle::routing {

//! \brief Text of the reason in metrics.
absl::string_view toString(ejection_reason reason);

} // namespace camphorsaddle::routing

namespace camphorsaddle::tasks {

//! \brief Minions of each service with their load, health and granted slots, as known to one gateway.
class minion_table {
public:
    minion_table(routing::gateway_location location, double linkBytesPerSecond, utils::time_point now, utils::metric_registry& metrics);

    //! \brief Applies the platform's host list; returns whether the number of services changed.
    bool setHosts(const std::vector<model::host>& hosts);

    //! \brief Chooses a minion that is not in \a triedMinions. Returns null if none has a free slot, or if only minions in
    //! another region have one and the link budget is used up.
    const routing::minion_candidate* choose(const std::string& service, const std::vector<std::string>& triedMinions, utils::time_point now,
        routing::random_generator& random);

    //! \brief Charges transferred bytes to the link budget if the minion is in another region.
    void chargeLink(const model::host& minion, std::size_t bytes);

    bool hasMinions(const std::string& service) const;
    //! \brief Whether this gateway may use a slot of any minion, or there are no minions.
    bool isReady(utils::time_point now) const;
    std::size_t size() const
    {
        return m_requesters.size();
    }

    //! \brief Records that an attempt was sent.
    void onSent(const std::string& service, const std::string& minion);
    //! \brief Records the response to an attempt.
    void onResponse(const std::string& service, const std::string& minion, utils::milliseconds latency, utils::time_point now);
    //! \brief Records a failed attempt.
    void onFailure(const std::string& service, const std::string& minion, utils::time_point now);
    //! \brief Records the end of an attempt that does not affect the health of the minion.
    void onAttemptEnded(const std::string& service, const std::string& minion);
    //! \brief Records that the minion refused an attempt because it is leaving.
    void onLeaving(const std::string& service, const std::string& minion, utils::time_point now);

    //! \brief Creates the next demands for the slots of all minions. \a waiting is the number of queued requests by service.
    std::vector<std::pair<model::host, routing::slot_demand>> nextDemands(const std::map<std::string, std::size_t>& waiting, utils::time_point now);
    //! \brief Applies a grant; returns false if it is outdated or the minion is unknown.
    bool acceptGrant(const std::string& minion, const routing::slot_grant& grant, utils::time_point now);

private:
    struct service_minions {
        std::vector<routing::minion_candidate> candidates;
        routing::minion_health health;
        //! Moving average of the number of requests in flight or waiting.
        double averageInUse = 0;
    };

    routing::minion_candidate* findCandidate(const std::string& service, const std::string& minion);
    void refreshCandidates(service_minions& minions, utils::time_point now);
    int nearestDistance(const service_minions& minions) const;

    routing::gateway_location m_location;
    std::map<std::string, service_minions> m_services;
    std::map<std::string, routing::slot_requester> m_requesters;
    utils::token_bucket m_link;
    utils::reason_counters<routing::ejection_reason, routing::ejectionReasonCount> m_ejected;
    utils::counter& m_linkBytes;
    utils::counter& m_linkRefused;
};

} // namespace camphorsaddle::tasks
