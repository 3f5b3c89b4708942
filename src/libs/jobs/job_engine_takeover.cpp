#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

void job_engine::restore(const job_spec& job, const job_progress& progress, bool isCancelled, utils::time_point now)
{
    if (m_jobs.contains(job.id))
        return;
    auto& state = insertJob(job, now);
    m_isRestoring = true;
    for (const auto& stored : progress.tasks) {
        if (stored.step >= state.steps.size() || stored.index >= state.steps[stored.step].tasks.size())
            continue;
        auto& step = state.steps[stored.step];
        auto& task = step.tasks[stored.index];
        task.isDone = stored.isDone;
        task.failedRuns = stored.failedRuns;
        task.crashCount = stored.crashCount;
        task.unconfirmedCrashCount = stored.unconfirmedCrashCount;
        task.lateCrashCount = stored.lateCrashCount;
        task.possibleCrashes = stored.possibleCrashes;
        task.checkpoint = stored.checkpoint;
        task.lastRun = std::max(task.lastRun, stored.lastRun);
        step.doneCount += stored.isDone ? 1 : 0;
        state.phase = job_phase::Running;
    }
    for (auto& step : state.steps) {
        for (auto& task : step.tasks)
            task.mayRunUnderFormerLeader = !task.isDone;
    }
    if (isCancelled || isFinal(progress.phase)) {
        state.isCancelStored = isCancelled;
        state.phase = isCancelled ? job_phase::Cancelled : progress.phase;
        state.endedAt = now;
        std::erase(m_activeJobs, &state);
        releaseJob(state);
        return;
    }
    updateStepReadiness(state, now);
}

void job_engine::beginTerm(const worker_roster& roster, utils::time_point now)
{
    markRosterStored(roster.workers);
    m_termStartedAt = now;
    const auto leaseTime = m_settings.maximumLeaseDuration(m_settings.leaseDuration);
    // A worker that can be reached gets the time to answer, even if all leases have expired while the jobs were loaded.
    const auto formerLeaseEnd = std::max(m_lastFormerRenewal.value_or(now) + m_settings.formerLeaderGracePeriod + leaseTime, now + m_settings.shortestTakeoverWait);
    const bool hasEndedAsPlanned = roster.endedTerm != 0 && roster.endedTerm + fencesPerTerm == m_term;
    for (const auto& worker : roster.workers) {
        const auto silent = roster.silent.find(worker.id);
        if (!hasEndedAsPlanned)
            m_unconfirmedWorkers[worker.id] = { formerLeaseEnd, worker.endpoint, worker.incarnation, worker.hasRestarted };
        else
            m_unconfirmedWorkers[worker.id] = { now + (silent == roster.silent.end() ? leaseTime : silent->second), worker.endpoint, worker.incarnation, worker.hasRestarted, true };
    }
    restorePossibleCrashes(now);
    for (const auto& worker : roster.workers) {
        auto& known = ensureWorker(worker.id, now);
        auto& unconfirmed = m_unconfirmedWorkers.at(worker.id);
        unconfirmed.nextPromiseAt = now + m_settings.shortestTakeoverWait;
        if (!hasEndedAsPlanned && worker.silentTerm != 0 && worker.silentTerm + fencesPerTerm == m_term) {
            unconfirmed.promisedUntil = now + std::max(worker.waitLeft, m_settings.shortestTakeoverWait);
            unconfirmed.nextPromiseAt = now;
        }
        if (!worker.endpoint.empty())
            known.description.endpoint = worker.endpoint;
        known.description.dataCentre = worker.dataCentre;
        known.path = &m_paths[worker.dataCentre];
        updateEvacuation(known);
        known.hasRestarted = worker.hasRestarted;
        // An answer proves what the worker executes, but not when the leases of the former leader end.
        if (hasEndedAsPlanned)
            known.leaseExpiresAt = m_unconfirmedWorkers.at(worker.id).until;
        // Without an address it can only be queried when the directory lists it.
        known.nextObservation = known.description.endpoint.empty() ? utils::time_point::max() : now + m_settings.directoryListingTime;
    }
    promiseWaits(now);
    endRestorationIfComplete(now);
}

worker_roster job_engine::endTerm(utils::time_point now) const
{
    worker_roster result { roster(), m_term, {} };
    const auto timeUntil = [&](utils::time_point end) {
        return std::max(utils::milliseconds(0), std::chrono::duration_cast<utils::milliseconds>(end - now));
    };
    const auto defaultWait = m_settings.maximumLeaseDuration(m_settings.leaseDuration);
    for (const auto& [id, worker] : m_workers) {
        if (!belongsOnRoster(*worker))
            continue;
        // The present process of a worker that hasn't accepted the term may hold a lease by a start for the former process.
        if (!worker->hasAcceptedTerm || worker->unansweredObserves > 0 || worker->leaseExpiresAt > now + defaultWait)
            result.silent[id] = timeUntil(worker->leaseExpiresAt);
    }
    for (const auto& [id, worker] : m_unconfirmedWorkers)
        result.silent[id] = timeUntil(waitEnd(id, worker));
    return result;
}

