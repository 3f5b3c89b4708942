#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    constexpr utils::milliseconds millisecondsBetween(utils::time_point from, utils::time_point to)
    {
        return std::chrono::duration_cast<utils::milliseconds>(to - from);
    }

    constexpr utils::milliseconds reviewInterval { 50 };
    constexpr utils::milliseconds objectiveInterval { 500 };
    // Work that fills waits this long for a place where it harms nobody, before it takes the least harmful one.
    constexpr utils::milliseconds fillPatience { 1500 };
    // Against the share of a worker that is taken, and against headroom and idle processors.
    constexpr double servingArrangementWeight = 4.0;
    constexpr double fillArrangementWeight = 0.5;
    // More than any other difference between two workers.
    constexpr double avoidedCost = 10;
    // Headroom that a task which fills has to leave to the servers beside it.
    constexpr double strictHeadroom = 1.1;
    constexpr double relaxedHeadroom = 0.7;
    // A run is taken as stalled when its rest needs this many times the duration of a sibling.
    constexpr double stalledFactor = 1.6;
    constexpr double unknownStalledFactor = 4.0;
    // Reports are up to a waiting observation old, and a restart costs the restore of a checkpoint.
    constexpr utils::milliseconds stalledSlack { 700 };
    // Work that fills rests while its neighbours use their processors.
    constexpr utils::milliseconds fillStandstill { 3500 };
    // Work that is paced down so far is moved where it can go on, unless most of it would be lost.
    constexpr int crawlingPace = 25;
    constexpr utils::milliseconds crawlingTime { 900 };
    // Reports, which make places better, are half a second apart; a search looks at the whole fleet.
    constexpr utils::milliseconds placeInterval { 250 };
    constexpr int restartPercent = 30;
    constexpr utils::milliseconds leftTime { 4000 };
    // A task that lasts is at work shortly after its start.
    constexpr utils::milliseconds servingStartLimit { 2500 };
    // Siblings and their progress that a comparison needs.
    constexpr std::size_t leastSiblings = 2;
    constexpr int leastProgress = 10;
    // More moves than this rather show that the task itself is long.
    constexpr std::size_t moveLimit = 3;

} // namespace

struct job_engine::idle_step {
    job_state* job = nullptr;
    unsigned step = 0;
    //! Sort key: tasks that last, value that is left, priority, begun jobs, deadline.
    std::tuple<int, int, int, int, utils::time_point> order;
    std::vector<unsigned> tasks;
};

std::vector<engine_command> job_engine::decideCommands(utils::time_point now)
{
    std::vector<engine_command> commands;
    // What only time brings about is looked at less often than what answers bring about.
    if (now >= m_reviewedAt + reviewInterval) {
        m_reviewedAt = now;
        endRestoration(now);
        expireLeases(now);
        moveFromLeaving(now);
        findStalledRuns(now);
        releaseOldPlaces(now);
        arrangeServing(now);
        for (auto& [id, worker] : m_workers)
            paceFills(*worker, now, commands);
        m_hasOpening = true;
    }
    if (m_hasOpening)
        dispatch(now, commands);
    m_hasOpening = false;
    orderStops(now, commands);
    for (auto& [id, worker] : m_workers)
        observe(*worker, now, commands);
    return commands;
}

void job_engine::expireLeases(utils::time_point now)
{
    for (auto& [id, worker] : m_workers) {
        if (worker->silences == 0 || worker->runs.empty() || now < worker->leaseOverAt)
            continue;
        loseRuns(*worker, now, "the lease of its silent worker is over");
        worker->isFenced = false;
    }
}

void job_engine::moveFromLeaving(utils::time_point now)
{
    for (auto& [id, worker] : m_workers) {
        if (!worker->description.isDraining)
            continue;
        for (auto* run : worker->runs) {
            const auto& spec = run->job->spec.steps[run->step];
            if (run->phase == run_phase::Running && spec.lasts && spec.maximumUnavailableTasks == 0)
                stopRun(*run, now, "its worker leaves");
        }
    }
}

