#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "jobs/job_memory.h"
#include "tasks/coordinator/leader_term.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    const std::string overloadReason = "overload";
    // Memory becomes free when jobs end, seconds after that.
    constexpr utils::milliseconds jobMemoryRetryAfter { 5000 };

} // namespace

admission_update leader_term::publishedAdmission(utils::time_point now) const
{
    if (!m_isLoaded)
        return {};
    return { m_engine.publishedForecast(), m_jobMemory.allowanceWithoutLeader(heldMemory(), now) };
}

void leader_term::setMetrics(utils::metric_registry& metrics)
{
    m_metrics = &metrics;
}

void leader_term::recordOutcomes()
{
    const auto outcomes = m_engine.takeOutcomes();
    if (m_metrics == nullptr)
        return;
    for (const auto& [queue, groups] : outcomes) {
        for (std::size_t group = 0; group < jobs::sizeGroupCount; ++group) {
            for (std::size_t outcome = 0; outcome < jobs::jobOutcomeCount; ++outcome) {
                const auto count = groups[group][outcome];
                if (count > 0)
                    m_metrics->addCounter("camphorsaddle_job_outcomes_total", absl::StrCat("queue=\"", absl::CEscape(queue), "\",size=\"", std::string(toString(static_cast<jobs::size_group>(group))), "\",outcome=\"", std::string(toString(static_cast<jobs::job_outcome>(outcome))), "\"")).add(count);
            }
        }
    }
}

bool leader_term::mayBeStored(const std::string& id) const
{
    const auto found = m_unsettledSubmissions.find(id);
    return found != m_unsettledSubmissions.end() && found->second.mayBeStored;
}

std::uint64_t leader_term::heldMemory() const
{
    return m_engine.heldMemory() + m_unsettledMemory;
}

void leader_term::noteJobMemoryLimit(const std::string& endpoint, std::uint64_t limit, utils::time_point now)
{
    m_jobMemory.noteFollower(endpoint, limit, now);
}

std::optional<submission_refusal> leader_term::findRefusal(const jobs::job_spec& job, utils::time_point now) const
{
    const auto bytes = jobs::jobMemory(job);
    if (!m_jobMemory.admits(bytes, heldMemory(), now))
        return submission_refusal { jobMemoryReason, jobMemoryRetryAfter, absl::StrCat("bytes=", bytes, " held=", heldMemory(), " limit=", m_jobMemory.limit(now)), false };
    if (const auto refusal = m_engine.forecastRefusal(job, now))
        return submission_refusal { overloadReason, refusal->retryAfter, absl::StrCat("wait_ms=", refusal->wait.count(), " cores=", refusal->cores, " slack_ms=", refusal->slack.count()), true };
    return std::nullopt;
}

// A refused job must never run. No write for it is sent by this call, and none by an earlier one of this leader is pending. A former
// leader can't write any more, but a daemon without a leader may have stored the job, which the read shows.
bool leader_term::refuseSubmission(const job_call& call, const reply_callback& reply, utils::time_point now)
{
    if (call.mayBeStored || mayBeStored(call.job.id))
        return false;
    const auto refusal = findRefusal(call.job, now);
    if (!refusal)
        return false;
    m_store.read(store_keys::job(call.job.id), [this, self = weak_from_this(), call, reply, refusal = *refusal, now](const absl::StatusOr<external::key_value>& stored) {
        const auto guard = self.lock();
        if (guard && !m_hasEnded)
            completeRefusal(call, reply, refusal, stored, now);
        else
            reply({ call.ticket, call_outcome::NotLeader, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} });
    });
    return true;
}

void leader_term::completeRefusal(const job_call& call, const reply_callback& reply, const submission_refusal& refusal, const absl::StatusOr<external::key_value>& stored, utils::time_point calledAt)
{
    const auto& id = call.job.id;
    const auto respond = [&](call_outcome outcome, utils::milliseconds retryAfter, const std::string& reason) {
        reply({ call.ticket, outcome, jobs::job_phase::Queued, 0, retryAfter, reason });
    };
    if (m_engine.hasJob(id)) {
        respond(call_outcome::Done, utils::milliseconds(0), "known");
        return;
    }
    // Another daemon has stored it; the daemon that made the call has the leader adopt it.
    if (stored.ok()) {
        respond(call_outcome::Indeterminate, utils::milliseconds(0), "known");
        return;
    }
    const bool isAbsent = stored.status().code() == absl::StatusCode::kNotFound;
    if (!isAbsent && !refusal.isForecast) {
        respond(call_outcome::Indeterminate, utils::milliseconds(0), refusal.reason);
        return;
    }
    if (!isAbsent || m_submissionReplies.contains(id) || mayBeStored(id)) {
        storeSubmission(call, reply, calledAt);
        return;
    }
    utils::logEvent(utils::events::jobSettled, { { "job", id }, { "queue", call.job.queue }, { "outcome", std::string(toString(call_outcome::Refused)) }, { "reason", refusal.reason }, { "details", refusal.details }, { "retry_after_ms", std::to_string(refusal.retryAfter.count()) }, { "unfinished", std::to_string(m_engine.unfinishedJobCount()) } });
    if (refusal.isForecast)
        m_engine.noteRefusal(call.job);
    respond(call_outcome::Refused, refusal.retryAfter, refusal.reason);
}

} // namespace camphorsaddle::tasks
