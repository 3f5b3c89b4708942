#pragma once

#include <memory>
#include <string>

#include "external/run_control.h"
#include "external/transactional_store.h"
#include "jobs/deployment_format.h"
#include "jobs/engine_settings.h"
#include "tasks/coordinator/leadership.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "utils/metrics.h"

namespace camphorsaddle::tasks {

struct listen_address {
    std::string address;
    std::uint16_t port = 0;
};

//! \brief Settings of a daemon that schedules jobs.
struct job_daemon_settings {
    std::string daemonId;
    std::string dataCentre;
    listen_address front;
    listen_address readiness;
    //! Port 0 for no metrics page.
    listen_address metrics;
    //! Where other daemons send their calls.
    std::string peerEndpoint;
    //! Cores that the daemon may use.
    double processors = 1;
    //! Time from the request to stop until the process is killed.
    utils::milliseconds stopGrace { 6000 };
    jobs::engine_settings engine;
    leadership_settings lead;
};

//! \brief A deployment's formats and the clients of its outside systems.
class deployment : public jobs::deployment_format {
public:
    virtual std::unique_ptr<external::transactional_store> makeStore(transport::http_client& client, utils::metric_registry& metrics) const = 0;
    virtual std::unique_ptr<external::run_control> makeRunControl(transport::http_client& client) const = 0;
};

} // namespace camphorsaddle::tasks
