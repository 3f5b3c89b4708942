#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "settings/setting_error.h"
#include "utils/clock.h"

namespace camphorsaddle::settings {

struct endpoint {
    std::string address;
    int port = 0;

    auto operator<=>(const endpoint&) const = default;
};

struct data_centre_settings {
    std::string name;
    std::string region;

    auto operator<=>(const data_centre_settings&) const = default;
};

//! \brief Settings that must be equal in all daemons of a deployment.
struct cluster_settings {
    std::vector<data_centre_settings> dataCentres;
    //! Shards of the batch state in each data centre.
    int batchShardCount = 0;
    //! Shards of the idempotency keys in the deployment.
    int requestKeyShardCount = 0;
    //! Writes to the store per second, shared by all live daemons.
    int storeWritesPerSecond = 0;
    //! Duration of a daemon's lease in the store.
    utils::milliseconds leaseDuration { 0 };
    //! Duration of the lease under which a worker runs tasks.
    utils::milliseconds workerLeaseDuration { 0 };
    //! Interval between renewals of the leases of one worker.
    utils::milliseconds renewalInterval { 0 };
    //! How far ahead the owner of a shard may renew worker leases.
    utils::milliseconds renewalHorizon { 0 };
    //! Added to lease durations to allow for clocks that run at different speeds.
    utils::milliseconds clockDriftAllowance { 0 };
    //! Interval between heartbeats to each peer.
    utils::milliseconds heartbeatInterval { 0 };
    //! Bytes per second that a daemon may send between regions.
    std::int64_t interRegionBytesPerSecond = 0;

    auto operator<=>(const cluster_settings&) const = default;
};

//! \brief Limits of a daemon for requests of callers.
struct request_limits {
    std::int64_t maximumBodyBytes = 0;
    std::int64_t maximumHeaderBytes = 0;
    int maximumWaitingRequests = 0;
    //! 0: derived from the memory of the host.
    std::int64_t requestMemoryBytes = 0;
    //! 0: derived from the descriptors and the memory of the host.
    int maximumConnections = 0;
    //! 0: derived from the number of connections.
    int maximumConnectionsPerAddress = 0;
    utils::milliseconds headerTime { 0 };
    utils::milliseconds requestTime { 0 };

    auto operator<=>(const request_limits&) const = default;
};

struct log_settings {
    //! If empty, the log is written to standard error.
    std::string directory;
    //! glog severity: 0 info, 1 warning, 2 error, 3 fatal.
    int minimumSeverity = 0;

    auto operator<=>(const log_settings&) const = default;
};

//! \brief The settings that `camphorsaddle serve --settings FILE` reads when a daemon starts.
struct process_settings {
    std::string deployment;
    std::string daemonId;
    std::string dataCentre;
    std::string region;
    //! For callers.
    endpoint gateway;
    //! For operators and job submitters.
    endpoint administration;
    //! For other daemons, by ZeroMQ over TCP.
    endpoint peer;
    std::string storeUrl;
    std::string hostListUrl;
    cluster_settings cluster;
    //! Time from reporting not ready to closing the gateway in a planned stop.
    utils::milliseconds drainDelay { 0 };
    log_settings log;
    request_limits limits;

    auto operator<=>(const process_settings&) const = default;
};

//! \brief The parsed settings and all errors; if there are errors, the value may be incomplete.
struct process_settings_result {
    process_settings value;
    std::vector<setting_error> errors;

    auto operator<=>(const process_settings_result&) const = default;
};

//! \brief Parses and validates JSON \a text; \a file is the file name in the errors.
process_settings_result readProcessSettings(absl::string_view text, absl::string_view file);

//! \brief Like readProcessSettings(), but returns InvalidArgument with a list of all errors if there are any.
absl::StatusOr<process_settings> parseProcessSettings(absl::string_view text, absl::string_view file);

//! \brief Formats \a value as JSON that parseProcessSettings() parses to the same value.
std::string renderProcessSettings(const process_settings& value);

} // namespace camphorsaddle::settings