void job_engine::findStalledRuns(utils::time_point now)
{
    for (auto* job : m_active) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            auto& step = job->steps[number];
            if (!step.isReady || step.doneCount == step.tasks.size())
                continue;
            for (auto& task : step.tasks) {
                if (task.runs.size() != 1 || task.runs.front()->phase != run_phase::Running || task.avoided.size() >= moveLimit)
                    continue;
                auto& run = *task.runs.front();
                const auto& spec = job->spec.steps[number];
                const auto why = spec.lasts ? failingServer(run, now) : spec.fills ? standingFill(run, task, now)
                                                                                   : crawlingRun(run, now);
                if (!why)
                    continue;
                task.avoided.push_back(run.worker->description.id);
                run.worker->trust.stalled(now);
                if (!spec.speculative || spec.lasts)
                    stopRun(run, now, *why);
            }
        }
    }
}

std::optional<std::string> job_engine::failingServer(const run_state& run, utils::time_point now) const
{
    const auto since = run.runningSince + servingStartLimit;
    if (run.percent == 100 || now < since || run.worker->answeredAt < since)
        return std::nullopt;
    return "it does not serve";
}

std::optional<std::string> job_engine::standingFill(run_state& run, task_state& task, utils::time_point now)
{
    const auto& spec = run.job->spec.steps[run.step];
    const bool mayMove = spec.checkpoints || run.percent < restartPercent;
    const bool crawls = run.pace <= crawlingPace && now - run.pacedAt > crawlingTime;
    if (crawls && mayMove && now >= run.placeSoughtAt + placeInterval) {
        run.placeSoughtAt = now;
        if (hasBetterPlace(*run.job, run.step, task, now)) {
            // The worker is not to blame, but its neighbours are as they were.
            task.left = run.worker;
            task.leftUntil = now + leftTime;
            stopRun(run, now, absl::StrCat("it crawls at pace ", run.pace, ", ", run.percent, "% done"));
            return std::nullopt;
        }
    }
    const bool stands = run.pace > 0 && now - run.percentChangedAt > fillStandstill && run.worker->answeredAt > run.percentChangedAt + fillStandstill / 2;
    return stands ? std::optional(absl::StrCat("it stands still at ", run.percent, "%")) : std::nullopt;
}

// Compares a run with its siblings, done or running, since estimates are off by up to ten times.
std::optional<std::string> job_engine::crawlingRun(const run_state& run, utils::time_point now) const
{
    const auto& step = run.job->steps[run.step];
    const auto siblings = siblingDuration(run);
    const double expected = siblings.value_or(static_cast<double>(expectedDuration(*run.job, run.step).count()));
    const double factor = siblings || step.durationCount > 0 ? stalledFactor : unknownStalledFactor;
    const auto elapsed = millisecondsBetween(run.runningSince, now);
    if (static_cast<double>(elapsed.count()) < expected * 0.5 + static_cast<double>(stalledSlack.count()))
        return std::nullopt;
    const int gained = run.percent - std::max(run.firstPercent, 0);
    const auto observedFor = static_cast<double>(millisecondsBetween(run.runningSince, run.worker->answeredAt).count());
    // The progress was reported when the worker answered last; since then nothing is known.
    const double unknownFor = static_cast<double>(millisecondsBetween(run.worker->answeredAt, now).count());
    const double rest = gained > 0 ? observedFor * (100 - run.percent) / gained - unknownFor : expected * factor + static_cast<double>(elapsed.count());
    if (rest < expected * factor + static_cast<double>(stalledSlack.count()))
        return std::nullopt;
    return absl::StrCat("it stalls at ", run.percent, "% after ", elapsed.count(), " ms, siblings take ", static_cast<int>(expected));
}

