#include "jobs/job_engine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jobs/crash_suspicion.h"

namespace camphorsaddle::jobs {

namespace {

    // About 30 years, which a time point in nanoseconds holds.
    constexpr double maximumSlackMilliseconds = 1e12;

} // namespace

job_engine::job_engine(engine_settings settings, std::uint64_t term, event_callback onEvent)
    : m_settings(settings)
    , m_term(term)
    , m_onEvent(std::move(onEvent))
    , m_rules(std::make_shared<deployment_rules>())
{
}

job_engine::~job_engine() = default;

void job_engine::setRules(std::shared_ptr<const deployment_rules> rules)
{
    m_rules = rules_index(std::move(rules));
    m_hasRules = true;
    m_mayJudgeFailures = true;
    for (auto* worker : m_workerList)
        worker->rejectsOverload = m_rules.rejectsOverload(worker->description.service);
}

worker_state& job_engine::ensureWorker(const std::string& id, utils::time_point now)
{
    auto& known = m_workers[id];
    if (!known) {
        known = std::make_unique<worker_state>();
        m_workerList.insert(std::ranges::lower_bound(m_workerList, id, {}, [](const auto* other) { return other->description.id; }), known.get());
        known->description.id = id;
        known->path = &m_paths[""];
        known->nextObservation = now;
        known->fence = m_term;
        known->processFence = m_term;
    }
    return *known;
}

void job_engine::announceWorker(const worker_description& worker, utils::time_point now)
{
    auto& known = ensureWorker(worker.id, now);
    if (known.isAnnounced && isRenewalOf(worker, known.description)) {
        known.description.renewedAt = worker.renewedAt;
        known.description.coldTime = worker.coldTime;
        known.announcedAt = now;
        updateColdTime(known, now);
        return;
    }
    // A worker that is known from the roster has not been queried yet.
    if (!known.isAnnounced)
        known.nextObservation = std::min(known.nextObservation, now);
    if (!known.isAnnounced || known.description.endpoint != worker.endpoint) {
        // The process that had the address before has ended.
        for (auto* other : m_workerList) {
            if (other != &known && other->description.endpoint == worker.endpoint)
                resolvePossibleCrash(*other, true, now);
        }
    }
    known.isAnnounced = true;
    if (known.description.incarnation == 0)
        known.incarnationSeenAt = now;
    else if (!known.isIncarnationGuessed && worker.incarnation > std::max(known.description.incarnation, known.highestFormerIncarnation))
        beginIncarnation(known, worker.incarnation, now);
    else if (worker.incarnation != 0 && worker.incarnation != known.description.incarnation)
        queryIncarnation(known, now);
    const auto incarnation = known.description.incarnation == 0 ? worker.incarnation : known.description.incarnation;
    // An entry of a former incarnation, which a listing may still show, doesn't tell the capacity of the current one.
    const bool isCurrent = worker.incarnation == 0 || worker.incarnation == incarnation;
    known.description = worker;
    known.description.incarnation = incarnation;
    known.path = &m_paths[worker.dataCentre];
    updateEvacuation(known);
    updateColdTime(known, now);
    known.announcedAt = isCurrent ? now : utils::time_point();
    known.capacityRefusedUntil = {};
    known.rejectsOverload = m_rules.rejectsOverload(worker.service);
    known.isOnRoster = isRosterStored(known);
    queueForOrders(known);
}

void job_engine::withdrawWorker(const std::string& worker, utils::time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second->isAnnounced)
        return;
    found->second->isAnnounced = false;
    found->second->withdrawnAt = now;
}

job_state& job_engine::insertJob(const job_spec& job, utils::time_point now)
{
    auto owned = std::make_unique<job_state>();
    auto& state = *owned;
    state.spec = job;
    state.acceptedAt = now;
    state.sizeGroup = sizeGroupOf(job);
    createSteps(state);
    m_jobs[job.id] = std::move(owned);
    m_activeJobs.push_back(&state);
    return state;
}

