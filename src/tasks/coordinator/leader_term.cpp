#include "tasks/coordinator/leader_term.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/overloaded.h"

namespace camphorsaddle::tasks {

namespace {

    // Time-driven decisions (lapses, stalls, repeats) are at least ten times as slow.
    constexpr utils::milliseconds tickInterval { 50 };
    // Events that arrive together, such as the answers of a step's starts, are decided together.
    constexpr utils::milliseconds wakeDelay { 4 };
    constexpr utils::milliseconds housekeepingInterval { 1000 };
    // A waiting watch is one call; a silent one is noticed within this time and a second.
    constexpr utils::milliseconds watchWait { 5000 };
    // Each worker of a fleet renews its entry every other second; changes of it are in force within 2.5 s.
    constexpr utils::milliseconds workerGatherTime { 100 };
    // A worker that leaves gets no new tasks after two and a half seconds, also while the watch hears nothing.
    constexpr utils::milliseconds workerRefresh { 1800 };
    // What a new leader would have to learn anew; a write with others costs little.
    constexpr utils::milliseconds learnedInterval { 2000 };
    // The next leader can do without the word of this one, by waiting longer.
    constexpr utils::milliseconds handOverTime { 400 };
    constexpr std::size_t progressBatch = 64;
    constexpr std::size_t forgetBatch = 32;
    // The leader keeps trying until it is deposed; a caller's write ends with its patience.
    constexpr utils::milliseconds ownWriteTime { 600'000 };
    constexpr utils::milliseconds storeOutageRetry { 1500 };

} // namespace

leader_term::leader_term(transport::event_loop& loop, const job_daemon_settings& settings, const deployment& format, external::transactional_store& store,
    carried_runs& control, leadership& lead, std::function<void(const std::string& why)> deposed)
    : m_format(format)
    , m_store(store)
    , m_control(control)
    , m_lead(lead)
    , m_deposed(std::move(deposed))
    , m_engine(settings.engine, lead.term(), [this](const jobs::engine_event& entry) { note(entry); })
    , m_writer(loop, store, store_keys::leader, lead.version())
    , m_workers(
          loop, store, format.workerKeyPrefix(), watchWait, [this](const auto& key, const auto* value) { onWorker(key, value); }, [this] { wake(); })
    , m_inbox(
          loop, store, store_keys::inbox, watchWait, [this](const auto& key, const auto* value) { onInbox(key, value); }, [] {})
    , m_tick(loop, [this] { drive(); })
    , m_wake(loop, [this] { drive(); })
    , m_reload(loop, [this] { loadJobs(); })
    , m_housekeeping(loop, [this] { writeRoster(); forgetJobs(); })
    , m_refresh(loop, [this] { m_workers.refresh(); })
    , m_begunAt(utils::nowIncludingSuspend())
    , m_learning(loop, [this] { writeLearned(); })
{
    m_workers.setPause(workerGatherTime);
}

void leader_term::note(const jobs::engine_event& entry) const
{
    utils::logEvent(utils::events::jobCourse, { { "what", std::string(toString(entry.kind)) }, { "job", entry.job }, { "run", entry.run }, { "worker", entry.worker }, { "detail", entry.detail } });
}

void leader_term::begin()
{
    loadJobs();
}

void leader_term::handOver(std::function<void()> done)
{
    if (!m_isLoaded || m_isStoringRoster) {
        done();
        return;
    }
    m_isHandingOver = true;
    const auto now = utils::nowIncludingSuspend();
    m_writer.submit({ store_keys::roster, jobs::encodeRoster(m_engine.endTerm(now)), m_rosterVersion, now + handOverTime, true, [done = std::move(done)](write_outcome, external::revision, const external::key_value*) {
                         done();
                     } },
        true);
}

void leader_term::end()
{
    m_hasEnded = true;
    for (auto* timer : { &m_tick, &m_wake, &m_reload, &m_housekeeping, &m_refresh, &m_learning })
        timer->stop();
    m_writer.abandon();
    for (auto& [call, reply] : std::exchange(m_waiting, {}))
        reply({ call.ticket, call_outcome::NotLeader, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} });
}

void leader_term::setRules(std::shared_ptr<const jobs::deployment_rules> rules)
{
    m_engine.setRules(std::move(rules));
    wake();
}

bool leader_term::isLoaded() const
{
    return m_isLoaded;
}

void leader_term::serve(const jobs::worker_roster& roster)
{
    const auto now = utils::nowIncludingSuspend();
    m_engine.beginTerm(roster, now);
    m_isLoaded = true;
    utils::logEvent(utils::events::termLoaded, { { "term", std::to_string(m_lead.term()) }, { "unfinished_jobs", std::to_string(m_engine.unfinishedJobCount()) }, { "roster", std::to_string(roster.workers.size()) }, { "load_ms", std::to_string(std::chrono::duration_cast<utils::milliseconds>(now - m_begunAt).count()) } });
    m_workers.start();
    m_inbox.start();
    m_tick.startRepeating(tickInterval);
    m_housekeeping.startRepeating(housekeepingInterval);
    m_refresh.startRepeating(workerRefresh);
    m_learning.startRepeating(learnedInterval);
    for (auto& [call, reply] : std::exchange(m_waiting, {}))
        answer(call, reply);
    wake();
}

void leader_term::onWorker(const std::string& key, const external::key_value* value)
{
    const auto now = utils::nowIncludingSuspend();
    const std::string id(absl::StripPrefix(key, m_format.workerKeyPrefix()));
    if (value == nullptr) {
        utils::logEvent(utils::events::workerWithdrawn, { { "worker", id } });
        m_engine.withdrawWorker(id, now);
        return;
    }
    const auto worker = m_format.parseWorker(key, value->value);
    if (!worker.ok()) {
        utils::logEvent(utils::events::workerEntryRejected, { { "key", key }, { "version", std::to_string(value->version) }, { "error", utils::describe(worker.status()) } });
        return;
    }
    const auto known = m_engine.workers().find(id);
    if (known != m_engine.workers().end() && known->second->isAnnounced && known->second->description == *worker)
        return;
    utils::logEvent(utils::events::workerAnnounced, { { "worker", id }, { "version", std::to_string(value->version) }, { "life", std::to_string(worker->life) }, { "draining", worker->isDraining ? "true" : "false" } });
    m_control.setDataCentre(id, worker->dataCentre);
    m_engine.announceWorker(*worker, now);
    writeRoster();
    wake();
}

void leader_term::onInbox(const std::string& key, const external::key_value* value)
{
    if (value != nullptr)
        adopt(std::string(absl::StripPrefix(key, store_keys::inbox)), value->version);
}

// The mark is erased under the leader's right before the job is adopted: a former leader can't adopt it any more.
void leader_term::adopt(const std::string& id, external::revision markVersion)
{
    if (!m_adopting.begin(id, markVersion))
        return;
    const auto deadline = utils::nowIncludingSuspend() + ownWriteTime;
    m_writer.submit({ store_keys::inbox + id, std::nullopt, markVersion, deadline, false, [this, id, markVersion](write_outcome outcome, external::revision, const external::key_value* present) {
                         const auto next = m_adopting.finish(id, markVersion, present == nullptr ? 0 : present->version);
                         if (outcome == write_outcome::Deposed) {
                             m_deposed("its key is gone");
                             return;
                         }
                         if (next)
                             adopt(id, *next);
                         if (outcome != write_outcome::Committed)
                             return;
                         m_store.list(store_keys::jobPrefix(id), "", 0, [this, id, self = weak_from_this()](absl::StatusOr<external::key_listing> listing) {
                             const auto guard = self.lock();
                             if (!guard)
                                 return;
                             if (!listing.ok()) {
                                 utils::logEvent(utils::events::storeUnavailable, { { "step", "adopt job" }, { "job", id }, { "error", utils::describe(listing.status()) } });
                                 m_deposed("a job that was stored without it can't be read");
                                 return;
                             }
                             const auto now = utils::nowIncludingSuspend();
                             for (const auto& entry : listing->entries) {
                                 if (entry.key != store_keys::job(id))
                                     continue;
                                 if (const auto job = jobs::parseJob(entry.value); job.ok())
                                     m_engine.add(*job, now);
                             }
                             if (std::ranges::any_of(listing->entries, [&](const auto& entry) { return entry.key == store_keys::cancellation(id); }))
                                 m_engine.cancel(id, now);
                             utils::logEvent(utils::events::jobAdopted, { { "job", id } });
                             wake();
                         });
                     } },
        true);
}

void leader_term::answer(const job_call& call, reply_function reply)
{
    if (!m_isLoaded) {
        m_waiting.emplace_back(call, std::move(reply));
        return;
    }
    job_reply result { call.ticket, call_outcome::Done, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} };
    switch (call.kind) {
    case call_kind::Submit:
        submit(call, reply);
        return;
    case call_kind::Cancel:
        cancel(call, reply);
        return;
    case call_kind::Status: {
        const auto phase = m_engine.phase(call.subject);
        result.outcome = phase ? call_outcome::Done : call_outcome::Absent;
        result.phase = phase.value_or(jobs::job_phase::Queued);
        reply(result);
        return;
    }
    case call_kind::Pending:
        result.pending = m_engine.pending(call.subject);
        reply(result);
        return;
    }
    result.outcome = call_outcome::NotLeader;
    reply(result);
}