void job_engine::confirmLastFormerRenewal(utils::time_point at)
{
    m_lastFormerRenewal = at;
}

void job_engine::confirmFormerLeadersEnded(utils::time_point at)
{
    m_formerLeadersEndedAt = at;
    m_onEvent({ engine_event_kind::FormerLeadersEnded, "", "", "", absl::StrCat("unconfirmed=", m_unconfirmedWorkers.size(), " term_age_ms=", std::chrono::duration_cast<utils::milliseconds>(at - m_termStartedAt).count()) });
}

bool job_engine::isOtherProcess(const std::string& id, const unconfirmed_worker& worker) const
{
    const auto known = m_workers.find(id);
    return known != m_workers.end() && known->second->description.incarnation != 0 && known->second->description.incarnation != worker.incarnation;
}

// A start for its former process, which a restarted worker executes late, gives it a longer lease than any leader grants.
bool job_engine::mayHoldLongLease(const std::string& id, const unconfirmed_worker& worker) const
{
    return worker.hasRestarted || isOtherProcess(id, worker);
}

utils::time_point job_engine::waitEnd(const std::string& id, const unconfirmed_worker& worker) const
{
    auto until = worker.until;
    if (worker.promisedUntil && !isOtherProcess(id, worker))
        until = std::min(until, *worker.promisedUntil);
    if (!m_formerLeadersEndedAt || worker.isHandedOver || mayHoldLongLease(id, worker))
        return until;
    return std::min(until, std::max(*m_formerLeadersEndedAt, worker.reportedAt) + m_settings.maximumLeaseDuration(m_settings.leaseDuration));
}

void job_engine::promiseWaits(utils::time_point now)
{
    for (auto& [id, worker] : m_unconfirmedWorkers) {
        if (worker.hasAnswered || now < worker.nextPromiseAt)
            continue;
        worker.nextPromiseAt = now + m_settings.waitPromiseInterval;
        worker.waitLeft = utils::millisecondsBetween(now, std::max(now, waitEnd(id, worker)));
        auto& known = *m_workers.at(id);
        known.isWaitPromised = true;
        known.isOnRoster = false;
    }
}

void job_engine::withdrawWaitPromise(const worker_state& worker)
{
    const auto unconfirmed = m_unconfirmedWorkers.find(worker.description.id);
    if (unconfirmed == m_unconfirmedWorkers.end())
        return;
    unconfirmed->second.hasAnswered = true;
    unconfirmed->second.promisedUntil.reset();
    unconfirmed->second.waitLeft.reset();
}

bool job_engine::hasBeenListed(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && (found->second->isAnnounced || found->second->withdrawnAt != utils::time_point());
}

utils::milliseconds job_engine::unlistedWorkerWait() const
{
    return m_settings.maximumLeaseDuration(m_settings.leaseDuration) + m_settings.unlistedWorkerLeaseMargin;
}

bool job_engine::isRestoring() const
{
    return m_isRestoring || !m_unconfirmedWorkers.empty();
}

// The restoration is complete when no worker can execute a run that this leader doesn't know. A worker whose entry had expired before
// the term is assumed to be gone. An entry that expires later may be that of a worker which the former leader still reaches.
void job_engine::endRestorationIfComplete(utils::time_point now)
{
    const bool isDirectoryRead = m_directoryConfirmedAt >= m_termStartedAt;
    const bool mayLackListedWorkers = !isDirectoryRead || now < m_termStartedAt + unlistedWorkerWait();
    const bool isWaiting = std::ranges::any_of(m_unconfirmedWorkers, [&](const auto& entry) { return now < waitEnd(entry.first, entry.second) && (mayLackListedWorkers || hasBeenListed(entry.first)); });
    if (isWaiting || (!m_isRestoring && m_unconfirmedWorkers.empty()))
        return;
    // The next leader may have adopted the runs of a worker that this one has waited for.
    if (!m_unconfirmedWorkers.empty() && now >= m_leadershipCertainUntil)
        return;
    m_isRestoring = false;
    for (auto& [id, job] : m_jobs) {
        for (auto& step : job->steps) {
            for (auto& task : step.tasks)
                task.mayRunUnderFormerLeader = false;
        }
    }
    m_onEvent({ engine_event_kind::RestoreEnded, "", "", "", absl::StrCat("unheard=", m_unconfirmedWorkers.size(), " active_jobs=", m_activeJobs.size()) });
    m_unconfirmedWorkers.clear();
}

} // namespace camphorsaddle::jobs