std::optional<double> job_engine::siblingDuration(const run_state& run) const
{
    const auto& step = run.job->steps[run.step];
    if (step.durationCount > 0)
        return step.durationSum / step.durationCount;
    std::vector<double> totals;
    for (const auto& task : step.tasks) {
        for (const auto& other : task.runs) {
            const int gained = other->percent - std::max(other->firstPercent, 0);
            if (other->worker == run.worker || other->phase != run_phase::Running || gained < leastProgress)
                continue;
            totals.push_back(static_cast<double>(millisecondsBetween(other->runningSince, other->worker->answeredAt).count()) * 100 / gained);
        }
    }
    if (totals.size() < leastSiblings)
        return std::nullopt;
    const auto middle = totals.begin() + static_cast<std::ptrdiff_t>(totals.size() / 2);
    std::ranges::nth_element(totals, middle);
    return *middle;
}

std::vector<job_engine::idle_step> job_engine::idleSteps(utils::time_point now) const
{
    std::vector<idle_step> result;
    for (auto* job : m_active) {
        const auto* rules = rulesOf(*job);
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& step = job->steps[number];
            if (!step.isReady || step.doneCount == step.tasks.size())
                continue;
            const auto& spec = job->spec.steps[number];
            idle_step idle { job, number, {}, {} };
            for (unsigned index = 0; index < step.tasks.size(); ++index) {
                const auto& task = step.tasks[index];
                if (task.isDone || now < task.notBefore || (task.mayRunElsewhere && m_isRestoring))
                    continue;
                // A copy runs beside a stalled run, never beside one that may not have started.
                const bool wantsCopy = spec.speculative && task.runs.size() == 1 && task.runs.front()->phase == run_phase::Running
                    && std::ranges::find(task.avoided, task.runs.front()->worker->description.id) != task.avoided.end() && task.failedRuns.size() + 1 < attemptsOf(*job);
                if (task.runs.empty() || wantsCopy)
                    idle.tasks.push_back(index);
            }
            if (idle.tasks.empty())
                continue;
            const auto objective = cachedObjective(*job, now);
            const auto rest = expectedDuration(*job, number);
            const auto threefold = job->acceptedAt + (objective - job->acceptedAt) * 3;
            const int lostValue = now + rest <= objective ? 0 : now + rest <= threefold ? 1
                                                                                        : 2;
            idle.order = { spec.lasts ? 0 : 1, spec.lasts ? 0 : lostValue, rules == nullptr ? 9 : rules->priority, job->phase == job_phase::Running ? 0 : 1, objective };
            result.push_back(std::move(idle));
        }
    }
    std::ranges::sort(result, {}, &idle_step::order);
    return result;
}

// Servers go where what disturbs them is kept away anyway; work that fills leaves the open workers to what needs them.
double job_engine::arrangementCost(const worker_state& worker, const step_spec& step, image_number image) const
{
    if (step.lasts && step.target.count() > 0)
        return servingArrangementWeight * m_arrangement.costOfAdding(worker.blockers, m_interference.enemies(image));
    return step.fills ? -fillArrangementWeight * worker.blocked : 0;
}

std::optional<double> job_engine::costOf(const worker_state& worker, const job_state& job, unsigned step, utils::time_point now, placement_mode mode) const
{
    ++m_placesWeighed;
    const auto& spec = job.spec.steps[step];
    const auto image = job.steps[step].image;
    if (!worker.isOnRoster || !mayPlace(worker, spec, job.spec.service, m_settings.withdrawalGrace, now))
        return std::nullopt;
    if (spec.maximumTasksPerWorker > 0 && runsOfStep(worker, job, step) >= spec.maximumTasksPerWorker)
        return std::nullopt;
    if (spec.fills && !fillFits(worker, spec, image, m_interference, mode == placement_mode::Strict ? strictHeadroom : relaxedHeadroom))
        return std::nullopt;
    return placementCost(worker, spec, image, m_interference) + arrangementCost(worker, spec, image);
}

