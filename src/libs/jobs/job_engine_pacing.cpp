#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // All best-effort work beside a service task that has missed its latency target for this time is paused, whatever
    // the interference model predicts. Well below the time after which the users count the other tasks as harmful.
    constexpr utils::milliseconds maximumTargetMissTime { 2000 };
    // Headroom below which best-effort work beside a service task is slowed down, which slowing down aims at, and above
    // which the work is sped up. The margins allow for reports that are half a second old while the load fluctuates.
    constexpr double slowDownHeadroom = 1.15;
    constexpr double targetHeadroom = 1.4;
    constexpr double speedUpHeadroom = 1.6;
    // A run that reduces the headroom by less than this at full pace isn't slowed down.
    constexpr double negligibleLoss = 0.2;
    // Time after which the tail latency, measured over half a second, reflects a new pace.
    constexpr utils::milliseconds paceEffectDelay { 550 };
    constexpr int minimumPaceChange = 10;
    // A miss is logged from this duration on.
    constexpr utils::milliseconds loggedTargetMissTime { 1000 };

    bool isServing(const run_state& run)
    {
        const auto& spec = run.job->spec.steps[run.step];
        return spec.isLongRunning && spec.latencyTarget.count() > 0 && run.phase == run_phase::Running && run.percent == 100;
    }

} // namespace

// Called for each report of a worker.
void job_engine::sampleLatencies(worker_state& worker, utils::time_point now)
{
    best_effort_usage usage;
    for (const auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (spec.isBestEffort && run->load > 0)
            addUsage(usage, run->image, shareOfCapacity(worker, run->load));
    }
    worker.unreportedUsage.clear();
    for (const auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (spec.isBestEffort && run->load == 0 && run->pace > 0)
            addUsage(worker.unreportedUsage, run->image, shareOfCapacity(worker, spec.taskResources.processors) * run->pace / 100);
    }
    for (auto* run : worker.runs) {
        if (!isServing(*run) || run->load <= 0) {
            run->latencySample = {};
            continue;
        }
        const auto& spec = run->job->spec.steps[run->step];
        const double headroom = static_cast<double>(spec.latencyTarget.count()) / static_cast<double>(run->load);
        const auto sample = m_interference.nextSample(run->image, run->latencySample, headroom, usage, now);
        m_interference.updateEstimates(run->image, run->latencySample, sample);
        const auto missedSince = run->latencySample.targetMissedSince;
        run->latencySample = sample;
        if (sample.targetMissedSince != utils::time_point())
            reportMissedTarget(*run, now);
        else if (std::exchange(run->isMissLogged, false))
            reportEvent(engine_event_kind::TargetMet, *run, absl::StrCat("missed_ms=", utils::millisecondsBetween(missedSince, now).count()));
    }
    updateServiceHeadrooms(worker, m_interference);
    for (auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (!spec.isBestEffort || run->phase != run_phase::Running)
            continue;
        const auto atFullPace = run->startClock == 0 || run->pace < 100 ? utils::milliseconds(0) : utils::milliseconds(worker.reportClock - std::max(run->startClock, run->paceClock));
        worker.bestEffortUsage -= run->occupied;
        run->occupied = occupiedProcessors(spec.taskResources.processors, run->load, atFullPace);
        worker.bestEffortUsage += run->occupied;
    }
}

void job_engine::reportMissedTarget(run_state& run, utils::time_point now)
{
    const auto missedTime = utils::millisecondsBetween(run.latencySample.targetMissedSince, now);
    if (run.isMissLogged || missedTime < loggedTargetMissTime)
        return;
    run.isMissLogged = true;
    const auto& worker = *run.worker;
    unsigned runCount = 0;
    int paceSum = 0;
    unsigned unansweredOrders = 0;
    unsigned recentChanges = 0;
    unsigned otherPhases = 0;
    for (const auto* other : worker.runs) {
        if (!other->job->spec.steps[other->step].isBestEffort)
            continue;
        ++runCount;
        paceSum += other->pace;
        unansweredOrders += other->isPaceOrderPending ? 1 : 0;
        recentChanges += worker.answeredAt < other->paceChangedAt + paceEffectDelay ? 1 : 0;
        otherPhases += other->phase != run_phase::Running ? 1 : 0;
    }
    reportEvent(engine_event_kind::TargetMissed, run, absl::StrCat("missed_ms=", missedTime.count(), " tail_ms=", run.load, " target_ms=", run.job->spec.steps[run.step].latencyTarget.count(), " report_age_ms=", utils::millisecondsBetween(worker.reportSentAt, now).count(), " best_effort=", runCount, " pace_sum=", paceSum, " pace_unanswered=", unansweredOrders, " pace_recent=", recentChanges, " not_running=", otherPhases));
}

