#include "tasks/coordinator/call_codec.h"

#include <algorithm>

#include "input/printable_text.h"
#include "jobs/job_record.h"
#include "utils/errors.h"

namespace camphorsaddle::tasks {

namespace {

    // Longest time that a message may state.
    constexpr std::int64_t maximumMilliseconds = 86'400'000;

} // namespace

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

absl::StatusOr<job_call> decodeCall(const protocol::CoordinatorCall& call)
{
    const auto error = [&](absl::string_view cause) {
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read call", input::printableText(call.reply_endpoint()), cause);
    };
    job_call result;
    result.ticket = call.ticket();
    if (call.kind() < 0 || call.kind() >= static_cast<int>(callKindCount))
        return error("the kind of the call is unknown");
    result.kind = static_cast<call_kind>(call.kind());
    result.subject = call.subject();
    if (call.patience_ms() < 0 || call.patience_ms() > maximumMilliseconds)
        return error("the time that the caller waits is out of bounds");
    result.timeout = utils::milliseconds(call.patience_ms());
    if (result.kind != call_kind::Submit)
        return result;
    auto job = jobs::readCheckedJob(call.job());
    if (!job.ok())
        return job.status();
    result.job = *std::move(job);
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
    result.retryAfter = utils::milliseconds(std::clamp<std::int64_t>(reply.retry_after_ms(), 0, maximumMilliseconds));
    result.reason = reply.reason();
    return result;
}

} // namespace camphorsaddle::tasks
