#include "jobs/job_engine.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::jobs {

job_engine::job_engine(engine_settings settings, std::uint64_t term, note_function note)
    : m_settings(settings)
    , m_term(term)
    , m_note(std::move(note))
    , m_rules(std::make_shared<deployment_rules>())
{
}

job_engine::~job_engine() = default;

void job_engine::setRules(std::shared_ptr<const deployment_rules> rules)
{
    m_rules = rules_index(std::move(rules));
}

void job_engine::announceWorker(const worker_description& worker, utils::time_point now)
{
    auto& known = m_workers[worker.id];
    if (!known) {
        known = std::make_unique<worker_state>();
        known->nextObservation = now;
        known->isOnRoster = std::ranges::binary_search(m_storedRoster, worker.id);
    }
    known->isAnnounced = true;
    if (worker.life != 0 && known->description.life != 0 && worker.life > known->description.life)
        beginLife(*known, worker.life, now);
    const auto life = std::max(known->description.life, worker.life);
    known->description = worker;
    known->description.life = life;
}

void job_engine::withdrawWorker(const std::string& worker, utils::time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second->isAnnounced)
        return;
    found->second->isAnnounced = false;
    found->second->withdrawnAt = now;
}

job_state& job_engine::insert(const job_spec& job, utils::time_point now)
{
    auto owned = std::make_unique<job_state>();
    auto& state = *owned;
    state.spec = job;
    state.acceptedAt = now;
    for (const auto& step : job.steps) {
        state.steps.emplace_back();
        state.steps.back().tasks.resize(step.count);
        state.steps.back().image = m_interference.number(step.image);
    }
    for (auto& step : state.steps) {
        for (auto& task : step.tasks)
            task.lastRun = (m_term - 1) * m_settings.runsPerTerm;
    }
    m_jobs[job.id] = std::move(owned);
    m_active.push_back(&state);
    return state;
}

void job_engine::add(const job_spec& job, utils::time_point now)
{
    if (m_jobs.contains(job.id))
        return;
    m_hasOpening = true;
    refreshReadiness(insert(job, now), now);
}

void job_engine::restore(const job_spec& job, const job_progress& progress, bool isCancelled, utils::time_point now)
{
    if (m_jobs.contains(job.id))
        return;
    auto& state = insert(job, now);
    m_isRestoring = true;
    for (const auto& kept : progress.tasks) {
        if (kept.step >= state.steps.size() || kept.index >= state.steps[kept.step].tasks.size())
            continue;
        auto& step = state.steps[kept.step];
        auto& task = step.tasks[kept.index];
        task.isDone = kept.isDone;
        task.failedRuns = kept.failedRuns;
        task.checkpoint = kept.checkpoint;
        task.lastRun = std::max(task.lastRun, kept.lastRun);
        step.doneCount += kept.isDone ? 1 : 0;
        state.phase = job_phase::Running;
    }
    for (auto& step : state.steps) {
        for (auto& task : step.tasks)
            task.mayRunElsewhere = !task.isDone;
    }
    if (isCancelled || isFinal(progress.phase)) {
        state.isCancelStored = isCancelled;
        state.phase = isCancelled ? job_phase::Cancelled : progress.phase;
        state.endedAt = now;
        std::erase(m_active, &state);
        return;
    }
    refreshReadiness(state, now);
}

void job_engine::beginTerm(const worker_roster& roster, utils::time_point now)
{
    markRosterStored(roster.workers);
    m_begunAt = now;
    const auto leaseTime = m_settings.surelyOver(m_settings.leaseDuration);
    const bool hasEndedInOrder = roster.endedTerm != 0 && roster.endedTerm + 1 == m_term;
    for (const auto& worker : roster.workers) {
        const auto silent = roster.silent.find(worker);
        if (!hasEndedInOrder)
            m_unheard[worker] = now + m_settings.formerLeaderGracePeriod + leaseTime;
        else
            m_unheard[worker] = now + (silent == roster.silent.end() ? leaseTime : silent->second);
    }
    endRestoration(now);
}

