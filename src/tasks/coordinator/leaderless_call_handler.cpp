#include "tasks/coordinator/leaderless_call_handler.h"

#include <algorithm>
#include <utility>

#include "jobs/job_memory.h"
#include "jobs/job_record.h"
#include "tasks/coordinator/leader_election.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds retryDelay { 150 };
    // Time kept free so that the reply reaches the caller before its timeout.
    constexpr utils::milliseconds replyMargin { 150 };
    constexpr utils::milliseconds storeOutageRetryAfter { 1500 };
    // The budget for further early cancellations grows by a few in this time.
    constexpr utils::milliseconds cancellationLimitRetryAfter { 2000 };
    // The next leader is elected and knows the stored jobs after this time.
    constexpr utils::milliseconds jobMemoryRetryAfter { 5000 };

    jobs::job_phase readPhase(const external::key_listing& listing, const std::string& id)
    {
        auto phase = jobs::job_phase::Queued;
        for (const auto& entry : listing.entries) {
            if (entry.key == store_keys::cancellation(id))
                return jobs::job_phase::Cancelled;
            if (entry.key != store_keys::progress(id))
                continue;
            if (const auto progress = jobs::parseProgress(entry.value); progress.ok())
                phase = progress->phase;
            else
                utils::logEvent(utils::events::storedValueUnreadable, { { "key", entry.key }, { "error", utils::describe(progress.status()) } });
        }
        return phase;
    }

} // namespace

struct leaderless_call_handler::call_attempt {
    job_call call;
    reply_callback reply;
    utils::time_point deadline;
    bool mayBeStored = false;
    external::revision recordVersion = 0;
    //! Bytes of the job that were taken from the memory for jobs.
    std::uint64_t takenMemory = 0;
    //! The budget for early cancellations covers the call.
    bool isBudgeted = false;
    std::unique_ptr<transport::timer> retryTimer;

    void respond(call_outcome outcome, jobs::job_phase phase = jobs::job_phase::Queued, const std::string& reason = {}) const
    {
        reply({ call.ticket, outcome, phase, 0, outcome == call_outcome::Refused ? storeOutageRetryAfter : utils::milliseconds(0), reason });
    }

    void refuse(const std::string& reason, utils::milliseconds retryAfter) const
    {
        reply({ call.ticket, call_outcome::Refused, jobs::job_phase::Queued, 0, retryAfter, reason });
    }
};

leaderless_call_handler::leaderless_call_handler(transport::event_loop& loop, external::transactional_store& store, const early_cancellation_settings& settings, std::uint64_t jobMemory)
    : m_loop(loop)
    , m_store(store)
    , m_earlyCancellations(loop, store)
    , m_earlyCancellationBudget(settings.perSecond, settings.burst, utils::nowIncludingSuspend())
    , m_jobMemory(jobMemory)
{
}

leaderless_call_handler::~leaderless_call_handler() = default;

void leaderless_call_handler::setJobMemory(std::uint64_t bytes)
{
    m_jobMemory = bytes;
}

void leaderless_call_handler::handle(const job_call& call, reply_callback reply)
{
    auto attempt = std::make_shared<call_attempt>();
    attempt->call = call;
    attempt->reply = std::move(reply);
    attempt->mayBeStored = call.mayBeStored;
    attempt->deadline = utils::nowIncludingSuspend() + call.timeout - replyMargin;
    switch (call.kind) {
    case call_kind::Submit:
        submitJob(attempt);
        return;
    case call_kind::Status:
        readStatus(attempt);
        return;
    case call_kind::Cancel:
        cancelJob(attempt);
        return;
    case call_kind::Pending:
        // Only the leader knows the number of pending jobs of a queue.
        attempt->respond(call_outcome::Refused, jobs::job_phase::Queued, "no_leader");
        return;
    }
}

