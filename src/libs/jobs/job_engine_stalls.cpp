#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // A run is stalled if its estimated remaining time exceeds this multiple of the duration of its sibling tasks, or
    // of the estimate if no sibling is known.
    constexpr double stalledFactor = 1.6;
    constexpr double stalledFactorWithoutSiblings = 4.0;
    // A report may be as old as a long poll, and a restart takes the time to restore a checkpoint.
    constexpr utils::milliseconds stalledMargin { 700 };
    // Longer than best-effort runs usually pause while other tasks use all processors.
    constexpr utils::milliseconds bestEffortStallTimeout { 3500 };
    // A best-effort run that has been paced down to this percentage is moved to another worker, unless too much of its
    // work would be lost.
    constexpr int crawlingPacePercent = 25;
    constexpr utils::milliseconds crawlingTimeout { 900 };
    // A run without checkpoints is moved only below this progress.
    constexpr int restartPercentLimit = 30;
    constexpr utils::milliseconds leftWorkerAvoidanceTime { 4000 };
    // A long-running task must serve within this time after its start.
    constexpr utils::milliseconds longRunningStartTimeout { 2500 };
    // Minimum number of running siblings, and of their progress in percent, for a comparison.
    constexpr std::size_t minimumSiblings = 2;
    constexpr int minimumSiblingPercent = 10;
    // A task that stalled on this many workers is probably just longer than its siblings.
    constexpr std::size_t maximumMoves = 3;
    // Two long polls and the answers to them. An older report doesn't tell what a run does now.
    constexpr utils::milliseconds maximumReportAge { 2500 };

    bool hasRecentReport(const worker_state& worker, utils::time_point now)
    {
        return now <= worker.reportSentAt + maximumReportAge;
    }

    //! For how long the run had worked, by its worker's clock, when its progress was reported.
    utils::milliseconds observedTime(const run_state& run)
    {
        return utils::milliseconds(run.startClock == 0 ? 0 : run.worker->reportClock - run.startClock);
    }

    std::string describeReport(const run_state& run, utils::time_point now)
    {
        return absl::StrCat("; report_age_ms=", utils::millisecondsBetween(run.worker->reportHandledAt, now).count(), "..", utils::millisecondsBetween(run.worker->reportSentAt, now).count());
    }

} // namespace

void job_engine::handleStalledRuns(utils::time_point now)
{
    m_moveTargets.clear();
    // Each review begins where the searches of the last one ended.
    const std::size_t first = m_moveReviewOffset;
    for (std::size_t position = 0; position < m_activeJobs.size(); ++position) {
        auto* job = m_activeJobs[(first + position) % m_activeJobs.size()];
        const auto searchesBefore = m_moveTargets.size();
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            auto& step = job->steps[number];
            if (!step.isReady || step.doneCount == step.tasks.size())
                continue;
            for (auto& task : step.tasks) {
                if (task.runs.size() != 1 || task.runs.front()->phase != run_phase::Running || task.avoidedWorkers.size() >= maximumMoves)
                    continue;
                auto& run = *task.runs.front();
                const auto& spec = job->spec.steps[number];
                if (spec.isBestEffort) {
                    moveCrawlingRun(run, task, now);
                    if (run.phase != run_phase::Running)
                        continue;
                }
                const auto reason = spec.isLongRunning ? longRunningFailureReason(run, now) : spec.isBestEffort ? bestEffortStallReason(run, now)
                                                                                                                : batchStallReason(run, now);
                if (!reason)
                    continue;
                task.avoidedWorkers.push_back(run.worker->description.id);
                run.worker->reliability.recordStall(now);
                if (!spec.speculative || spec.isLongRunning)
                    stopRun(run, now, *reason);
            }
        }
        if (m_moveTargets.size() > searchesBefore)
            m_moveReviewOffset = (first + position + 1) % m_activeJobs.size();
    }
}