worker_roster job_engine::endTerm(utils::time_point now) const
{
    worker_roster result { roster(), m_term, {} };
    const auto leftUntil = [&](utils::time_point end) {
        return std::max(utils::milliseconds(0), std::chrono::duration_cast<utils::milliseconds>(end - now));
    };
    for (const auto& [id, worker] : m_workers) {
        if (worker->isFenced && worker->silences > 0)
            result.silent[id] = leftUntil(worker->leaseOverAt);
    }
    for (const auto& [id, until] : m_unheard)
        result.silent[id] = leftUntil(until);
    return result;
}

bool job_engine::isListed(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second->isAnnounced;
}

// A worker without an entry in the directory is taken as gone; what it still runs ends with its lease.
utils::milliseconds job_engine::missingWait() const
{
    return m_settings.surelyOver(m_settings.leaseDuration) + m_settings.missingSlack;
}

// Ends when no worker can hold a run that this leader does not know of.
void job_engine::endRestoration(utils::time_point now)
{
    const bool isWaiting = std::ranges::any_of(m_unheard, [&](const auto& entry) { return now < entry.second && (isListed(entry.first) || now < m_begunAt + missingWait()); });
    if (!m_isRestoring || isWaiting)
        return;
    m_isRestoring = false;
    for (auto& [id, job] : m_jobs) {
        for (auto& step : job->steps) {
            for (auto& task : step.tasks)
                task.mayRunElsewhere = false;
        }
    }
    m_note({ note_kind::RestoreEnded, "", "", "", absl::StrCat("unheard=", m_unheard.size(), " active_jobs=", m_active.size()) });
    m_unheard.clear();
}

void job_engine::refreshReadiness(job_state& job, utils::time_point now)
{
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        auto& step = job.steps[number];
        if (step.isReady)
            continue;
        step.isReady = std::ranges::all_of(job.spec.steps[number].after, [&](unsigned before) {
            return job.steps[before].doneCount == job.steps[before].tasks.size();
        });
        if (!step.isReady)
            continue;
        for (auto& task : step.tasks)
            task.waitingSince = now;
    }
}

void job_engine::changed(job_state& job)
{
    ++job.version;
    m_dirty.insert(job.spec.id);
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
    endJob(job, job_phase::Cancelled, now, "cancelled by its caller");
}

void job_engine::endJob(job_state& job, job_phase phase, utils::time_point now, const std::string& why)
{
    job.phase = phase;
    job.endedAt = now;
    std::erase(m_active, &job);
    stopRuns(job, now, why);
    // A stored cancellation needs no further record.
    if (phase != job_phase::Cancelled)
        changed(job);
    m_note({ note_kind::JobEnded, job.spec.id, "", "", absl::StrCat("phase=", std::string(toString(phase)), " why=\"", why, "\" age_ms=", std::chrono::duration_cast<utils::milliseconds>(now - job.acceptedAt).count()) });
}

void job_engine::stopRuns(job_state& job, utils::time_point now, const std::string& why)
{
    for (auto& step : job.steps) {
        for (auto& task : step.tasks) {
            for (auto& run : task.runs)
                stopRun(*run, now, why);
        }
    }
}

const queue_rules* job_engine::rulesOf(const job_state& job) const
{
    return m_rules.find(job.spec.queue);
}

unsigned job_engine::attemptsOf(const job_state& job) const
{
    const auto* rules = rulesOf(job);
    return rules == nullptr ? 1 : std::max(rules->maxAttempts, 1u);
}

job_progress job_engine::progressOf(const job_state& job) const
{
    job_progress progress { isFinal(job.phase) ? job.phase : job_phase::Running, {} };
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        const auto& tasks = job.steps[number].tasks;
        for (unsigned index = 0; index < tasks.size(); ++index) {
            const auto& task = tasks[index];
            if (!task.isDone && task.failedRuns.empty())
                continue;
            // Nothing resumes a task that is done.
            progress.tasks.push_back({ number, index, task.isDone, task.failedRuns, task.lastRun, task.isDone ? std::string() : task.checkpoint });
        }
    }
    return progress;
}

std::vector<progress_write> job_engine::takeProgressWrites(std::size_t limit)
{
    std::vector<progress_write> writes;
    for (const auto& id : m_dirty) {
        if (writes.size() >= limit)
            break;
        auto& job = *m_jobs.at(id);
        writes.push_back({ id, encodeProgress(progressOf(job)), job.version });
    }
    for (const auto& write : writes)
        m_dirty.erase(write.job);
    return writes;
}

