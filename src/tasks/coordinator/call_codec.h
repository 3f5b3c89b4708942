#pragma once

#include "absl/status/statusor.h"
#include "protocol/jobs.pb.h"
#include "tasks/coordinator/coordinator_messages.h"

namespace camphorsaddle::tasks {

//! \brief Encodes a call; the reply goes to \a replyEndpoint.
protocol::CoordinatorEnvelope encodeCall(const job_call& call, const std::string& replyEndpoint);
protocol::CoordinatorEnvelope encodeReply(const job_reply& reply);
//! \brief Decodes a call; returns an error if its kind is unknown or a number is out of bounds.
absl::StatusOr<job_call> decodeCall(const protocol::CoordinatorCall& call);
//! \brief Decodes a reply; unknown outcomes and phases become NotLeader, so that the caller asks the store instead.
job_reply decodeReply(const protocol::CoordinatorReply& reply);

} // namespace camphorsaddle::tasks