std::optional<std::string> job_engine::longRunningFailureReason(const run_state& run, utils::time_point now) const
{
    if (run.percent == 100 || !hasRecentReport(*run.worker, now) || observedTime(run) < longRunningStartTimeout)
        return std::nullopt;
    return absl::StrCat("it did not start serving in time", describeReport(run, now));
}

void job_engine::moveCrawlingRun(run_state& run, task_state& task, utils::time_point now)
{
    const auto& spec = run.job->spec.steps[run.step];
    const bool mayMove = spec.hasCheckpoints || run.percent < restartPercentLimit;
    const bool isCrawling = run.pace <= crawlingPacePercent && now - run.paceChangedAt > crawlingTimeout;
    if (!isCrawling || !mayMove || !takeBetterWorker(run, task, now))
        return;
    // The worker isn't at fault, but its service tasks would slow the run down again.
    task.leftWorker = run.worker;
    task.leftWorkerAvoidedUntil = now + leftWorkerAvoidanceTime;
    stopRun(run, now, absl::StrCat("it is limited to pace ", run.pace, " at ", run.percent, "% progress"));
}

std::optional<std::string> job_engine::bestEffortStallReason(const run_state& run, utils::time_point now) const
{
    const utils::milliseconds withoutProgress(run.worker->reportClock - std::max({ run.startClock, run.progressClock, run.paceClock }));
    const bool isStalled = run.startClock != 0 && run.pace > 0 && hasRecentReport(*run.worker, now) && withoutProgress > bestEffortStallTimeout;
    return isStalled ? std::optional(absl::StrCat("it makes no progress at ", run.percent, "%", describeReport(run, now))) : std::nullopt;
}

// Compares a run with completed or running tasks of the same step, because callers' estimates are off by up to ten
// times.
std::optional<std::string> job_engine::batchStallReason(const run_state& run, utils::time_point now) const
{
    const auto elapsed = observedTime(run);
    if (!hasRecentReport(*run.worker, now) || elapsed < stalledMargin)
        return std::nullopt;
    const auto& step = run.job->steps[run.step];
    const auto siblings = siblingDuration(run);
    const double expected = siblings.value_or(static_cast<double>(expectedDuration(*run.job, run.step).expected.count()));
    const double factor = siblings || step.durations.count > 0 ? stalledFactor : stalledFactorWithoutSiblings;
    if (static_cast<double>(elapsed.count()) < expected * 0.5 + static_cast<double>(stalledMargin.count()))
        return std::nullopt;
    const int gained = run.percent - std::max(run.initialPercent, 0);
    const auto worked = static_cast<double>(elapsed.count());
    const auto sinceReport = static_cast<double>(utils::millisecondsBetween(run.worker->reportHandledAt, now).count());
    const double remainingDuration = gained > 0 ? worked * (100 - run.percent) / gained - sinceReport : expected * factor + worked;
    if (remainingDuration < expected * factor + static_cast<double>(stalledMargin.count()))
        return std::nullopt;
    return absl::StrCat("it is stalled at ", run.percent, "% after ", elapsed.count(), " ms; expected duration in ms: ", static_cast<int>(expected), describeReport(run, now));
}

std::optional<double> job_engine::siblingDuration(const run_state& run) const
{
    const auto& step = run.job->steps[run.step];
    if (step.durations.count > 0)
        return meanDuration(step.durations);
    std::vector<double> durations;
    for (const auto& task : step.tasks) {
        for (const auto& other : task.runs) {
            const int gained = other->percent - std::max(other->initialPercent, 0);
            const auto worked = observedTime(*other);
            if (other->worker == run.worker || other->phase != run_phase::Running || gained < minimumSiblingPercent || worked.count() <= 0)
                continue;
            durations.push_back(static_cast<double>(worked.count()) * 100 / gained);
        }
    }
    if (durations.size() < minimumSiblings)
        return std::nullopt;
    const auto median = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
    std::ranges::nth_element(durations, median);
    return *median;
}

} // namespace camphorsaddle::jobs