void job_engine::markProgressStored(const std::string& job, std::uint64_t version)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    found->second->storedVersion = std::max(found->second->storedVersion, version);
    for (auto& [id, worker] : m_workers)
        acknowledgeEnds(*worker);
}

void job_engine::requeueProgressWrite(const std::string& job)
{
    if (m_jobs.contains(job))
        m_dirty.insert(job);
}

std::vector<std::string> job_engine::roster() const
{
    std::vector<std::string> ids;
    for (const auto& [id, worker] : m_workers) {
        if (worker->isAnnounced || !worker->runs.empty())
            ids.push_back(id);
    }
    for (const auto& [id, until] : m_unheard) {
        if (!std::ranges::binary_search(ids, id))
            ids.insert(std::ranges::lower_bound(ids, id), id);
    }
    return ids;
}

bool job_engine::needsRosterWrite() const
{
    return m_storedRoster != roster();
}

void job_engine::markRosterStored(const std::vector<std::string>& workers)
{
    m_storedRoster = workers;
    for (auto& [id, worker] : m_workers)
        worker->isOnRoster = std::ranges::binary_search(m_storedRoster, id);
}

learned_record job_engine::learned() const
{
    return { m_interference.learned(), m_estimateRatios };
}

void job_engine::restoreLearned(const learned_record& learned)
{
    m_interference.restore(learned.pressures);
    m_estimateRatios = learned.ratios;
}

std::vector<std::string> job_engine::forgetFinishedJobs(utils::time_point now, std::size_t limit)
{
    std::vector<std::string> forgotten;
    for (const auto& [id, job] : m_jobs) {
        if (forgotten.size() >= limit)
            break;
        const bool hasRuns = std::ranges::any_of(job->steps, [](const auto& step) {
            return std::ranges::any_of(step.tasks, [](const auto& task) { return !task.runs.empty(); });
        });
        if (isFinal(job->phase) && now > job->endedAt + m_settings.finishedJobRetention && !hasRuns && job->storedVersion >= job->version)
            forgotten.push_back(id);
    }
    for (const auto& id : forgotten)
        m_jobs.erase(id);
    return forgotten;
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
    return static_cast<std::uint64_t>(std::ranges::count_if(m_active, [&](const auto* job) { return job->spec.queue == queue && job->phase == job_phase::Queued; }));
}

std::size_t job_engine::unfinishedJobCount() const
{
    return m_active.size();
}

bool job_engine::isDeposed() const
{
    return m_isDeposed;
}

std::uint64_t job_engine::placesWeighed() const
{
    return m_placesWeighed;
}

const std::map<std::string, std::unique_ptr<worker_state>>& job_engine::workers() const
{
    return m_workers;
}

utils::time_point job_engine::objectiveOf(const job_state& job) const
{
    std::vector<utils::milliseconds> chain(job.steps.size());
    utils::milliseconds longest { 0 };
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        utils::milliseconds before { 0 };
        for (const unsigned earlier : job.spec.steps[number].after)
            before = std::max(before, chain[earlier]);
        chain[number] = before + expectedDuration(job, number);
        longest = std::max(longest, chain[number]);
    }
    const auto* rules = rulesOf(job);
    const double slack = rules == nullptr ? 1 : rules->slackFactor;
    const auto target = rules == nullptr ? utils::milliseconds(0) : rules->targetLatency;
    return job.acceptedAt + utils::milliseconds(static_cast<std::int64_t>(slack * static_cast<double>(longest.count()))) + target;
}

utils::milliseconds job_engine::expectedDuration(const job_state& job, unsigned step) const
{
    const auto& state = job.steps[step];
    if (state.durationCount > 0)
        return utils::milliseconds(static_cast<std::int64_t>(state.durationSum / state.durationCount));
    const auto ratio = m_estimateRatios.find(job.spec.queue);
    const double factor = ratio == m_estimateRatios.end() ? 1 : ratio->second;
    return utils::milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(job.spec.steps[step].estimate.count())));
}

} // namespace camphorsaddle::jobs
