#pragma once

#include <memory>
#include <string>

#include "external/run_control.h"
#include "external/transactional_store.h"
#include "jobs/deployment_format.h"
#include "jobs/engine_settings.h"
#include "jobs/route_admission.h"
#include "tasks/coordinator/early_cancellation_settings.h"
#include "tasks/coordinator/job_memory_limits.h"
#include "tasks/coordinator/lead_transfer.h"
#include "tasks/coordinator/leader_election.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

struct listen_address {
    std::string address;
    std::uint16_t port = 0;
};

//! \brief Settings of a daemon that schedules batch jobs.
struct job_daemon_settings {
    std::string daemonId;
    std::string dataCentre;
    //! HTTP interface for callers.
    listen_address front;
    //! HTTP readiness check of the load balancer.
    listen_address readiness;
    //! HTTP metrics page; port 0 disables it.
    listen_address metrics;
    //! ZeroMQ endpoint at which this daemon receives messages of other daemons.
    std::string peerEndpoint;
    //! Processor cores that the daemon may use.
    double processors = 1;
    //! What all callers of the daemon together may use.
    transport::caller_limits callerLimits = transport::deriveCallerLimits(transport::readHostResources());
    //! Time from the stop signal until the platform kills the process.
    utils::milliseconds shutdownGracePeriod { 6000 };
    jobs::route_admission_settings routeAdmission;
    jobs::engine_settings engine;
    leader_election_settings leaderElection;
    lead_transfer_settings leadTransfer;
    early_cancellation_settings earlyCancellations;
    job_memory_limits jobMemory = deriveJobMemoryLimits(transport::readHostResources());
};

//! \brief Data formats of a deployment and factories for the clients of its store and workers.
class deployment_adapter : public jobs::deployment_format {
public:
    virtual std::unique_ptr<external::transactional_store> makeStore(transport::http_client& client, utils::metric_registry& metrics) const = 0;
    virtual std::unique_ptr<external::run_control> makeRunControl(transport::http_client& client) const = 0;
};

} // namespace camphorsaddle::tasks