void leader_term::submit(const job_call& call, const reply_function& reply)
{
    const auto& id = call.job.id;
    const auto respond = [reply, ticket = call.ticket](call_outcome outcome, utils::milliseconds retryAfter, const std::string& reason) {
        reply({ ticket, outcome, jobs::job_phase::Queued, 0, retryAfter, reason });
    };
    if (m_engine.hasJob(id)) {
        respond(call_outcome::Done, utils::milliseconds(0), "known");
        return;
    }
    const auto now = utils::nowIncludingSuspend();
    if (const auto found = m_submissions.find(id); found != m_submissions.end()) {
        found->second.push_back([respond](const job_reply& settled) { respond(settled.outcome, settled.retryAfter, settled.reason); });
        return;
    }
    if (m_writer.isTroubled() && !m_lead.isLeaseFresh(now)) {
        respond(call_outcome::Refused, storeOutageRetry, "store_unavailable");
        return;
    }
    m_submissions[id].push_back([respond](const job_reply& settled) { respond(settled.outcome, settled.retryAfter, settled.reason); });
    m_writer.submit({ store_keys::job(id), jobs::encodeJob(call.job), 0, now + call.patience, true, [this, job = call.job](write_outcome outcome, external::revision, const external::key_value* present) {
                         settleSubmission(job, outcome, present);
                     } },
        true);
}

