#pragma once

#include <cstdint>
#include <optional>

#include "absl/status/status.h"
#include "jobs/admission_forecast.h"
#include "jobs/rules_history.h"
#include "protocol/jobs.pb.h"

namespace camphorsaddle::tasks {

//! \brief What the leader tells the other daemons for the admission of jobs.
struct admission_update {
    std::optional<jobs::published_forecast> forecast;
    //! Bytes of the jobs that the receiver may store while it reaches no leader; nullopt if the leader doesn't know the stored jobs yet.
    std::optional<std::uint64_t> memoryWithoutLeader;
};

void writeRulesChange(const jobs::rules_change& change, protocol::RulesUpdate& target);
//! \brief Returns an error if a number of the update is out of bounds; call it before readRulesChange().
absl::Status checkRulesUpdate(const protocol::RulesUpdate& source);
jobs::rules_change readRulesChange(const protocol::RulesUpdate& source);

void writeForecast(const jobs::published_forecast& forecast, utils::time_point now, protocol::RulesUpdate& target);
//! \brief The forecast of the update, with its time by this host's clock at the latest; nullopt if there is none or a number of it is out
//! of bounds.
std::optional<jobs::published_forecast> readForecast(const protocol::RulesUpdate& source);

} // namespace camphorsaddle::tasks