void job_engine::add(const job_spec& job, utils::time_point now)
{
    if (m_jobs.contains(job.id))
        return;
    m_mayStartTasks = true;
    auto& added = insertJob(job, now);
    updateStepReadiness(added, now);
    noteAcceptedWork(added);
    m_outcomes.count(job.queue, added.sizeGroup, job_outcome::Accepted);
}

void job_engine::updateStepReadiness(job_state& job, utils::time_point now)
{
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        auto& step = job.steps[number];
        if (step.isReady)
            continue;
        step.isReady = std::ranges::all_of(job.spec.steps[number].after, [&](unsigned earlier) {
            return job.steps[earlier].doneCount == job.steps[earlier].tasks.size();
        });
        if (!step.isReady)
            continue;
        for (auto& task : step.tasks) {
            task.waitingSince = now;
            task.withoutRunSince = now;
        }
    }
}

void job_engine::markChanged(job_state& job)
{
    ++job.version;
    queueForStorage(job);
}

// The end of a job is stored before the progress of others, since callers wait for it.
void job_engine::queueForStorage(job_state& job)
{
    auto& queued = isFinal(job.phase) ? job.isEndQueuedForStorage : job.isQueuedForStorage;
    if (job.isBeingStored || std::exchange(queued, true))
        return;
    (isFinal(job.phase) ? m_endedJobs : m_changedJobs).push_back(job.spec.id);
}

void job_engine::cancel(const std::string& id, utils::time_point now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    auto& job = *found->second;
    job.isCancelStored = true;
    if (isFinal(job.phase))
        return;
    endJob(job, job_phase::Cancelled, now, "cancelled by the caller");
}

void job_engine::endJob(job_state& job, job_phase phase, utils::time_point now, const std::string& reason)
{
    job.phase = phase;
    job.endedAt = now;
    std::erase(m_activeJobs, &job);
    countEnd(job);
    stopRuns(job, now, reason);
    // The store already holds the cancellation.
    if (phase != job_phase::Cancelled)
        markChanged(job);
    const auto sinceAcceptance = [&](utils::time_point at) {
        return std::chrono::duration_cast<utils::milliseconds>(at - job.acceptedAt).count();
    };
    std::size_t taskCount = 0;
    model::resources largest;
    for (const auto& step : job.spec.steps) {
        taskCount += step.count;
        largest = { std::max(largest.processors, step.taskResources.processors), std::max(largest.memory, step.taskResources.memory), std::max(largest.accelerators, step.taskResources.accelerators) };
    }
    m_onEvent({ engine_event_kind::JobEnded, job.spec.id, "", "",
        absl::StrCat("phase=", std::string(toString(phase)), " why=\"", reason, "\" age_ms=", sinceAcceptance(now), " first_start_ms=", job.firstStartAt == utils::time_point() ? -1 : sinceAcceptance(job.firstStartAt),
            " deadline_ms=", sinceAcceptance(deadlineOf(job)), " longest_wait_ms=", job.longestWait.count(), " queue=", job.spec.queue, " steps=", job.spec.steps.size(), " tasks=", taskCount, " processors=", largest.processors, " memory=", largest.memory,
            " runs=", job.runCount, " failed=", job.failedRunCount, " interrupted=", job.interruptedRunCount) });
}

void job_engine::stopRuns(job_state& job, utils::time_point now, const std::string& reason)
{
    for (auto& step : job.steps) {
        for (auto& task : step.tasks) {
            for (auto& run : task.runs)
                stopRun(*run, now, reason);
        }
    }
}

const queue_rules* job_engine::rulesOf(const job_state& job) const
{
    return m_rules.find(job.spec.queue);
}

// The limit at the acceptance holds for a queue that the operators have removed. Before the configuration has arrived it may be
// outdated.
std::optional<unsigned> job_engine::maximumAttemptsOf(const job_state& job) const
{
    if (const auto* rules = rulesOf(job))
        return std::max(rules->maxAttempts, 1u);
    if (!m_hasRules || job.spec.maximumAttempts == 0)
        return std::nullopt;
    return job.spec.maximumAttempts;
}

