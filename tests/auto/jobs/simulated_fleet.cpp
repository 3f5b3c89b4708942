#include "jobs/simulated_fleet.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::jobs::test {

namespace {

    constexpr utils::milliseconds tick { 10 };
    constexpr utils::milliseconds storeDelay { 15 };
    constexpr utils::milliseconds evacuationListingTime { 100 };
    // A process has run for this long when it answers for the first time.
    constexpr utils::milliseconds processStartTime { 5 };

} // namespace

step_spec batchStep(unsigned count, std::vector<unsigned> after)
{
    step_spec step;
    step.count = count;
    step.taskResources = { 2'000, 4'000, 0 };
    step.estimate = simulated_fleet::taskTime;
    step.after = std::move(after);
    return step;
}

step_spec serviceStep(unsigned count, const std::string& image)
{
    step_spec step = batchStep(count);
    step.taskResources = { 6'000, 8'000, 0 };
    step.isLongRunning = true;
    step.image = image;
    step.latencyTarget = utils::milliseconds(150);
    return step;
}

step_spec bestEffortStep(unsigned count, const std::string& image)
{
    step_spec step = batchStep(count);
    step.isBestEffort = true;
    step.image = image;
    step.hasCheckpoints = true;
    return step;
}

job_spec makeJob(const std::string& id, std::vector<step_spec> steps)
{
    return { id, "queue", "service", "payload", std::move(steps), utils::milliseconds(0) };
}

deployment_rules defaultRules()
{
    return { 1, { { "queue", "host", "/queue/", "service", 0, 3, 1.5, utils::milliseconds(400), utils::milliseconds(3000), false, true } } };
}

simulated_fleet::simulated_fleet(std::uint64_t seed, const engine_settings& settings)
    : m_now(utils::time_point() + std::chrono::hours(1))
    , m_random(seed)
    , m_engine(std::make_unique<job_engine>(settings, 1, [this](const engine_event& event) { checkEvent(event); }))
    , m_settings(settings)
{
    setRules(defaultRules());
    m_engine->beginTerm({}, m_now);
}

void simulated_fleet::setRules(deployment_rules rules)
{
    m_rules = std::make_shared<deployment_rules>(std::move(rules));
    m_engine->setRules(m_rules);
}

fake_worker& simulated_fleet::addWorker(const std::string& id, model::resources capacity, const std::string& dataCentre)
{
    auto& worker = m_workers[id];
    worker = std::make_unique<fake_worker>();
    worker->description = { id, "address of " + id, "service", dataCentre, "rack", { "a", "rack" }, capacity, false, utils::milliseconds(0), 1 };
    announce(worker->description);
    return *worker;
}

void simulated_fleet::restartWorker(const std::string& id, utils::milliseconds entryDelay)
{
    auto& worker = *m_workers.at(id);
    loseRuns(worker);
    const auto description = worker.description;
    worker = fake_worker();
    worker.description = description;
    ++worker.description.incarnation;
    worker.description.isDraining = false;
    m_drainingSince.erase(id);
    worker.clockOrigin = m_now - processStartTime;
    if (m_hasEntryRenewal)
        return;
    if (entryDelay.count() == 0) {
        announce(worker.description);
        return;
    }
    schedule(entryDelay, [this, id] {
        if (!m_removedWorkers.contains(id))
            announce(m_workers.at(id)->description);
    });
}

void simulated_fleet::setCapacity(const std::string& id, model::resources capacity)
{
    auto& worker = *m_workers.at(id);
    worker.formerCapacities.emplace_back(m_now + formerCapacityTime, worker.description.capacity);
    worker.description.capacity = capacity;
}

void simulated_fleet::enableEntryRenewal()
{
    m_hasEntryRenewal = true;
    for (const auto& entry : m_workers)
        renewEntry(entry.first);
}

void simulated_fleet::renewEntry(const std::string& id)
{
    auto& worker = *m_workers.at(id);
    schedule(entryRenewalInterval, [this, id] { renewEntry(id); });
    if (m_isStoreDown || worker.faults.cannotRenewEntry || worker.faults.isDown || m_removedWorkers.contains(id))
        return;
    worker.description.renewedAt = clockOf(worker);
    m_entries[id] = worker.description;
    announce(worker.description);
}

bool simulated_fleet::rejectsOverload() const
{
    return m_rules->queues.front().workersRejectOverload;
}

void simulated_fleet::makeDeadly(const external::task_id& task, utils::milliseconds delay)
{
    m_deadlyTasks[task] = delay;
}

unsigned simulated_fleet::crashCount(const external::task_id& task) const
{
    const auto found = m_crashCounts.find(task);
    return found == m_crashCounts.end() ? 0 : found->second;
}

