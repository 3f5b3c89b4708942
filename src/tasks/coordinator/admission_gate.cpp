#include "tasks/coordinator/admission_gate.h"

#include <algorithm>

#include "tasks/coordinator/leader_election.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // Longer than a write without an answer takes effect, and than most callers repeat a call.
    constexpr utils::milliseconds attemptRetention { 60'000 };
    // Bounds the memory, at some 100 bytes each.
    constexpr std::size_t maximumAttempts = 20'000;

    const jobs::queue_rules* findQueue(const jobs::deployment_rules* rules, const std::string& name)
    {
        if (rules == nullptr)
            return nullptr;
        const auto found = std::ranges::find(rules->queues, name, &jobs::queue_rules::name);
        return found == rules->queues.end() ? nullptr : &*found;
    }

} // namespace

admission_gate::admission_gate(external::key_value_store& store)
    : m_store(store)
{
}

void admission_gate::setForecast(std::optional<jobs::published_forecast> forecast)
{
    m_forecast = std::move(forecast);
}

bool admission_gate::hasBeenTried(const std::string& id, utils::time_point now)
{
    while (!m_attempts.empty() && (now > m_attempts.front().first + attemptRetention || m_attempts.size() > maximumAttempts)) {
        const auto tried = m_triedJobs.find(m_attempts.front().second);
        if (tried != m_triedJobs.end() && tried->second == m_attempts.front().first)
            m_triedJobs.erase(tried);
        m_attempts.pop_front();
    }
    return m_triedJobs.contains(id);
}

void admission_gate::noteAttempt(const std::string& id, utils::time_point now)
{
    m_triedJobs[id] = now;
    m_attempts.emplace_back(now, id);
}

void admission_gate::refuseIfAbsent(const job_call& call, const std::string& reason, utils::milliseconds retryAfter, utils::time_point now, refuse_callback refuse)
{
    // The job isn't kept while the store is asked.
    m_store.read(store_keys::job(call.job.id), [this, alive = std::weak_ptr(m_alive), ticket = call.ticket, id = call.job.id, reason, retryAfter, now, refuse = std::move(refuse)](const absl::StatusOr<external::key_value>& stored) {
        if (alive.expired())
            return;
        const bool isAbsent = stored.status().code() == absl::StatusCode::kNotFound && !hasBeenTried(id, now);
        const auto outcome = isAbsent ? call_outcome::Refused : call_outcome::Indeterminate;
        utils::logEvent(utils::events::jobSettled, { { "job", id }, { "outcome", std::string(toString(outcome)) }, { "reason", reason }, { "retry_after_ms", std::to_string(retryAfter.count()) } });
        refuse({ ticket, outcome, jobs::job_phase::Queued, 0, retryAfter, reason });
    });
}

void admission_gate::decide(const job_call& call, const jobs::deployment_rules* rules, bool hasLeader, utils::time_point now, std::function<void()> proceed, refuse_callback refuse)
{
    if (call.kind != call_kind::Submit) {
        proceed();
        return;
    }
    const bool isTried = hasBeenTried(call.job.id, now);
    const bool isListed = m_forecast && m_forecast->queues.contains(call.job.queue);
    const auto* queue = isListed && !isTried && !call.mayBeStored ? findQueue(rules, call.job.queue) : nullptr;
    const auto decision = queue == nullptr ? jobs::follower_decision {} : jobs::decideByPublishedForecast(m_forecast, call.job, *queue, hasLeader, now);
    if (decision.what == jobs::follower_decision::action::Proceed) {
        noteAttempt(call.job.id, now);
        proceed();
        return;
    }
    m_store.read(store_keys::job(call.job.id), [this, alive = std::weak_ptr(m_alive), call, decision, hasLeader, now, age = utils::millisecondsBetween(m_forecast->at, now), proceed = std::move(proceed), refuse = std::move(refuse)](const absl::StatusOr<external::key_value>& stored) {
        if (alive.expired())
            return;
        // Another call for the job may have been passed on meanwhile.
        if (stored.status().code() != absl::StatusCode::kNotFound || hasBeenTried(call.job.id, now)) {
            noteAttempt(call.job.id, now);
            proceed();
            return;
        }
        const std::string reason = decision.what == jobs::follower_decision::action::Unknown ? "no_forecast" : hasLeader ? "overload"
                                                                                                                         : "overload_without_leader";
        utils::logEvent(utils::events::jobSettled, { { "job", call.job.id }, { "queue", call.job.queue }, { "outcome", std::string(toString(call_outcome::Refused)) }, { "reason", reason }, { "forecast_age_ms", std::to_string(age.count()) }, { "retry_after_ms", std::to_string(decision.retryAfter.count()) } });
        refuse({ call.ticket, call_outcome::Refused, jobs::job_phase::Queued, 0, decision.retryAfter, reason });
    });
}

} // namespace camphorsaddle::tasks
