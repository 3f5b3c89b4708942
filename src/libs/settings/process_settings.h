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

//! \brief Constants that must be equal in all daemons of one deployment.
struct cluster_settings {
    std::vector<data_centre_settings> dataCentres;
    int batchShardCount = 0;
    int requestKeyShardCount = 0;
    //! Store writes a second, shared by all live daemons.
    int storeWritesPerSecond = 0;
    utils::milliseconds leaseDuration { 0 };
    utils::milliseconds workerLeaseDuration { 0 };
    utils::milliseconds renewalInterval { 0 };
    //! How far ahead an owner may renew the leases of its workers.
    utils::milliseconds renewalHorizon { 0 };
    utils::milliseconds clockDriftAllowance { 0 };
    utils::milliseconds heartbeatInterval { 0 };
    //! Bytes a second between regions.
    std::int64_t interRegionBytesPerSecond = 0;

    auto operator<=>(const cluster_settings&) const = default;
};

struct request_limits {
    std::int64_t maximumBodyBytes = 0;
    std::int64_t maximumHeaderBytes = 0;
    int maximumWaitingRequests = 0;

    auto operator<=>(const request_limits&) const = default;
};

struct log_settings {
    //! Empty means standard error.
    std::string folder;
    //! Least glog severity that is logged: 0 info, 1 warning, 2 error, 3 fatal.
    int level = 0;

    auto operator<=>(const log_settings&) const = default;
};

//! \brief What one daemon reads at start from `camphorsaddle serve --settings FILE`.
struct process_settings {
    std::string deployment;
    std::string daemonId;
    std::string dataCentre;
    std::string region;
    endpoint gateway;
    endpoint administration;
    //! ZeroMQ over TCP between daemons.
    endpoint peer;
    std::string storeUrl;
    std::string hostListUrl;
    cluster_settings cluster;
    utils::milliseconds drainDelay { 0 };
    log_settings log;
    request_limits limits;

    auto operator<=>(const process_settings&) const = default;
};

//! \brief The settings as far as they could be read, and every error.
struct process_settings_result {
    process_settings value;
    std::vector<setting_error> errors;

    auto operator<=>(const process_settings_result&) const = default;
};

//! \brief Reads JSON \a text and lists all errors; \a file only names the source in them.
process_settings_result readProcessSettings(absl::string_view text, absl::string_view file);

//! \brief Like readProcessSettings; the error, InvalidArgument, lists every fault.
absl::StatusOr<process_settings> parseProcessSettings(absl::string_view text, absl::string_view file);

//! \brief JSON text from which parseProcessSettings reads \a value again.
std::string renderProcessSettings(const process_settings& value);

} // namespace camphorsaddle::settings