void simulated_fleet::loseRuns(fake_worker& worker)
{
    std::set<external::task_id> lost;
    for (const auto& entry : worker.running)
        lost.insert(entry.first);
    // The engine can't tell a run that ended by itself without being listed from one that ran until the crash.
    for (const auto& end : worker.ended) {
        if (end.number > worker.lastListedEnd && end.cause != external::end_cause::Stopped)
            lost.insert(end.run.task);
    }
    for (const auto& task : lost)
        ++m_crashesUnderTask[task];
    worker.running.clear();
    worker.ended.clear();
}

void simulated_fleet::crash(const std::string& id, const external::task_id& task)
{
    auto& worker = *m_workers.at(id);
    ++m_crashCounts[task];
    m_runsLostInCrashes += static_cast<unsigned>(worker.running.size());
    loseRuns(worker);
    worker.faults.isDown = true;
    schedule(m_crashReturn.delay, [this, id] {
        if (!m_crashReturn.hasNewId) {
            const bool losesStartReplies = m_workers.at(id)->faults.losesStartReplies;
            restartWorker(id);
            m_workers.at(id)->faults.losesStartReplies = losesStartReplies;
            return;
        }
        auto& former = *m_workers.at(id);
        former.faults.isDown = false;
        former.faults.isReplaced = true;
        m_removedWorkers.insert(id);
        withdraw(id);
        auto& replacement = addWorker(absl::StrCat("replacement", ++m_replacementCount), former.description.capacity);
        replacement.description.endpoint = former.description.endpoint;
        announce(replacement.description);
    });
}

void simulated_fleet::submit(const job_spec& job)
{
    m_jobs[job.id] = job;
    m_engine->add(job, m_now);
}

void simulated_fleet::cancel(const std::string& id)
{
    m_cancelledJobs.insert(id);
    m_cancelledAt.try_emplace(id, m_now);
    handleInput(leader_input::Cancellation, [this, id] {
        m_cancellationHandledAt.try_emplace(id, m_now);
        m_engine->cancel(id, m_now);
    });
}

void simulated_fleet::changeLeader(bool isPlanned)
{
    const auto ended = m_engine->endTerm(m_now);
    m_formerEngine = std::move(m_engine);
    m_formerTerm = m_term;
    m_formerEndsAt = m_now;
    m_engine = std::make_unique<job_engine>(m_settings, m_term = nextTerm(), [this](const engine_event& event) { checkEvent(event); });
    m_engine->setRules(m_rules);
    for (const auto& [id, job] : m_jobs)
        m_engine->restore(job, m_progress[id], m_cancelledJobs.contains(id), m_now);
    for (const auto& id : m_cancelledJobs)
        m_cancellationHandledAt.try_emplace(id, m_now);
    m_engine->beginTerm(isPlanned ? ended : worker_roster { m_roster, 0, {} }, m_now);
    for (const auto& [id, worker] : m_workers) {
        if (!m_removedWorkers.contains(id))
            m_engine->announceWorker(m_hasEntryRenewal ? m_entries.at(id) : worker->description, m_now);
    }
    m_engine->confirmDirectory(m_now);
    m_engine->confirmCancellations(m_now);
    m_evacuationsListedAt = m_now + evacuationListingTime;
}

void simulated_fleet::changeLeaderBesideFormer(utils::milliseconds formerTime)
{
    changeLeader();
    m_formerEndsAt = m_now + formerTime;
    m_formerEngine->confirmLeadership(m_now);
}

job_engine* simulated_fleet::engineOfTerm(std::uint64_t term) const
{
    if (term == m_term)
        return m_engine.get();
    const bool isFormerRunning = m_formerEngine != nullptr && m_now < m_formerEndsAt;
    return term == m_formerTerm && isFormerRunning ? m_formerEngine.get() : nullptr;
}

void simulated_fleet::loseEntry(const std::string& id)
{
    m_removedWorkers.insert(id);
    m_engine->withdrawWorker(id, m_now);
}

void simulated_fleet::restoreEntry(const std::string& id)
{
    if (m_removedWorkers.erase(id) > 0)
        announce(m_workers.at(id)->description);
}

void simulated_fleet::removeWorker(const std::string& id)
{
    auto& worker = *m_workers.at(id);
    worker.faults.isUnresponsive = true;
    worker.running.clear();
    m_removedWorkers.insert(id);
    withdraw(id);
}

external::worker_time simulated_fleet::clockOf(const fake_worker& worker) const
{
    return std::chrono::duration_cast<utils::milliseconds>(m_now - worker.clockOrigin).count();
}

void simulated_fleet::schedule(utils::milliseconds delay, std::function<void()> action)
{
    m_events.push_back({ m_now + delay, m_nextEvent++, std::move(action) });
    std::ranges::push_heap(m_events, std::greater());
}

void simulated_fleet::run(utils::milliseconds duration)
{
    const auto end = m_now + duration;
    while (m_now < end)
        step();
}