// Refuses the call if no attempt can have taken effect. Otherwise retries until the deadline, so that the outcome
// becomes known.
void leaderless_call_handler::retryOrFail(const std::shared_ptr<call_attempt>& attempt, const absl::Status& status, void (leaderless_call_handler::*step)(const std::shared_ptr<call_attempt>&))
{
    const bool isKnownNotApplied = status.code() == absl::StatusCode::kUnavailable;
    attempt->mayBeStored = attempt->mayBeStored || !isKnownNotApplied;
    const bool isOutOfTime = utils::nowIncludingSuspend() + retryDelay >= attempt->deadline;
    if (!attempt->mayBeStored || isOutOfTime) {
        if (!attempt->mayBeStored)
            m_jobMemory += std::exchange(attempt->takenMemory, 0);
        utils::logEvent(utils::events::jobSettled, { { "job", attempt->call.subject }, { "outcome", attempt->mayBeStored ? "unsettled" : "refused" }, { "reason", "store_unavailable" }, { "error", utils::describe(status) } });
        attempt->respond(attempt->mayBeStored ? call_outcome::Indeterminate : call_outcome::Refused, jobs::job_phase::Queued, "store_unavailable");
        return;
    }
    attempt->retryTimer = std::make_unique<transport::timer>(m_loop, [this, attempt, step, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            (this->*step)(attempt);
    });
    attempt->retryTimer->startOnce(retryDelay);
}

void leaderless_call_handler::submitJob(const std::shared_ptr<call_attempt>& attempt)
{
    const auto& id = attempt->call.job.id;
    if (attempt->takenMemory == 0) {
        const auto bytes = jobs::jobMemory(attempt->call.job);
        if (bytes > m_jobMemory) {
            refuseForMemory(attempt);
            return;
        }
        attempt->takenMemory = bytes;
        m_jobMemory -= bytes;
    }
    external::transaction change;
    change.expected = { { store_keys::job(id), 0 }, { store_keys::earlyCancellation(id), 0 } };
    change.puts = { { store_keys::job(id), jobs::encodeJob(attempt->call.job), 0 }, { store_keys::inboxPrefix + id, "submitted", 0 } };
    m_store.transact(change, [this, attempt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::transaction_result>& result) {
        if (alive.expired())
            return;
        if (!result.ok()) {
            retryOrFail(attempt, result.status(), &leaderless_call_handler::submitJob);
            return;
        }
        const auto isPresent = [&](const std::string& key) {
            return std::ranges::find(result->present, key, &external::key_value::key) != result->present.end();
        };
        if (!result->isCommitted)
            m_jobMemory += std::exchange(attempt->takenMemory, 0);
        const auto& job = attempt->call.job.id;
        if (!result->isCommitted && !isPresent(store_keys::job(job)) && isPresent(store_keys::earlyCancellation(job))) {
            // No attempt can take effect any more, whatever has become of the earlier ones.
            utils::logEvent(utils::events::jobSettled, { { "job", job }, { "outcome", "refused" }, { "reason", cancelledReason } });
            attempt->refuse(cancelledReason, utils::milliseconds(0));
            return;
        }
        if (!result->isCommitted) {
            announceKnownJob(attempt);
            return;
        }
        utils::logEvent(utils::events::jobSettled, { { "job", attempt->call.subject }, { "outcome", "done" }, { "reason", "stored_without_leader" } });
        attempt->respond(call_outcome::Done);
    });
}

void leaderless_call_handler::refuseForMemory(const std::shared_ptr<call_attempt>& attempt)
{
    m_store.read(store_keys::job(attempt->call.job.id), [this, attempt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::key_value>& stored) {
        if (alive.expired())
            return;
        if (stored.ok()) {
            announceKnownJob(attempt);
            return;
        }
        if (stored.status().code() != absl::StatusCode::kNotFound) {
            retryOrFail(attempt, stored.status(), &leaderless_call_handler::refuseForMemory);
            return;
        }
        utils::logEvent(utils::events::jobSettled, { { "job", attempt->call.subject }, { "outcome", attempt->mayBeStored ? "unsettled" : "refused" }, { "reason", jobMemoryReason }, { "bytes", std::to_string(jobs::jobMemory(attempt->call.job)) }, { "left", std::to_string(m_jobMemory) } });
        if (attempt->mayBeStored)
            attempt->respond(call_outcome::Indeterminate, jobs::job_phase::Queued, jobMemoryReason);
        else
            attempt->refuse(jobMemoryReason, jobMemoryRetryAfter);
    });
}