worker_state* job_engine::choose(const job_state& job, unsigned step, const task_state& task, utils::time_point now, placement_mode mode) const
{
    worker_state* best = nullptr;
    double bestCost = 0;
    for (const auto& [id, worker] : m_workers) {
        const auto* candidate = worker.get();
        if (candidate == task.left && now < task.leftUntil)
            continue;
        if (std::ranges::any_of(task.runs, [&](const auto& run) { return run->worker == candidate; }))
            continue;
        auto cost = costOf(*worker, job, step, now, mode);
        if (!cost)
            continue;
        if (std::ranges::find(task.avoided, id) != task.avoided.end())
            *cost += avoidedCost;
        if (best == nullptr || *cost < bestCost) {
            best = worker.get();
            bestCost = *cost;
        }
    }
    return best;
}

bool job_engine::hasBetterPlace(const job_state& job, unsigned step, const task_state& task, utils::time_point now) const
{
    const auto* other = choose(job, step, task, now, placement_mode::Strict);
    return other != nullptr && idleProcessors(*other) >= job.spec.steps[step].taskResources.processors;
}

utils::time_point job_engine::cachedObjective(job_state& job, utils::time_point now) const
{
    if (now >= job.objectiveAt + objectiveInterval) {
        job.objective = objectiveOf(job);
        job.objectiveAt = now;
    }
    return job.objective;
}

namespace {

    //! A task that found no place in this round; larger ones of its kind find none either.
    struct failed_search {
        const step_spec* step;
        image_number image;
        const std::string* service;
        bool isPatient;
    };

    bool isCovered(const std::vector<failed_search>& failed, const failed_search& wanted)
    {
        return std::ranges::any_of(failed, [&](const failed_search& search) {
            const auto& step = *search.step;
            return search.isPatient == wanted.isPatient && search.image == wanted.image && step.fills == wanted.step->fills && step.lasts == wanted.step->lasts
                && step.label == wanted.step->label && *search.service == *wanted.service && step.taskResources.fitsIn(wanted.step->taskResources);
        });
    }

} // namespace

//! Places for the tasks of a step, the cheapest first. A start changes the cost of its own worker only, so that the
//! workers are looked at once a step and not once a task.
class job_engine::place_search {
public:
    place_search(const job_engine& engine, const job_state& job, unsigned step, utils::time_point now)
        : m_engine(engine)
        , m_job(job)
        , m_step(step)
        , m_now(now)
    {
    }

    worker_state* next(const task_state& task, placement_mode mode)
    {
        const bool isLikeOthers = task.runs.empty() && task.avoided.empty() && (task.left == nullptr || m_now >= task.leftUntil);
        if (!isLikeOthers)
            return m_engine.choose(m_job, m_step, task, m_now, mode);
        if (mode != m_mode)
            fill(mode);
        return m_places.empty() ? nullptr : m_places.front().worker;
    }

    //! The worker got a task, which changed its cost.
    void started(worker_state& worker)
    {
        if (!m_mode)
            return;
        if (!m_places.empty() && m_places.front().worker == &worker) {
            std::ranges::pop_heap(m_places, isWorse);
            m_places.pop_back();
        } else {
            std::erase_if(m_places, [&](const place& known) { return known.worker == &worker; });
            std::ranges::make_heap(m_places, isWorse);
        }
        if (const auto cost = m_engine.costOf(worker, m_job, m_step, m_now, *m_mode)) {
            m_places.push_back({ *cost, &worker });
            std::ranges::push_heap(m_places, isWorse);
        }
    }

private:
    struct place {
        double cost;
        worker_state* worker;
    };

    static bool isWorse(const place& left, const place& right)
    {
        return std::tie(left.cost, left.worker->description.id) > std::tie(right.cost, right.worker->description.id);
    }