void leader_term::settleSubmission(const jobs::job_spec& job, write_outcome outcome, const external::key_value* present)
{
    const auto now = utils::nowIncludingSuspend();
    job_reply settled;
    settled.outcome = call_outcome::Done;
    switch (outcome) {
    case write_outcome::Committed:
        m_engine.add(job, now);
        break;
    case write_outcome::Conflict: {
        // It was accepted without the leader, whose mark in the inbox tells the rest.
        settled.reason = "known";
        if (present == nullptr)
            settled.outcome = call_outcome::Unsettled;
        break;
    }
    case write_outcome::Deposed:
        settled.outcome = call_outcome::NotLeader;
        break;
    case write_outcome::NotWritten:
        settled.outcome = call_outcome::Refused;
        settled.retryAfter = storeOutageRetry;
        settled.reason = "store_unavailable";
        break;
    case write_outcome::Unsettled:
        settled.outcome = call_outcome::Unsettled;
        settled.reason = "store_silent";
        break;
    }
    utils::logEvent(utils::events::jobSettled, { { "job", job.id }, { "queue", job.queue }, { "outcome", std::string(toString(settled.outcome)) }, { "reason", settled.reason }, { "unfinished", std::to_string(m_engine.unfinishedJobCount()) } });
    const auto waiting = std::move(m_submissions[job.id]);
    m_submissions.erase(job.id);
    for (const auto& reply : waiting)
        reply(settled);
    wake();
    if (outcome == write_outcome::Deposed)
        m_deposed("its key is gone");
}