bool simulated_fleet::runUntil(const std::function<bool()>& condition, utils::milliseconds limit)
{
    const auto end = m_now + limit;
    while (m_now < end) {
        if (condition())
            return true;
        step();
    }
    return condition();
}

void simulated_fleet::step()
{
    m_now += tick;
    confirmStoreViews();
    // After a pause, timers run before what has arrived is handled.
    if (m_lag && m_now >= m_nextDecision) {
        m_nextDecision = m_lag->handledAt(leader_input::Decision, m_now + tick);
        decide();
    }
    while (!m_events.empty() && m_events.front().at <= m_now) {
        std::ranges::pop_heap(m_events, std::greater());
        const auto action = std::move(m_events.back().action);
        m_events.pop_back();
        action();
    }
    for (auto& [id, worker] : m_workers)
        endRuns(*worker);
    for (const auto& id : m_guard.overdueWorkers(m_now)) {
        const auto& worker = *m_workers.at(id);
        if (!isReachable(worker, m_term) || worker.faults.isDown || worker.faults.isReplaced || worker.faults.losesObserveReplies)
            continue;
        auto overdue = report(worker);
        review(id, overdue, worker.fence);
    }
    if (!m_lag)
        decide();
    if (auto* former = engineOfTerm(m_formerTerm); former != nullptr && former != m_engine.get() && !former->isDeposed()) {
        // Without the store, the copies of the directory and the cancellations count as current for the grace period.
        former->confirmDirectory(m_now);
        former->confirmCancellations(m_now);
        for (const auto& command : former->decideCommands(m_now))
            execute(command, m_formerTerm);
    }
    storeProgress();
    checkStepCounts();
    for (const auto& known : m_jobs) {
        const auto& id = known.first;
        if (m_engine->phase(id) != job_phase::Failed)
            continue;
        const bool hasFailedFinally = std::ranges::any_of(m_failureCounts, [&](const auto& entry) { return entry.first.job == id && entry.second >= 3; });
        const bool hasCrashed = std::ranges::any_of(m_crashesUnderTask, [&](const auto& entry) { return entry.first.job == id && entry.second >= 2; });
        if (!hasFailedFinally && !hasCrashed && m_reportedJobs.insert(id).second)
            m_violations.push_back(absl::StrCat(id, " is reported as failed before its last attempt"));
    }
}

void simulated_fleet::decide()
{
    // Stops and lease renewals don't wait for starts.
    bool hasStart = false;
    for (const auto& command : m_engine->decideCommands(m_now)) {
        ++m_commandCount;
        const bool isStart = std::holds_alternative<start_command>(command);
        if (hasStart && !isStart)
            m_violations.emplace_back("a start is sent before other orders of the same decision");
        hasStart = hasStart || isStart;
        execute(command, m_term);
    }
}

void simulated_fleet::checkStepCounts()
{
    std::set<const job_state*> jobs;
    for (const auto& [id, worker] : m_engine->workers()) {
        for (const auto* run : worker->runs)
            jobs.insert(run->job);
    }
    for (const auto* job : jobs) {
        for (const auto& step : job->steps) {
            const auto busyCount = std::ranges::count_if(step.tasks, [](const auto& task) { return !task.isDone && !task.runs.empty(); });
            const auto doneCount = std::ranges::count_if(step.tasks, [](const auto& task) { return task.isDone; });
            if (step.busyCount != busyCount || step.doneCount != doneCount)
                m_violations.push_back(absl::StrCat(job->spec.id, " counts ", step.busyCount, " busy and ", step.doneCount, " done tasks instead of ", busyCount, " and ", doneCount));
        }
    }
}

void simulated_fleet::storeProgress()
{
    m_engine->releaseEndedJobs(m_now);
    if (m_isStoreDown)
        return;
    if (m_engine->needsRosterWrite()) {
        m_roster = m_engine->roster();
        m_engine->markRosterStored(m_roster);
    }
    for (const auto& write : m_engine->takeProgressWrites(64)) {
        m_progress[write.job] = *parseProgress(write.value);
        schedule(storeDelay, [this, write, term = m_term] {
            if (term == m_term)
                m_engine->markProgressStored(write.job, write.version);
        });
    }
}

unsigned simulated_fleet::startCount(const external::task_id& task) const
{
    const auto found = m_startCounts.find(task);
    return found == m_startCounts.end() ? 0 : found->second;
}

std::vector<std::string> simulated_fleet::workersRunning(const std::string& job) const
{
    std::vector<std::string> workers;
    for (const auto& [id, worker] : m_workers) {
        for (const auto& [task, run] : worker->running) {
            if (task.job == job)
                workers.push_back(id);
        }
    }
    return workers;
}

} // namespace camphorsaddle::jobs::test
