#pragma once

#include "external/run_control.h"
#include "protocol/jobs.pb.h"

namespace camphorsaddle::tasks {

void writeRun(const external::run_id& run, protocol::RunName& target);
external::run_id readRun(const protocol::RunName& source);

void writeTraits(const external::run_traits& traits, protocol::RunTraits& target);
//! \brief Decodes traits; a latency target out of bounds counts as none.
external::run_traits readTraits(const protocol::RunTraits& source);
//! \brief Fencing token of a relayed order for the worker.
std::uint64_t readFence(const protocol::RunOrder& source);
external::observe_order readObserveOrder(const protocol::RunOrder& source);

void writeReply(const external::order_reply& reply, protocol::RunReply& target);
void writeReply(const external::observe_reply& reply, protocol::RunReply& target);
//! \brief Decodes a reply; unknown outcomes become NoAnswer, a report with a number out of bounds becomes Malformed.
external::order_reply readOrderReply(const protocol::RunReply& source);
external::observe_reply readObserveReply(const protocol::RunReply& source);

} // namespace camphorsaddle::tasks