void leader_term::cancel(const job_call& call, const reply_function& reply)
{
    const auto respond = [reply, ticket = call.ticket](call_outcome outcome) {
        reply({ ticket, outcome, jobs::job_phase::Cancelled, 0, outcome == call_outcome::Refused ? storeOutageRetry : utils::milliseconds(0), {} });
    };
    const auto phase = m_engine.phase(call.subject);
    if (!phase || jobs::isFinal(*phase)) {
        respond(phase ? call_outcome::Done : call_outcome::Absent);
        return;
    }
    const auto deadline = utils::nowIncludingSuspend() + call.patience;
    m_writer.submit({ store_keys::cancellation(call.subject), "cancelled", 0, deadline, true, [this, id = call.subject, respond](write_outcome outcome, external::revision, const external::key_value* present) {
                         const bool isStored = outcome == write_outcome::Committed || (outcome == write_outcome::Conflict && present != nullptr);
                         utils::logEvent(utils::events::jobCancelled, { { "job", id }, { "stored", isStored ? "true" : "false" } });
                         if (isStored)
                             m_engine.cancel(id, utils::nowIncludingSuspend());
                         respond(isStored ? call_outcome::Done : outcome == write_outcome::Deposed ? call_outcome::NotLeader
                                 : outcome == write_outcome::NotWritten                            ? call_outcome::Refused
                                                                                                   : call_outcome::Unsettled);
                         wake();
                         if (outcome == write_outcome::Deposed)
                             m_deposed("its key is gone");
                     } },
        true);
}

void leader_term::wake()
{
    if (m_isLoaded && !m_hasEnded && !m_wake.isActive())
        m_wake.startOnce(wakeDelay);
}

void leader_term::drive()
{
    const auto self = shared_from_this();
    const auto now = utils::nowIncludingSuspend();
    if (m_hasEnded || m_isHandingOver || !m_lead.mayOrder(now))
        return;
    if (m_engine.isDeposed()) {
        m_deposed("a worker has met a later leader");
        return;
    }
    for (const auto& command : m_engine.decideCommands(now))
        execute(command);
    writeProgress();
}

void leader_term::execute(const jobs::engine_command& command)
{
    const auto sentAt = utils::nowIncludingSuspend();
    const auto self = weak_from_this();
    const auto fence = m_lead.term();
    std::visit(utils::overloaded {
                   [&](const jobs::start_command& start) {
                       m_control.start(start.worker, start.order, [this, self, start, sentAt](const external::order_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handleStartReply(start.worker.id, start.order.run, reply, sentAt, utils::nowIncludingSuspend());
                           wake();
                       });
                   },
                   [&](const jobs::stop_command& stop) {
                       m_control.stop(stop.worker, stop.run, fence, [this, self, stop](const external::order_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handleStopReply(stop.worker.id, stop.run, reply, utils::nowIncludingSuspend());
                           wake();
                       });
                   },
                   [&](const jobs::pace_command& pace) {
                       m_control.pace(pace.worker, pace.run, pace.percent, fence, [this, self, pace](const external::order_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handlePaceReply(pace.worker.id, pace.run, pace.percent, reply, utils::nowIncludingSuspend());
                       });
                   },
                   [&](const jobs::observe_command& observe) {
                       m_control.observe(observe.worker, observe.order, [this, self, observe, sentAt](const external::observe_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handleObserveReply(observe.worker.id, observe, reply, sentAt, utils::nowIncludingSuspend());
                           wake();
                       });
                   },
               },
        command);
}

