#include "jobs/interference_guard.h"

#include <algorithm>
#include <utility>

namespace camphorsaddle::jobs {

namespace {

    // Time for which a target may be missed in a row of reports, half a second apart. The users count the other tasks as harmful after four seconds,
    // of which the first report and the effect of a pause take one.
    constexpr utils::milliseconds maximumMissTime { 1800 };
    // A miss has ended when the target was met for this time. Tail latencies are rough figures over half a second.
    constexpr utils::milliseconds minimumMetTime { 900 };
    // While a target is missed, the worker is observed at least this often.
    constexpr utils::milliseconds observationInterval { 600 };
    // Without a report for this time the leader no longer observes the worker, or not through this daemon.
    constexpr utils::milliseconds unobservedTime { 3000 };
    // A started run is listed after this time at the latest, or it is described again.
    constexpr utils::milliseconds listingTime { 2000 };
    // Time after which the load, measured over half a second, reflects a new pace.
    constexpr utils::milliseconds paceEffectTime { 800 };
    constexpr int fullPace = 100;

} // namespace

void interference_guard::describeRun(const std::string& worker, const external::described_run& described, std::uint64_t term, utils::time_point now)
{
    auto& run = m_workers[worker].runs[described.run];
    run.traits = described.traits;
    run.term = term;
    run.describedAt = now;
}

void interference_guard::describeStart(const std::string& worker, const external::described_run& described, std::uint64_t term, utils::time_point now)
{
    describeRun(worker, described, term, now);
    m_workers[worker].runs[described.run].pace = fullPace;
}

interference_guard::guarded_run* interference_guard::findRun(const std::string& worker, const external::run_id& id)
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end())
        return nullptr;
    const auto run = known->second.runs.find(id);
    return run == known->second.runs.end() ? nullptr : &run->second;
}

bool interference_guard::handleStartReply(const std::string& worker, const external::run_id& id, const external::order_reply& reply)
{
    auto* run = findRun(worker, id);
    if (run == nullptr || reply.outcome != external::order_outcome::Accepted || !run->traits.isBestEffort || !m_workers.at(worker).isHeld)
        return false;
    run->isPauseOrdered = true;
    return true;
}

void interference_guard::handlePaceReply(const std::string& worker, const external::run_id& id, int percent, const external::order_reply& reply)
{
    auto* run = findRun(worker, id);
    if (run == nullptr)
        return;
    run->isPauseOrdered = false;
    // An order without an answer may take effect seconds later.
    if (reply.outcome == external::order_outcome::NoAnswer)
        run->pace.reset();
    if (reply.outcome != external::order_outcome::Accepted)
        return;
    run->pace = percent;
    run->paceClock = std::max(run->paceClock, reply.clock);
}

utils::milliseconds interference_guard::updateMiss(guarded_run& run, const external::run_report& report, external::worker_time clock)
{
    const bool isServing = run.traits.latencyTarget.count() > 0 && report.percent == 100 && report.load > 0;
    if (!isServing) {
        run.missedSince = 0;
        run.metSince = 0;
        return utils::milliseconds(0);
    }
    if (report.load > run.traits.latencyTarget.count()) {
        run.metSince = 0;
        if (run.missedSince == 0)
            run.missedSince = clock;
    } else if (run.missedSince != 0) {
        if (run.metSince == 0)
            run.metSince = clock;
        if (clock - run.metSince >= minimumMetTime.count()) {
            run.missedSince = 0;
            run.metSince = 0;
        }
    }
    return utils::milliseconds(run.missedSince == 0 ? 0 : clock - run.missedSince);
}

bool interference_guard::needsPause(const guarded_run& run, const external::run_report& report, external::worker_time clock)
{
    if (!run.traits.isBestEffort || run.isPauseOrdered)
        return false;
    // An earlier order that was carried out late may have overwritten the pause.
    const bool worksInSpiteOfPause = report.load > 0 && clock >= run.paceClock + paceEffectTime.count();
    return run.pace != 0 || worksInSpiteOfPause;
}

guard_decision interference_guard::review(const std::string& workerId, external::observe_reply& report, std::uint64_t term, utils::time_point now)
{
    guard_decision decision;
    auto& state = report.workerState;
    if (report.outcome != external::order_outcome::Accepted)
        return decision;
    auto& worker = m_workers[workerId];
    if (state.incarnation != worker.incarnation) {
        // Runs of the former process are gone; those without a listing may be starts for this one.
        std::erase_if(worker.runs, [](const auto& entry) { return entry.second.isListed; });
        worker.incarnation = state.incarnation;
        worker.clock = 0;
    }
    // Answers on different connections may overtake each other.
    if (state.clock < worker.clock)
        return decision;
    worker.clock = state.clock;
    worker.reviewedAt = now;
    for (auto& entry : worker.runs)
        entry.second.isListed = false;
    const bool wasHeld = std::exchange(worker.isHeld, false);
    worker.isTargetMissed = false;
    for (auto& row : state.running) {
        const auto found = worker.runs.find(row.run);
        if (found == worker.runs.end() || found->second.term != term) {
            report.needsDescriptions = true;
            if (found == worker.runs.end())
                continue;
        }
        auto& run = found->second;
        run.isListed = true;
        row.pace = run.pace;
        const auto missedTime = updateMiss(run, row, state.clock);
        worker.isTargetMissed = worker.isTargetMissed || run.missedSince != 0;
        const bool isMissedNow = run.metSince == 0;
        if (missedTime < maximumMissTime || !(isMissedNow || wasHeld))
            continue;
        worker.isHeld = true;
        if (wasHeld || missedTime <= decision.missedTime)
            continue;
        decision.heldFor = row.run;
        decision.missedTime = missedTime;
    }
    std::erase_if(worker.runs, [&](const auto& entry) { return !entry.second.isListed && now > entry.second.describedAt + listingTime; });
    if (!worker.isHeld)
        return decision;
    for (const auto& row : state.running) {
        const auto found = worker.runs.find(row.run);
        if (found == worker.runs.end() || !needsPause(found->second, row, state.clock))
            continue;
        found->second.isPauseOrdered = true;
        decision.runsToPause.push_back(row.run);
    }
    return decision;
}

std::vector<std::string> interference_guard::overdueWorkers(utils::time_point now) const
{
    std::vector<std::string> result;
    for (const auto& [id, worker] : m_workers) {
        if (worker.isTargetMissed && now >= worker.reviewedAt + observationInterval && now < worker.reviewedAt + unobservedTime)
            result.push_back(id);
    }
    return result;
}

bool interference_guard::knows(const std::string& worker) const
{
    return m_workers.contains(worker);
}

void interference_guard::forgetUnobservedWorkers(utils::time_point now)
{
    std::erase_if(m_workers, [&](const auto& entry) {
        const auto& worker = entry.second;
        return now > worker.reviewedAt + unobservedTime && std::ranges::none_of(worker.runs, [&](const auto& run) { return now < run.second.describedAt + unobservedTime; });
    });
}

} // namespace camphorsaddle::jobs