// A write without an answer may have stored the job, so that the leader doesn't know it.
void leaderless_call_handler::announceKnownJob(const std::shared_ptr<call_attempt>& attempt)
{
    attempt->mayBeStored = true;
    const auto inboxKey = store_keys::inboxPrefix + attempt->call.job.id;
    external::transaction change;
    change.expected = { { inboxKey, 0 } };
    change.puts = { { inboxKey, "submitted", 0 } };
    m_store.transact(change, [this, attempt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::transaction_result>& result) {
        if (alive.expired())
            return;
        if (!result.ok()) {
            retryOrFail(attempt, result.status(), &leaderless_call_handler::announceKnownJob);
            return;
        }
        utils::logEvent(utils::events::jobSettled, { { "job", attempt->call.subject }, { "outcome", "done" }, { "reason", "known" } });
        attempt->respond(call_outcome::Done);
    });
}

void leaderless_call_handler::readStatus(const std::shared_ptr<call_attempt>& attempt)
{
    m_store.list(store_keys::jobPrefix(attempt->call.subject), "", 0, [attempt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::key_listing>& listing) {
        if (alive.expired())
            return;
        if (!listing.ok()) {
            attempt->respond(call_outcome::Refused, jobs::job_phase::Queued, "store_unavailable");
            return;
        }
        attempt->respond(listing->entries.empty() ? call_outcome::NotFound : call_outcome::Done, readPhase(*listing, attempt->call.subject));
    });
}

void leaderless_call_handler::cancelJob(const std::shared_ptr<call_attempt>& attempt)
{
    m_store.list(store_keys::jobPrefix(attempt->call.subject), "", 0, [this, attempt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::key_listing>& listing) {
        if (alive.expired())
            return;
        if (!listing.ok()) {
            retryOrFail(attempt, listing.status(), &leaderless_call_handler::cancelJob);
            return;
        }
        const auto record = std::ranges::find(listing->entries, store_keys::job(attempt->call.subject), &external::key_value::key);
        // Other keys may be left for a moment of an ended job that is being erased.
        if (record == listing->entries.end()) {
            storeEarlyCancellation(attempt);
            return;
        }
        const auto phase = readPhase(*listing, attempt->call.subject);
        // A cancellation that is stored already may be a leader's write without an answer, which no inbox entry tells of.
        if (jobs::isFinal(phase) && phase != jobs::job_phase::Cancelled) {
            attempt->respond(call_outcome::Done, phase);
            return;
        }
        attempt->recordVersion = record->version;
        storeCancellation(attempt);
    });
}

void leaderless_call_handler::storeCancellation(const std::shared_ptr<call_attempt>& attempt)
{
    const auto& id = attempt->call.subject;
    external::transaction change;
    change.expected = { { store_keys::job(id), attempt->recordVersion } };
    change.puts = { { store_keys::cancellation(id), "cancelled", 0 }, { store_keys::inboxPrefix + id, store_keys::cancelledMark, 0 } };
    m_store.transact(change, [this, attempt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::transaction_result>& result) {
        if (alive.expired())
            return;
        if (!result.ok())
            retryOrFail(attempt, result.status(), &leaderless_call_handler::storeCancellation);
        else if (result->isCommitted)
            attempt->respond(call_outcome::Done, jobs::job_phase::Cancelled);
        else
            cancelJob(attempt);
    });
}

void leaderless_call_handler::storeEarlyCancellation(const std::shared_ptr<call_attempt>& attempt)
{
    attempt->isBudgeted = attempt->isBudgeted || m_earlyCancellationBudget.tryConsume(1, utils::nowIncludingSuspend());
    if (!attempt->isBudgeted) {
        attempt->refuse("too_many_cancellations", cancellationLimitRetryAfter);
        return;
    }
    m_earlyCancellations.store(attempt->call.subject, [this, attempt](const absl::StatusOr<bool>& isStored) {
        const std::string outcome = isStored.value_or(false) ? "stored" : "job_exists";
        utils::logEvent(utils::events::jobCancelledEarly, { { "job", attempt->call.subject }, { "outcome", isStored.ok() ? outcome : utils::describe(isStored.status()) } });
        if (!isStored.ok())
            retryOrFail(attempt, isStored.status(), &leaderless_call_handler::storeEarlyCancellation);
        else if (*isStored)
            attempt->respond(call_outcome::NotFound, jobs::job_phase::Cancelled);
        else
            cancelJob(attempt);
    });
}

} // namespace camphorsaddle::tasks