    void fill(placement_mode mode)
    {
        m_mode = mode;
        m_places.clear();
        for (const auto& [id, worker] : m_engine.m_workers) {
            if (const auto cost = m_engine.costOf(*worker, m_job, m_step, m_now, mode))
                m_places.push_back({ *cost, worker.get() });
        }
        std::ranges::make_heap(m_places, isWorse);
    }

    const job_engine& m_engine;
    const job_state& m_job;
    unsigned m_step;
    utils::time_point m_now;
    std::optional<placement_mode> m_mode;
    std::vector<place> m_places;
};

void job_engine::dispatch(utils::time_point now, std::vector<engine_command>& commands)
{
    std::vector<failed_search> failed;
    for (const auto& idle : idleSteps(now)) {
        auto& job = *idle.job;
        const auto& spec = job.spec.steps[idle.step];
        place_search places(*this, job, idle.step, now);
        for (const unsigned index : idle.tasks) {
            auto& task = job.steps[idle.step].tasks[index];
            if (task.heldOn != nullptr) {
                auto& held = *task.heldOn;
                startHeld(job, idle.step, index, now, commands);
                places.started(held);
                continue;
            }
            const bool isPatient = !spec.fills || now < task.waitingSince + fillPatience;
            const failed_search search { &spec, job.steps[idle.step].image, &job.spec.service, isPatient };
            if (isCovered(failed, search))
                break;
            auto* worker = places.next(task, isPatient ? placement_mode::Strict : placement_mode::Relaxed);
            if (worker == nullptr) {
                if (spec.maximumTasksPerWorker == 0 && task.runs.empty())
                    failed.push_back(search);
                break;
            }
            startTask(job, idle.step, index, *worker, now, commands);
            places.started(*worker);
        }
    }
}

// A task that moves waits for its place until the hold ends.
void job_engine::startHeld(job_state& job, unsigned step, unsigned index, utils::time_point now, std::vector<engine_command>& commands)
{
    auto& task = job.steps[step].tasks[index];
    const auto& spec = job.spec.steps[step];
    const auto& taskResources = spec.taskResources;
    auto& worker = *task.heldOn;
    const bool isFull = spec.maximumTasksPerWorker > 0 && runsOfStep(worker, job, step) >= spec.maximumTasksPerWorker;
    if (isFull || !mayServe(worker, spec, now)) {
        releasePlace(job, step, task);
        return;
    }
    if (!taskResources.fitsIn(worker.description.capacity - worker.charged + taskResources))
        return;
    releasePlace(job, step, task);
    startTask(job, step, index, worker, now, commands);
}

void job_engine::startTask(job_state& job, unsigned step, unsigned index, worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    auto& task = job.steps[step].tasks[index];
    const auto& spec = job.spec.steps[step];
    auto& run = openRun(job, step, index, worker, task.lastRun + 1, now);
    if (spec.fills) {
        addUse(worker.unreportedUse, run.image, static_cast<double>(spec.taskResources.processors) / static_cast<double>(worker.description.capacity.processors));
        updateRooms(worker, m_interference);
    }
    run.checkpoint = spec.checkpoints ? task.checkpoint : std::string();
    commands.push_back(start_command { { worker.description.id, worker.description.endpoint }, { idOf(run), job.spec.payload, run.checkpoint, grantLease(worker, now), m_term } });
}

void job_engine::orderStops(utils::time_point now, std::vector<engine_command>& commands)
{
    for (auto& [id, worker] : m_workers) {
        for (auto* run : worker->runs) {
            if (run->phase != run_phase::Stopping || run->isStopUnderWay)
                continue;
            if (run->stopSentAt != utils::time_point() && now < run->stopSentAt + m_settings.stopRepeat)
                continue;
            run->stopSentAt = now;
            run->isStopUnderWay = true;
            commands.push_back(stop_command { { id, worker->description.endpoint }, idOf(*run) });
        }
    }
}

} // namespace camphorsaddle::jobs