void job_engine::orderPace(run_state& run, int percent, utils::time_point now, std::vector<engine_command>& commands)
{
    const auto& worker = *run.worker;
    run.isPaceOrderPending = true;
    commands.push_back(pace_command { { worker.description.id, worker.description.endpoint }, idOf(run), percent, worker.fence });
    reportEvent(engine_event_kind::PaceOrdered, run, absl::StrCat("pace=", percent, " former=", run.isPaceKnown ? run.pace : -1, " report_age_ms=", utils::millisecondsBetween(worker.reportSentAt, now).count()), true);
}

void job_engine::paceBestEffortRuns(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    // Between reports nothing changes, except that the target of an unresponsive worker's service task is missed for longer.
    const bool isReviewDue = worker.isPaceReviewDue || worker.unansweredObserves > 0;
    if (!isReviewDue || worker.bestEffortProcessors == 0 || !worker.hasAcceptedTerm)
        return;
    worker.isPaceReviewDue = false;
    const bool isTargetMissed = std::ranges::any_of(worker.runs, [](const auto* run) { return isServing(*run) && run->latencySample.headroom > 0 && run->latencySample.headroom < 1; });
    std::vector<run_state*> bestEffortRuns;
    for (auto* run : worker.runs) {
        if (!run->job->spec.steps[run->step].isBestEffort || run->phase != run_phase::Running)
            continue;
        // The report doesn't reflect the last change of the pace yet.
        if (run->isPaceOrderPending || worker.answeredAt < run->paceChangedAt + paceEffectDelay)
            return;
        if (!run->isPaceKnown) {
            orderPace(*run, isTargetMissed ? 0 : run->pace, now, commands);
            continue;
        }
        bestEffortRuns.push_back(run);
    }
    const auto headroomLossOf = [&](const run_state& serviceRun, const run_state& bestEffortRun) {
        const auto& spec = bestEffortRun.job->spec.steps[bestEffortRun.step];
        return m_interference.pressure(serviceRun.image, bestEffortRun.image) * shareOfCapacity(worker, spec.taskResources.processors);
    };
    std::map<run_state*, int> paces;
    for (auto* bestEffortRun : bestEffortRuns)
        paces[bestEffortRun] = bestEffortRun->pace;
    // The service task with the least headroom limits how much a run may be sped up.
    for (auto* bestEffortRun : bestEffortRuns) {
        double paceIncrease = 1;
        for (const auto* run : worker.runs) {
            if (!isServing(*run) || run->latencySample.headroom <= 0)
                continue;
            const double loss = headroomLossOf(*run, *bestEffortRun);
            if (loss > negligibleLoss)
                paceIncrease = std::min(paceIncrease, run->latencySample.headroom < speedUpHeadroom ? 0.0 : (run->latencySample.headroom - targetHeadroom) / loss / static_cast<double>(bestEffortRuns.size()));
        }
        paces[bestEffortRun] = std::min(100, bestEffortRun->pace + static_cast<int>(100 * std::max(paceIncrease, 0.0)));
    }
    for (const auto* run : worker.runs) {
        if (!isServing(*run) || run->latencySample.headroom <= 0 || run->latencySample.headroom >= slowDownHeadroom)
            continue;
        const bool isTargetMissedTooLong = run->latencySample.targetMissedSince != utils::time_point() && now > run->latencySample.targetMissedSince + maximumTargetMissTime;
        double missingHeadroom = isTargetMissedTooLong ? std::numeric_limits<double>::infinity() : targetHeadroom - run->latencySample.headroom;
        auto byLoss = bestEffortRuns;
        std::ranges::sort(byLoss, [&](const auto* left, const auto* right) { return headroomLossOf(*run, *left) > headroomLossOf(*run, *right); });
        for (auto* bestEffortRun : byLoss) {
            const double loss = headroomLossOf(*run, *bestEffortRun);
            if (missingHeadroom <= 0 || (loss < negligibleLoss && !isTargetMissedTooLong))
                break;
            const int paceReduction = isTargetMissedTooLong ? bestEffortRun->pace : std::min(bestEffortRun->pace, static_cast<int>(100 * missingHeadroom / loss) + 1);
            paces[bestEffortRun] = std::min(paces[bestEffortRun], bestEffortRun->pace - paceReduction);
            missingHeadroom -= loss * paceReduction / 100;
        }
    }
    for (const auto& [bestEffortRun, pace] : paces) {
        const bool isWorthwhile = std::abs(pace - bestEffortRun->pace) >= minimumPaceChange || pace == 0 || pace == 100;
        if (pace == bestEffortRun->pace || !isWorthwhile)
            continue;
        orderPace(*bestEffortRun, pace, now, commands);
    }
}

} // namespace camphorsaddle::jobs