job_progress job_engine::progressOf(const job_state& job) const
{
    job_progress progress { isFinal(job.phase) ? job.phase : job_phase::Running, {} };
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        const auto& tasks = job.steps[number].tasks;
        for (unsigned index = 0; index < tasks.size(); ++index) {
            const auto& task = tasks[index];
            if (!task.isDone && task.failedRuns.empty() && !isCrashSuspect(task) && task.lateCrashCount == 0)
                continue;
            // A completed task needs no checkpoint.
            progress.tasks.push_back({ number, index, task.isDone, task.failedRuns, task.lastRun, task.isDone ? std::string() : task.checkpoint, task.crashCount, task.unconfirmedCrashCount, task.lateCrashCount, storedPossibleCrashes(task) });
        }
    }
    return progress;
}

std::vector<progress_write> job_engine::takeProgressWrites(std::size_t limit)
{
    std::vector<progress_write> writes;
    for (auto* queue : { &m_endedJobs, &m_changedJobs }) {
        while (!queue->empty() && writes.size() < limit) {
            const auto found = m_jobs.find(queue->front());
            queue->pop_front();
            if (found == m_jobs.end())
                continue;
            auto& job = *found->second;
            // A job that ended while it was queued stands in both queues.
            auto& queued = queue == &m_endedJobs ? job.isEndQueuedForStorage : job.isQueuedForStorage;
            queued = false;
            if (job.isBeingStored)
                continue;
            job.isBeingStored = true;
            writes.push_back({ job.spec.id, encodeProgress(progressOf(job)), job.version });
        }
    }
    return writes;
}

void job_engine::markProgressStored(const std::string& job, std::uint64_t version)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    auto& stored = *found->second;
    stored.storedVersion = std::max(stored.storedVersion, version);
    stored.isBeingStored = false;
    if (stored.storedVersion < stored.version)
        queueForStorage(stored);
    auto& workers = found->second->workersWithUnstoredEnds;
    for (auto* worker : workers)
        acknowledgeEnds(*worker);
    std::erase_if(workers, [&](const auto* worker) {
        return std::ranges::none_of(worker->unstoredRunEnds, [&](const auto& end) { return end.job == job; });
    });
}

void job_engine::requeueProgressWrite(const std::string& job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    found->second->isBeingStored = false;
    queueForStorage(*found->second);
}

bool job_engine::belongsOnRoster(const worker_state& worker) const
{
    return worker.isAnnounced || !worker.runs.empty() || m_unconfirmedWorkers.contains(worker.description.id);
}

roster_worker job_engine::rosterEntryOf(const worker_state& worker) const
{
    const auto& description = worker.description;
    roster_worker entry { description.id, description.endpoint, description.dataCentre, description.incarnation, worker.hasRestarted };
    const auto unconfirmed = m_unconfirmedWorkers.find(description.id);
    if (unconfirmed != m_unconfirmedWorkers.end() && unconfirmed->second.waitLeft) {
        entry.silentTerm = m_term;
        entry.waitLeft = *unconfirmed->second.waitLeft;
    }
    return entry;
}

std::vector<roster_worker> job_engine::roster() const
{
    std::vector<roster_worker> workers;
    for (const auto* worker : m_workerList) {
        if (belongsOnRoster(*worker))
            workers.push_back(rosterEntryOf(*worker));
    }
    return workers;
}

bool job_engine::needsRosterWrite() const
{
    auto stored = m_storedRoster.begin();
    for (const auto* worker : m_workerList) {
        if (!belongsOnRoster(*worker))
            continue;
        const auto entry = rosterEntryOf(*worker);
        // A promise that was withdrawn may still be on its way to the store, and counts until a roster without it is stored.
        const bool isWithdrawalDue = worker->isWaitPromised && entry.silentTerm != m_term;
        if (stored == m_storedRoster.end() || *stored != entry || isWithdrawalDue)
            return true;
        ++stored;
    }
    return stored != m_storedRoster.end();
}

bool job_engine::isRosterStored(const worker_state& worker) const
{
    if (worker.isWaitPromised)
        return false;
    const auto stored = std::ranges::lower_bound(m_storedRoster, worker.description.id, {}, &roster_worker::id);
    return stored != m_storedRoster.end() && stored->id == worker.description.id && stored->endpoint == worker.description.endpoint;
}

