#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "nlohmann/json.hpp"

namespace camphorsaddle::callers {

//! \brief What distinguishes the settings of the platform's daemons under test.
struct daemon_traits {
    std::string name;
    std::string ip;
    std::uint16_t frontPort = 0;
    std::uint16_t metricsPort = 0;
    std::string storeAddress;
    std::size_t memoryMegabytes = 0;
    std::size_t descriptors = 0;
};

inline constexpr std::uint16_t readinessPort = 8002;

//! \brief Settings of a daemon as the platform writes them. The port of the metrics is fixed.
nlohmann::json platformSettings(const daemon_traits& traits);

//! \brief Number of descriptors that a process has open.
std::size_t descriptorCount(pid_t process);

//! \brief Largest resident memory that a process has had; 0 if it doesn't run.
std::size_t peakMemoryKilobytes(pid_t process);

} // namespace camphorsaddle::callers