void leader_term::writeProgress()
{
    const auto deadline = utils::nowIncludingSuspend() + ownWriteTime;
    for (auto& write : m_engine.takeProgressWrites(progressBatch)) {
        if (m_storing.contains(write.job)) {
            m_engine.requeueProgressWrite(write.job);
            continue;
        }
        m_storing.insert(write.job);
        m_writer.submit({ store_keys::progress(write.job), write.value, m_progressVersions[write.job], deadline, false, [this, job = write.job, version = write.version](write_outcome outcome, external::revision at, const external::key_value* present) {
                             m_storing.erase(job);
                             switch (outcome) {
                             case write_outcome::Committed:
                                 m_progressVersions[job] = at;
                                 m_engine.markProgressStored(job, version);
                                 break;
                             case write_outcome::Conflict:
                                 // An own write without an answer took effect; the course in memory is newer.
                                 m_progressVersions[job] = present == nullptr ? 0 : present->version;
                                 m_engine.requeueProgressWrite(job);
                                 break;
                             case write_outcome::NotWritten:
                             case write_outcome::Unsettled:
                                 m_engine.requeueProgressWrite(job);
                                 break;
                             case write_outcome::Deposed:
                                 m_deposed("its key is gone");
                                 return;
                             }
                             wake();
                         } },
            false);
    }
}

void leader_term::writeRoster()
{
    if (m_hasEnded || m_isHandingOver || m_isStoringRoster || !m_engine.needsRosterWrite())
        return;
    const auto roster = m_engine.roster();
    m_isStoringRoster = true;
    m_writer.submit({ store_keys::roster, jobs::encodeRoster({ roster, 0, {} }), m_rosterVersion, utils::nowIncludingSuspend() + ownWriteTime, false, [this, roster](write_outcome outcome, external::revision at, const external::key_value* present) {
                         m_isStoringRoster = false;
                         if (outcome == write_outcome::Deposed) {
                             m_deposed("its key is gone");
                             return;
                         }
                         if (outcome == write_outcome::Committed) {
                             m_rosterVersion = at;
                             m_engine.markRosterStored(roster);
                         } else if (outcome == write_outcome::Conflict) {
                             m_rosterVersion = present == nullptr ? 0 : present->version;
                         }
                         writeRoster();
                         wake();
                     } },
        true);
}

void leader_term::writeLearned()
{
    if (m_hasEnded || m_isStoringLearned)
        return;
    m_isStoringLearned = true;
    m_writer.submit({ store_keys::learned, jobs::encodeLearned(m_engine.learned()), m_learnedVersion, utils::nowIncludingSuspend() + ownWriteTime, false, [this](write_outcome outcome, external::revision at, const external::key_value* present) {
                         m_isStoringLearned = false;
                         if (outcome == write_outcome::Committed)
                             m_learnedVersion = at;
                         else if (outcome == write_outcome::Conflict)
                             m_learnedVersion = present == nullptr ? 0 : present->version;
                         else if (outcome == write_outcome::Deposed)
                             m_deposed("its key is gone");
                     } },
        false);
}

void leader_term::forgetJobs()
{
    const auto deadline = utils::nowIncludingSuspend() + ownWriteTime;
    for (const auto& id : m_engine.forgetFinishedJobs(utils::nowIncludingSuspend(), forgetBatch)) {
        m_store.list(store_keys::jobPrefix(id), "", 0, [this, self = weak_from_this(), deadline, id](absl::StatusOr<external::key_listing> listing) {
            const auto guard = self.lock();
            if (!guard || !listing.ok())
                return;
            m_progressVersions.erase(id);
            for (const auto& entry : listing->entries) {
                m_writer.submit({ entry.key, std::nullopt, entry.version, deadline, false, [key = entry.key](write_outcome outcome, external::revision, const external::key_value*) {
                                     if (outcome != write_outcome::Committed)
                                         utils::logEvent(utils::events::jobNotErased, { { "key", key } });
                                 } },
                    false);
            }
        });
    }
}

} // namespace camphorsaddle::tasks
