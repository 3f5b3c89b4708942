#include "tasks/coordinator/leader_term.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "jobs/job_memory.h"
#include "utils/errors.h"
#include "utils/events.h"
#include "utils/overloaded.h"

namespace camphorsaddle::tasks {

namespace {

    // Decisions that depend on time (expired leases, stalled runs, repeated orders) have at least ten times this period.
    constexpr utils::milliseconds decisionInterval { 50 };
    constexpr utils::milliseconds housekeepingInterval { 1000 };
    // A long poll costs one call however long it waits; a lost one is noticed after this time plus one second.
    constexpr utils::milliseconds watchTimeout { 5000 };
    // Batches worker changes: each worker renews its entry every two seconds, and changes must be in force within 2.5 s.
    constexpr utils::milliseconds workerBatchingDelay { 100 };
    constexpr utils::milliseconds refreshTickInterval { 200 };
    // A new leader would have to learn these values again; writing them in a batch with other writes costs little.
    constexpr utils::milliseconds learnedWriteInterval { 2000 };
    // Without the stored roster the next leader only waits longer.
    constexpr utils::milliseconds handOverTimeout { 400 };
    // More than the users' largest deployments accept in a second, so that ended jobs don't accumulate.
    constexpr std::size_t maximumErasedJobs = 100;
    // Writes of the leader itself are retried until it is deposed; writes for a caller end with the caller's timeout.
    constexpr utils::milliseconds leaderWriteTimeout { 600'000 };
    constexpr utils::milliseconds storeOutageRetryAfter { 1500 };
    // Processors become free when long-running jobs are cancelled, which takes a minute rather than a second.
    constexpr utils::milliseconds noProcessorsRetryAfter { 5000 };

} // namespace

leader_term::leader_term(transport::event_loop& loop, const job_daemon_settings& settings, const deployment_adapter& deployment, external::transactional_store& store,
    relayed_run_control& runControl, leader_election& election, std::function<void(const std::string& why)> onDeposed)
    : m_deployment(deployment)
    , m_store(store)
    , m_runControl(runControl)
    , m_election(election)
    , m_onDeposed(std::move(onDeposed))
    , m_engine(settings.engine, election.term(), [this](const jobs::engine_event& event) { m_eventLog.write(event, utils::nowIncludingSuspend()); })
    , m_workerDirectory(deployment, m_engine)
    , m_writer(loop, store, store_keys::leader, election.leaderKeyVersion())
    , m_workerWatch(
          loop, store, deployment.workerKeyPrefix(), watchTimeout, [this](const auto& key, const auto* value) { onWorkerEntry(key, value); }, [this] { scheduleDecisions(); })
    , m_inboxWatch(
          loop, store, store_keys::inboxPrefix, watchTimeout, [this](const auto& key, const auto* value) { onInboxEntry(key, value); }, [] {})
    , m_decisionTickTimer(loop, [this] { scheduleDecisions(); })
    , m_decisionTimer(loop, [this] { runDecisions(); })
    , m_reloadTimer(loop, [this] { loadJobs(); })
    , m_housekeepingTimer(loop, [this] { writeRoster(); writeHistory(); eraseFinishedJobs(); eraseEarlyCancellations(); recordOutcomes(); m_eventLog.reportLeftOutLines(); })
    , m_refreshTimer(loop, [this] { refreshWatches(); writeRoster(); })
    , m_startedAt(utils::nowIncludingSuspend())
    , m_learnedWriteTimer(loop, [this] { writeLearnedRecord(); })
    , m_pendingMemoryLimit(settings.jobMemory.waitingForLoad)
    , m_jobMemory(settings.jobMemory.jobs)
    , m_storedJobs([this](const stored_job& job) { m_engine.restore(job.spec, job.progress, job.isCancelled, utils::nowIncludingSuspend()); }, [this](const auto& id, auto version) { m_progressVersions[id] = version; })
    , m_formerLeaders(election.formerLeaders(), election.ownRecord())
    , m_earlyCancellationSweep(settings.earlyCancellations)
{
    m_workerWatch.setBatchingDelay(workerBatchingDelay);
    if (!settings.engine.maximumEvacuationsAge || deployment.evacuationKeyPrefix().empty())
        return;
    m_evacuationWatch = std::make_unique<prefix_watch>(
        loop, store, deployment.evacuationKeyPrefix(), watchTimeout, [this](const auto& key, const auto* value) { onEvacuationEntry(key, value); }, [this] { updateEvacuations(); });
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
    m_writer.enqueue({ store_keys::roster, jobs::encodeRoster(m_engine.endTerm(now)), m_rosterVersion, now + handOverTimeout, true, [done = std::move(done)](write_outcome, external::revision, const external::key_value*) {
                          done();
                      } },
        true);
}

void leader_term::transferLead(std::function<void()> done)
{
    if (m_engine.isRestoring())
        done();
    else
        handOver(std::move(done));
}

void leader_term::end()
{
    m_hasEnded = true;
    for (auto* timer : { &m_decisionTickTimer, &m_decisionTimer, &m_reloadTimer, &m_housekeepingTimer, &m_refreshTimer, &m_learnedWriteTimer })
        timer->stop();
    m_writer.abandonAll();
    for (auto& [call, reply] : std::exchange(m_pendingCalls, {}))
        reply({ call.ticket, call_outcome::NotLeader, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} });
}

void leader_term::setRules(std::shared_ptr<const jobs::deployment_rules> rules)
{
    m_engine.setRules(std::move(rules));
    scheduleDecisions();
}

void leader_term::noteFollower(const std::string& endpoint, std::uint64_t term)
{
    m_formerLeaders.noteFollower(endpoint, term);
    reviewFormerLeaders();
}

const std::vector<jobs::leader_record>& leader_term::unprovenLeaders() const
{
    return m_formerLeaders.unproven();
}

void leader_term::reviewFormerLeaders()
{
    if (!m_isLoaded || m_haveFormerLeadersEnded || !m_formerLeaders.haveEnded())
        return;
    m_haveFormerLeadersEnded = true;
    m_engine.confirmFormerLeadersEnded(utils::nowIncludingSuspend());
    scheduleDecisions();
}

jobs::backfill_summary leader_term::backfillSummary() const
{
    return m_engine.backfillSummary();
}

bool leader_term::isLoaded() const
{
    return m_isLoaded;
}

void leader_term::startServing(const jobs::worker_roster& roster)
{
    const auto now = utils::nowIncludingSuspend();
    // Workers whose entries are missing are queried through the relays of their data centres too.
    for (const auto& worker : roster.workers)
        m_runControl.setWorkerDataCentre(worker.id, worker.dataCentre);
    m_engine.confirmLastFormerRenewal(m_election.lastFormerRenewal());
    m_engine.beginTerm(roster, now);
    m_isLoaded = true;
    utils::logEvent(utils::events::termLoaded, { { "term", std::to_string(m_election.term()) }, { "unfinished_jobs", std::to_string(m_engine.unfinishedJobCount()) }, { "roster", std::to_string(roster.workers.size()) }, { "load_ms", std::to_string(std::chrono::duration_cast<utils::milliseconds>(now - m_startedAt).count()) }, { "former_leaders", std::to_string(m_election.formerLeaders().size()) } });
    reviewFormerLeaders();
    m_workerWatch.start();
    m_inboxWatch.start();
    if (m_evacuationWatch)
        m_evacuationWatch->start();
    m_decisionTickTimer.startRepeating(decisionInterval);
    m_housekeepingTimer.startRepeating(housekeepingInterval);
    m_refreshTimer.startRepeating(refreshTickInterval);
    m_learnedWriteTimer.startRepeating(learnedWriteInterval);
    for (auto& [call, reply] : std::exchange(m_pendingCalls, {}))
        handleCall(call, reply);
    scheduleDecisions();
}

void leader_term::onWorkerEntry(const std::string& key, const external::key_value* value)
{
    if (m_workerDirectory.applyEntry(key, value, utils::nowIncludingSuspend(), std::chrono::system_clock::now()) != directory_effect::Announced)
        return;
    const auto id = m_workerDirectory.workerIdOf(key);
    m_runControl.setWorkerDataCentre(id, m_engine.workers().at(id)->description.dataCentre);
    writeRoster();
    scheduleDecisions();
}

void leader_term::onInboxEntry(const std::string& key, const external::key_value* value)
{
    if (value == nullptr)
        return;
    const std::string id(absl::StripPrefix(key, store_keys::inboxPrefix));
    // The store has the cancellation since the entry was written; the rest of the adoption takes a write and a listing.
    if (value->value == store_keys::cancelledMark) {
        m_inboxTracker.noteCancellation(id);
        m_engine.cancel(id, utils::nowIncludingSuspend());
        scheduleDecisions();
    }
    adoptJob(id, value->version);
}

// Erases the inbox entry on the condition of the leader key before it adopts the job, so that a former leader can't
// adopt the job any more.
void leader_term::adoptJob(const std::string& id, external::revision entryVersion)
{
    if (!m_inboxTracker.beginProcessing(id, entryVersion))
        return;
    const auto deadline = utils::nowIncludingSuspend() + leaderWriteTimeout;
    m_writer.enqueue({ store_keys::inboxPrefix + id, std::nullopt, entryVersion, deadline, false, [this, id, entryVersion](write_outcome outcome, external::revision, const external::key_value* present) {
                          const auto next = m_inboxTracker.finishProcessing(id, entryVersion, present == nullptr ? 0 : present->version);
                          if (outcome == write_outcome::Deposed) {
                              m_onDeposed("the leader key has changed");
                              return;
                          }
                          if (next)
                              adoptJob(id, *next);
                          // Nobody announces the job again once its entry is gone, whoever has erased it.
                          const bool isEntryGone = outcome == write_outcome::Committed || (outcome == write_outcome::Conflict && present == nullptr);
                          if (isEntryGone)
                              loadAnnouncedJob(id);
                      } },
        true);
}

void leader_term::loadAnnouncedJob(const std::string& id)
{
    m_store.list(store_keys::jobPrefix(id), "", 0, [this, id, self = weak_from_this()](absl::StatusOr<external::key_listing> listing) {
        const auto guard = self.lock();
        if (!guard)
            return;
        if (!listing.ok()) {
            utils::logEvent(utils::events::storeUnavailable, { { "step", "adopt job" }, { "job", id }, { "error", utils::describe(listing.status()) } });
            m_onDeposed("a job that was stored without the leader can't be read");
            return;
        }
        const auto now = utils::nowIncludingSuspend();
        for (const auto& entry : listing->entries) {
            if (entry.key != store_keys::job(id))
                continue;
            if (const auto job = jobs::parseJob(entry.value); job.ok())
                addJob(*job, now);
            else
                utils::logEvent(utils::events::storedValueUnreadable, { { "key", entry.key }, { "error", utils::describe(job.status()) } });
        }
        if (std::ranges::any_of(listing->entries, [&](const auto& entry) { return entry.key == store_keys::cancellation(id); }))
            m_engine.cancel(id, now);
        m_inboxTracker.forgetCancellation(id);
        utils::logEvent(utils::events::jobAdopted, { { "job", id }, { "keys", std::to_string(listing->entries.size()) }, { "known", m_engine.hasJob(id) ? "true" : "false" } });
        scheduleDecisions();
    });
}

void leader_term::handleCall(const job_call& call, reply_callback reply)
{
    if (!m_isLoaded) {
        const auto bytes = jobs::specificationMemory(call.job);
        if (m_pendingMemory + bytes > m_pendingMemoryLimit) {
            reply({ call.ticket, call_outcome::NotLeader, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} });
            return;
        }
        m_pendingMemory += bytes;
        m_pendingCalls.emplace_back(call, std::move(reply));
        return;
    }
    job_reply result { call.ticket, call_outcome::Done, jobs::job_phase::Queued, 0, utils::milliseconds(0), {} };
    switch (call.kind) {
    case call_kind::Submit:
        submitJob(call, reply);
        return;
    case call_kind::Cancel:
        cancelJob(call, reply);
        return;
    case call_kind::Status: {
        const auto phase = m_engine.phase(call.subject);
        result.outcome = phase ? call_outcome::Done : call_outcome::NotFound;
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

void leader_term::submitJob(const job_call& call, const reply_callback& reply)
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
    if (const auto pendingSubmission = m_submissionReplies.find(id); pendingSubmission != m_submissionReplies.end()) {
        pendingSubmission->second.push_back([respond](const job_reply& result) { respond(result.outcome, result.retryAfter, result.reason); });
        return;
    }
    if (m_writer.isStoreFailing() && !m_election.isLeaseRecentlyRenewed(now)) {
        respond(call_outcome::Refused, storeOutageRetryAfter, "store_unavailable");
        return;
    }
    if (!m_engine.admits(call.job)) {
        utils::logEvent(utils::events::jobSettled, { { "job", id }, { "queue", call.job.queue }, { "outcome", std::string(toString(call_outcome::Refused)) }, { "reason", "no_processors" }, { "unfinished", std::to_string(m_engine.unfinishedJobCount()) } });
        respond(call_outcome::Refused, noProcessorsRetryAfter, "no_processors");
        return;
    }
    if (refuseSubmission(call, reply, now))
        return;
    storeSubmission(call, reply, now);
}

void leader_term::storeSubmission(const job_call& call, const reply_callback& reply, utils::time_point now)
{
    const auto& id = call.job.id;
    auto& replies = m_submissionReplies[id];
    replies.push_back([reply, ticket = call.ticket](const job_reply& result) { reply({ ticket, result.outcome, jobs::job_phase::Queued, 0, result.retryAfter, result.reason }); });
    if (replies.size() > 1)
        return;
    const auto [entry, isNew] = m_unsettledSubmissions.try_emplace(id, unsettled_submission { jobs::jobMemory(call.job), false });
    if (isNew)
        m_unsettledMemory += entry->second.memory;
    m_writer.enqueue({ store_keys::job(id), jobs::encodeJob(call.job), 0, now + call.timeout, true, [this, job = call.job](write_outcome outcome, external::revision, const external::key_value*) {
                          completeSubmission(job, outcome);
                      },
                         store_keys::earlyCancellation(id) },
        true);
}

void leader_term::completeSubmission(const jobs::job_spec& job, write_outcome outcome)
{
    const auto now = utils::nowIncludingSuspend();
    job_reply result;
    result.outcome = call_outcome::Done;
    switch (outcome) {
    case write_outcome::Committed:
        addJob(job, now);
        break;
    case write_outcome::Conflict:
        settleSubmission(job.id);
        // Without an inbox entry, which the calling daemon writes, a job that an unanswered write has stored isn't adopted.
        result.reason = "known";
        result.outcome = m_engine.hasJob(job.id) ? call_outcome::Done : call_outcome::Indeterminate;
        break;
    case write_outcome::Excluded:
        // Also true if an earlier attempt got no answer: it can't take effect while the early cancellation is stored.
        settleSubmission(job.id);
        result.outcome = call_outcome::Refused;
        result.reason = cancelledReason;
        break;
    case write_outcome::Deposed:
        result.outcome = call_outcome::NotLeader;
        break;
    case write_outcome::NotWritten:
        // An earlier attempt without an answer may still take effect.
        result.outcome = mayBeStored(job.id) ? call_outcome::Indeterminate : call_outcome::Refused;
        result.retryAfter = storeOutageRetryAfter;
        result.reason = "store_unavailable";
        if (result.outcome == call_outcome::Refused)
            settleSubmission(job.id);
        break;
    case write_outcome::Indeterminate:
        result.outcome = call_outcome::Indeterminate;
        result.reason = "store_silent";
        // A job that was adopted meanwhile is known.
        if (const auto unsettled = m_unsettledSubmissions.find(job.id); unsettled != m_unsettledSubmissions.end())
            unsettled->second.mayBeStored = true;
        break;
    }
    utils::logEvent(utils::events::jobSettled, { { "job", job.id }, { "queue", job.queue }, { "outcome", std::string(toString(result.outcome)) }, { "reason", result.reason }, { "unfinished", std::to_string(m_engine.unfinishedJobCount()) }, { "held_bytes", std::to_string(heldMemory()) } });
    const auto callbacks = std::move(m_submissionReplies[job.id]);
    m_submissionReplies.erase(job.id);
    for (const auto& reply : callbacks)
        reply(result);
    scheduleDecisions();
    if (outcome == write_outcome::Deposed)
        m_onDeposed("the leader key has changed");
}

void leader_term::settleSubmission(const std::string& id)
{
    const auto found = m_unsettledSubmissions.find(id);
    if (found == m_unsettledSubmissions.end())
        return;
    m_unsettledMemory -= found->second.memory;
    m_unsettledSubmissions.erase(found);
}

void leader_term::cancelJob(const job_call& call, const reply_callback& reply)
{
    const auto respond = [reply, ticket = call.ticket](call_outcome outcome) {
        reply({ ticket, outcome, jobs::job_phase::Cancelled, 0, outcome == call_outcome::Refused ? storeOutageRetryAfter : utils::milliseconds(0), {} });
    };
    const auto phase = m_engine.phase(call.subject);
    if (!phase || jobs::isFinal(*phase)) {
        respond(phase ? call_outcome::Done : call_outcome::NotFound);
        return;
    }
    const auto deadline = utils::nowIncludingSuspend() + call.timeout;
    m_writer.enqueue({ store_keys::cancellation(call.subject), "cancelled", 0, deadline, true, [this, id = call.subject, respond](write_outcome outcome, external::revision, const external::key_value* present) {
                          const bool isStored = outcome == write_outcome::Committed || (outcome == write_outcome::Conflict && present != nullptr);
                          utils::logEvent(utils::events::jobCancelled, { { "job", id }, { "stored", isStored ? "true" : "false" } });
                          if (isStored)
                              m_engine.cancel(id, utils::nowIncludingSuspend());
                          respond(isStored ? call_outcome::Done : outcome == write_outcome::Deposed ? call_outcome::NotLeader
                                  : outcome == write_outcome::NotWritten                            ? call_outcome::Refused
                                                                                                    : call_outcome::Indeterminate);
                          scheduleDecisions();
                          if (outcome == write_outcome::Deposed)
                              m_onDeposed("the leader key has changed");
                      } },
        true);
}

void leader_term::scheduleDecisions()
{
    if (m_isLoaded && !m_hasEnded && !m_decisionTimer.isActive())
        m_decisionTimer.startOnce(m_decisionPacer.delay(utils::nowIncludingSuspend()));
}

void leader_term::runDecisions()
{
    const auto self = shared_from_this();
    const auto now = utils::nowIncludingSuspend();
    if (m_hasEnded || m_isHandingOver || !m_election.maySendOrders(now))
        return;
    if (m_engine.isDeposed()) {
        m_onDeposed("a worker has seen a higher fencing token, or the term has no further one");
        return;
    }
    const bool isStoreReachable = m_election.isLeaseRecentlyRenewed(now);
    m_engine.confirmLeadership(m_election.leaseExpiresAt());
    m_engine.confirmDirectory(m_workerWatch.completeUntil(now, isStoreReachable));
    m_engine.confirmCancellations(m_inboxWatch.completeUntil(now, isStoreReachable));
    // Unlike the two above, the set doesn't count as complete while the store is away: a request may have been stored just before.
    if (m_evacuationWatch)
        m_engine.confirmEvacuations(m_evacuationWatch->confirmedAt());
    for (auto& command : m_engine.decideCommands(now)) {
        if (auto* start = std::get_if<jobs::start_command>(&command))
            start->order.decidedAt = now;
        executeCommand(command);
    }
    writePendingProgress();
    m_decisionPacer.recordDecision(now, utils::nowIncludingSuspend());
}

void leader_term::executeCommand(const jobs::engine_command& command)
{
    const auto sentAt = utils::nowIncludingSuspend();
    const auto self = weak_from_this();
    std::visit(utils::overloaded {
                   [&](const jobs::start_command& start) {
                       m_runControl.start(start.worker, start.order, [this, self, worker = start.worker.id, run = start.order.run, sentAt](const external::order_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handleStartReply(worker, run, reply, sentAt, utils::nowIncludingSuspend());
                           scheduleDecisions();
                       });
                   },
                   [&](const jobs::stop_command& stop) {
                       m_runControl.stop(stop.worker, stop.run, stop.fence, [this, self, stop](const external::order_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handleStopReply(stop, reply, utils::nowIncludingSuspend());
                           scheduleDecisions();
                       });
                   },
                   [&](const jobs::pace_command& pace) {
                       m_runControl.pace(pace.worker, pace.run, pace.percent, pace.fence, [this, self, pace](const external::order_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handlePaceReply(pace.worker.id, pace.run, pace.percent, reply, utils::nowIncludingSuspend());
                       });
                   },
                   [&](const jobs::observe_command& observe) {
                       m_runControl.observe(observe.worker, observe.order, [this, self, observe, sentAt](const external::observe_reply& reply) {
                           const auto guard = self.lock();
                           if (!guard)
                               return;
                           m_engine.handleObserveReply(observe.worker.id, observe, reply, sentAt, utils::nowIncludingSuspend());
                           scheduleDecisions();
                       });
                   },
               },
        command);
}

void leader_term::writePendingProgress()
{
    const auto deadline = utils::nowIncludingSuspend() + leaderWriteTimeout;
    // What waits in the engine is written together with later changes.
    for (auto& write : m_engine.takeProgressWrites(m_writer.freeCapacity())) {
        m_writer.enqueue({ store_keys::progress(write.job), write.value, m_progressVersions[write.job], deadline, false, [this, job = write.job, version = write.version](write_outcome outcome, external::revision at, const external::key_value* present) {
                              switch (outcome) {
                              case write_outcome::Committed:
                                  m_progressVersions[job] = at;
                                  m_engine.markProgressStored(job, version);
                                  break;
                              case write_outcome::Conflict:
                                  // An earlier write without a reply took effect; the progress in memory is newer.
                                  m_progressVersions[job] = present == nullptr ? 0 : present->version;
                                  m_engine.requeueProgressWrite(job);
                                  break;
                              case write_outcome::Excluded:
                              case write_outcome::NotWritten:
                              case write_outcome::Indeterminate:
                                  m_engine.requeueProgressWrite(job);
                                  break;
                              case write_outcome::Deposed:
                                  m_onDeposed("the leader key has changed");
                                  return;
                              }
                              scheduleDecisions();
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
    m_writer.enqueue({ store_keys::roster, jobs::encodeRoster({ roster, 0, {} }), m_rosterVersion, utils::nowIncludingSuspend() + leaderWriteTimeout, false, [this, roster](write_outcome outcome, external::revision at, const external::key_value* present) {
                          m_isStoringRoster = false;
                          if (outcome == write_outcome::Deposed) {
                              m_onDeposed("the leader key has changed");
                              return;
                          }
                          if (outcome == write_outcome::Committed) {
                              m_rosterVersion = at;
                              m_engine.markRosterStored(roster);
                          } else if (outcome == write_outcome::Conflict) {
                              m_rosterVersion = present == nullptr ? 0 : present->version;
                          }
                          writeRoster();
                          scheduleDecisions();
                      } },
        true);
}

void leader_term::writeHistory()
{
    if (m_hasEnded || m_isHandingOver || m_isHistoryWritten || m_engine.isRestoring())
        return;
    m_isHistoryWritten = true;
    if (m_election.formerLeaders().empty())
        return;
    // The key has had the version of the leader key since this daemon was elected.
    m_writer.enqueue({ store_keys::leaderHistory, jobs::encodeLeaderHistory({ m_election.ownRecord() }), m_election.leaderKeyVersion(), utils::nowIncludingSuspend() + leaderWriteTimeout, false, [this](write_outcome outcome, external::revision, const external::key_value*) {
                          if (outcome == write_outcome::Deposed)
                              m_onDeposed("the leader key has changed");
                      } },
        false);
}

void leader_term::writeLearnedRecord()
{
    if (m_hasEnded || m_isStoringLearned)
        return;
    m_isStoringLearned = true;
    m_writer.enqueue({ store_keys::learned, jobs::encodeLearned(m_engine.learned()), m_learnedVersion, utils::nowIncludingSuspend() + leaderWriteTimeout, false, [this](write_outcome outcome, external::revision at, const external::key_value* present) {
                          m_isStoringLearned = false;
                          if (outcome == write_outcome::Committed)
                              m_learnedVersion = at;
                          else if (outcome == write_outcome::Conflict)
                              m_learnedVersion = present == nullptr ? 0 : present->version;
                          else if (outcome == write_outcome::Deposed)
                              m_onDeposed("the leader key has changed");
                      } },
        false);
}

void leader_term::eraseFinishedJobs()
{
    const auto deadline = utils::nowIncludingSuspend() + leaderWriteTimeout;
    m_engine.releaseEndedJobs(utils::nowIncludingSuspend());
    for (const auto& id : m_engine.forgetFinishedJobs(utils::nowIncludingSuspend(), maximumErasedJobs)) {
        m_store.list(store_keys::jobPrefix(id), "", 0, [this, self = weak_from_this(), deadline, id](absl::StatusOr<external::key_listing> listing) {
            const auto guard = self.lock();
            if (!guard || !listing.ok())
                return;
            m_progressVersions.erase(id);
            for (const auto& entry : listing->entries) {
                m_writer.enqueue({ entry.key, std::nullopt, entry.version, deadline, false, [key = entry.key](write_outcome outcome, external::revision, const external::key_value*) {
                                      if (outcome != write_outcome::Committed)
                                          utils::logEvent(utils::events::jobNotErased, { { "key", key } });
                                  } },
                    false);
            }
        });
    }
}

void leader_term::eraseEarlyCancellations()
{
    if (!m_earlyCancellationSweep.beginPage(utils::nowIncludingSuspend()))
        return;
    m_store.list(store_keys::earlyCancellationPrefix, m_earlyCancellationSweep.previousKey(), early_cancellation_sweep::pageSize + 1, [this, self = weak_from_this()](const absl::StatusOr<external::key_listing>& page) {
        const auto guard = self.lock();
        if (!guard || m_hasEnded)
            return;
        if (!page.ok())
            utils::logEvent(utils::events::storeUnavailable, { { "step", "list early cancellations" }, { "error", utils::describe(page.status()) } });
        const auto now = utils::nowIncludingSuspend();
        for (const auto& entry : m_earlyCancellationSweep.handlePage(page, now)) {
            // A conflict means that the job was cancelled once more; the new entry is erased later.
            m_writer.enqueue({ entry.key, std::nullopt, entry.version, now + leaderWriteTimeout, false, [key = entry.key](write_outcome outcome, external::revision, const external::key_value*) {
                                  if (outcome != write_outcome::Committed)
                                      utils::logEvent(utils::events::jobNotErased, { { "key", key } });
                              } },
                false);
        }
    });
}

} // namespace camphorsaddle::tasks
