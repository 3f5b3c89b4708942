#pragma once

#include "jobs/rules_history.h"
#include "protocol/jobs.pb.h"

namespace camphorsaddle::tasks {

void writeRulesChange(const jobs::rules_change& change, protocol::RulesUpdate& target);
jobs::rules_change readRulesChange(const protocol::RulesUpdate& source);

} // namespace camphorsaddle::tasks
