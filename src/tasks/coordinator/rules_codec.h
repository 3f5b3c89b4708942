#pragma once

#include "absl/status/status.h"
#include "jobs/rules_history.h"
#include "protocol/jobs.pb.h"

namespace camphorsaddle::tasks {

void writeRulesChange(const jobs::rules_change& change, protocol::RulesUpdate& target);
//! \brief Returns an error if a number of the update is out of bounds; call it before readRulesChange().
absl::Status checkRulesUpdate(const protocol::RulesUpdate& source);
jobs::rules_change readRulesChange(const protocol::RulesUpdate& source);

} // namespace camphorsaddle::tasks
