#include "tasks/coordinator/call_codec.h"

#include "jobs/job_record.h"

namespace camphorsaddle::tasks {

protocol::CoordinatorEnvelope encodeCall(const job_call& call, const std::string& replyEndpoint)
{
    protocol::CoordinatorEnvelope envelope;
    auto& target = *envelope.mutable_call();
    target.set_reply_endpoint(replyEndpoint);
    target.set_ticket(call.ticket);
    target.set_kind(static_cast<protocol::CoordinatorCall::Kind>(call.kind));
    target.set_subject(call.subject);
    if (call.kind == call_kind::Submit)
        jobs::writeJob(call.job, *target.mutable_job());
    target.set_patience_ms(call.timeout.count());
    return envelope;
}

protocol::CoordinatorEnvelope encodeReply(const job_reply& reply)
{
    protocol::CoordinatorEnvelope envelope;
    auto& target = *envelope.mutable_reply();
    target.set_ticket(reply.ticket);
    target.set_outcome(static_cast<int>(reply.outcome));
    target.set_state(static_cast<int>(reply.phase));
    target.set_pending(reply.pending);
    target.set_retry_after_ms(reply.retryAfter.count());
    target.set_reason(reply.reason);
    return envelope;
}

job_call decodeCall(const protocol::CoordinatorCall& call)
{
    job_call result;
    result.ticket = call.ticket();
    result.kind = static_cast<call_kind>(call.kind());
    result.subject = call.subject();
    if (call.has_job())
        result.job = jobs::readJob(call.job());
    result.timeout = utils::milliseconds(call.patience_ms());
    return result;
}

job_reply decodeReply(const protocol::CoordinatorReply& reply)
{
    job_reply result;
    result.ticket = reply.ticket();
    const bool isKnown = reply.outcome() >= 0 && reply.outcome() < static_cast<int>(callOutcomeCount) && reply.state() >= 0 && reply.state() < static_cast<int>(jobs::jobPhaseCount);
    result.outcome = isKnown ? static_cast<call_outcome>(reply.outcome()) : call_outcome::NotLeader;
    result.phase = isKnown ? static_cast<jobs::job_phase>(reply.state()) : jobs::job_phase::Queued;
    result.pending = reply.pending();
    result.retryAfter = utils::milliseconds(reply.retry_after_ms());
    result.reason = reply.reason();
    return result;
}

} // namespace camphorsaddle::tasks
