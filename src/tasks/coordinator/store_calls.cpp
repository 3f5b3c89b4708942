#include "tasks/coordinator/store_calls.h"

#include "jobs/job_record.h"
#include "tasks/coordinator/leadership.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds retryPause { 150 };
    // The answer has to reach the caller within its time.
    constexpr utils::milliseconds answerMargin { 150 };
    constexpr utils::milliseconds outageRetryAfter { 1500 };

    jobs::job_phase phaseOf(const external::key_listing& listing, const std::string& id)
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

struct store_calls::attempt {
    job_call call;
    reply_function reply;
    utils::time_point deadline;
    bool mayBeStored = false;
    external::revision recordVersion = 0;
    std::unique_ptr<transport::timer> pause;

    void respond(call_outcome outcome, jobs::job_phase phase = jobs::job_phase::Queued, const std::string& reason = {}) const
    {
        reply({ call.ticket, outcome, phase, 0, outcome == call_outcome::Refused ? outageRetryAfter : utils::milliseconds(0), reason });
    }
};

store_calls::store_calls(transport::event_loop& loop, external::transactional_store& store)
    : m_loop(loop)
    , m_store(store)
{
}

store_calls::~store_calls() = default;

void store_calls::settle(const job_call& call, reply_function reply)
{
    auto current = std::make_shared<attempt>();
    current->call = call;
    current->reply = std::move(reply);
    current->mayBeStored = call.mayBeStored;
    current->deadline = utils::nowIncludingSuspend() + call.patience - answerMargin;
    switch (call.kind) {
    case call_kind::Submit:
        submit(current);
        return;
    case call_kind::Status:
        status(current);
        return;
    case call_kind::Cancel:
        cancel(current);
        return;
    case call_kind::Pending:
        // Only the leader counts a queue.
        current->respond(call_outcome::Refused, jobs::job_phase::Queued, "no_leader");
        return;
    }
}

// A call that surely did nothing ends the attempt unless an earlier one may have been carried out.
void store_calls::repeat(const std::shared_ptr<attempt>& current, const absl::Status& status, void (store_calls::*step)(const std::shared_ptr<attempt>&))
{
    const bool isSurelyUndone = status.code() == absl::StatusCode::kUnavailable;
    current->mayBeStored = current->mayBeStored || !isSurelyUndone;
    const bool isOver = utils::nowIncludingSuspend() + retryPause >= current->deadline;
    if (!current->mayBeStored || isOver) {
        utils::logEvent(utils::events::jobSettled, { { "job", current->call.subject }, { "outcome", current->mayBeStored ? "unsettled" : "refused" }, { "reason", "store_unavailable" }, { "error", utils::describe(status) } });
        current->respond(current->mayBeStored ? call_outcome::Unsettled : call_outcome::Refused, jobs::job_phase::Queued, "store_unavailable");
        return;
    }
    current->pause = std::make_unique<transport::timer>(m_loop, [this, current, step, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            (this->*step)(current);
    });
    current->pause->startOnce(retryPause);
}

void store_calls::submit(const std::shared_ptr<attempt>& current)
{
    const auto& id = current->call.job.id;
    external::transaction change;
    change.expected = { { store_keys::job(id), 0 } };
    change.puts = { { store_keys::job(id), jobs::encodeJob(current->call.job), 0 }, { store_keys::inbox + id, "submitted", 0 } };
    m_store.transact(change, [this, current, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::transaction_result>& result) {
        if (alive.expired())
            return;
        if (!result.ok()) {
            repeat(current, result.status(), &store_calls::submit);
            return;
        }
        utils::logEvent(utils::events::jobSettled, { { "job", current->call.subject }, { "outcome", "done" }, { "reason", result->isCommitted ? "stored_without_leader" : "known" } });
        current->respond(call_outcome::Done);
    });
}

void store_calls::status(const std::shared_ptr<attempt>& current)
{
    m_store.list(store_keys::jobPrefix(current->call.subject), "", 0, [current, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::key_listing>& listing) {
        if (alive.expired())
            return;
        if (!listing.ok()) {
            current->respond(call_outcome::Refused, jobs::job_phase::Queued, "store_unavailable");
            return;
        }
        current->respond(listing->entries.empty() ? call_outcome::Absent : call_outcome::Done, phaseOf(*listing, current->call.subject));
    });
}

void store_calls::cancel(const std::shared_ptr<attempt>& current)
{
    m_store.list(store_keys::jobPrefix(current->call.subject), "", 0, [this, current, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::key_listing>& listing) {
        if (alive.expired())
            return;
        if (!listing.ok()) {
            repeat(current, listing.status(), &store_calls::cancel);
            return;
        }
        const auto phase = phaseOf(*listing, current->call.subject);
        if (listing->entries.empty() || jobs::isFinal(phase)) {
            current->respond(listing->entries.empty() ? call_outcome::Absent : call_outcome::Done, phase);
            return;
        }
        for (const auto& entry : listing->entries) {
            if (entry.key == store_keys::job(current->call.subject))
                current->recordVersion = entry.version;
        }
        storeCancellation(current);
    });
}

void store_calls::storeCancellation(const std::shared_ptr<attempt>& current)
{
    const auto& id = current->call.subject;
    external::transaction change;
    change.expected = { { store_keys::job(id), current->recordVersion } };
    change.puts = { { store_keys::cancellation(id), "cancelled", 0 }, { store_keys::inbox + id, "cancelled", 0 } };
    m_store.transact(change, [this, current, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::transaction_result>& result) {
        if (alive.expired())
            return;
        if (!result.ok())
            repeat(current, result.status(), &store_calls::storeCancellation);
        else if (result->isCommitted)
            current->respond(call_outcome::Done, jobs::job_phase::Cancelled);
        else
            cancel(current);
    });
}

} // namespace camphorsaddle::tasks