void job_engine::markRosterStored(std::vector<roster_worker> workers)
{
    m_storedRoster = std::move(workers);
    for (auto* worker : m_workerList) {
        const auto stored = std::ranges::lower_bound(m_storedRoster, worker->description.id, {}, &roster_worker::id);
        const bool isPromiseStored = stored != m_storedRoster.end() && stored->id == worker->description.id && stored->silentTerm == m_term;
        worker->isWaitPromised = worker->isWaitPromised && (isPromiseStored || rosterEntryOf(*worker).silentTerm == m_term);
        worker->isOnRoster = isRosterStored(*worker);
    }
}

learned_record job_engine::learned() const
{
    return { m_interference.learnedPressures(), m_durationRatios };
}

void job_engine::restoreLearned(const learned_record& learned)
{
    m_interference.restorePressures(learned.pressures);
    m_durationRatios = learned.ratios;
}

bool job_engine::hasJob(const std::string& id) const
{
    return m_jobs.contains(id);
}

std::optional<job_phase> job_engine::phase(const std::string& id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return std::nullopt;
    const auto& job = *found->second;
    if ((job.phase == job_phase::Completed || job.phase == job_phase::Failed) && job.storedVersion < job.version)
        return job_phase::Running;
    return job.phase;
}

std::uint64_t job_engine::pending(const std::string& queue) const
{
    return static_cast<std::uint64_t>(std::ranges::count_if(m_activeJobs, [&](const auto* job) { return job->spec.queue == queue && job->phase == job_phase::Queued; }));
}

std::size_t job_engine::unfinishedJobCount() const
{
    return m_activeJobs.size();
}

bool job_engine::isDeposed() const
{
    return m_isDeposed;
}

std::uint64_t job_engine::evaluatedPlacements() const
{
    return m_evaluatedPlacements;
}

std::uint64_t job_engine::evaluatedMoves() const
{
    return m_evaluatedMoves;
}

std::uint64_t job_engine::waitingChecks() const
{
    return m_waitingChecks;
}

std::uint64_t job_engine::orderChecks() const
{
    return m_orderChecks;
}

const std::map<std::string, std::unique_ptr<worker_state>>& job_engine::workers() const
{
    return m_workers;
}

utils::time_point job_engine::deadlineOf(const job_state& job) const
{
    std::vector<utils::milliseconds> chainDuration(job.steps.size());
    utils::milliseconds longest { 0 };
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        utils::milliseconds before { 0 };
        for (const unsigned earlier : job.spec.steps[number].after)
            before = std::max(before, chainDuration[earlier]);
        chainDuration[number] = before + expectedDuration(job, number).expected;
        longest = std::max(longest, chainDuration[number]);
    }
    const auto* rules = rulesOf(job);
    const double slack = rules == nullptr ? 1 : rules->slackFactor;
    const auto target = rules == nullptr ? utils::milliseconds(0) : rules->targetLatency;
    return job.acceptedAt + utils::milliseconds(static_cast<std::int64_t>(std::min(slack * static_cast<double>(longest.count()), maximumSlackMilliseconds))) + target;
}

std::vector<utils::milliseconds> job_engine::remainingChains(const job_state& job) const
{
    std::vector<utils::milliseconds> chains(job.steps.size(), utils::milliseconds(0));
    // Steps depend on earlier ones only.
    for (auto number = static_cast<unsigned>(job.steps.size()); number-- > 0;) {
        chains[number] += expectedDuration(job, number).expected;
        for (const unsigned earlier : job.spec.steps[number].after)
            chains[earlier] = std::max(chains[earlier], chains[number]);
    }
    return chains;
}

duration_estimate job_engine::expectedDuration(const job_state& job, unsigned step) const
{
    const auto& known = job.steps[step].durations;
    const auto ratio = known.count > 0 ? m_durationRatios.end() : m_durationRatios.find(job.spec.queue);
    return estimateDuration(known, job.spec.steps[step].estimate, ratio == m_durationRatios.end() ? 1 : ratio->second);
}

} // namespace camphorsaddle::jobs
