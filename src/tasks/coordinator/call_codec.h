#pragma once

#include "protocol/jobs.pb.h"
#include "tasks/coordinator/coordinator_messages.h"

namespace camphorsaddle::tasks {

protocol::CoordinatorEnvelope encodeCall(const job_call& call, const std::string& replyEndpoint);
protocol::CoordinatorEnvelope encodeReply(const job_reply& reply);
job_call readCall(const protocol::CoordinatorCall& call);
//! \brief NotLeader for outcomes and phases that this version does not know, so that the store is asked.
job_reply readReply(const protocol::CoordinatorReply& reply);

} // namespace camphorsaddle::tasks
