#include <algorithm>
#include <limits>

#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // Headroom (target against tail) below which work beside a serving task is slowed, which slowing aims at, and above
    // which it may go faster. Reports are half a second old and the load of the task swings meanwhile.
    // All work beside a task that stays over its target for this time is stopped, whatever the model says; well below
    // the time in which neighbours count as harmful.
    constexpr utils::milliseconds longestOver { 2000 };
    constexpr double lowHeadroom = 1.15;
    constexpr double soughtHeadroom = 1.4;
    constexpr double ampleHeadroom = 1.6;
    // Work that costs less headroom than this at full pace is left alone.
    constexpr double harmlessLoss = 0.2;
    // A new pace shows in the tail of the last half second after this time.
    constexpr utils::milliseconds paceEffect { 550 };
    constexpr int smallestPaceChange = 10;

    double capacityOf(const worker_state& worker)
    {
        return static_cast<double>(std::max<std::int64_t>(worker.description.capacity.processors, 1));
    }

    bool isServing(const run_state& run)
    {
        const auto& spec = run.job->spec.steps[run.step];
        return spec.lasts && spec.target.count() > 0 && run.phase == run_phase::Running && run.percent == 100;
    }

} // namespace

// Called with each report of the worker.
void job_engine::sampleServing(worker_state& worker, utils::time_point now)
{
    fill_use use;
    for (const auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (spec.fills && run->load > 0)
            addUse(use, run->image, static_cast<double>(run->load) / capacityOf(worker));
    }
    worker.unreportedUse.clear();
    for (const auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (spec.fills && run->load == 0 && run->pace > 0)
            addUse(worker.unreportedUse, run->image, static_cast<double>(spec.taskResources.processors) * run->pace / 100 / capacityOf(worker));
    }
    for (auto* run : worker.runs) {
        if (!isServing(*run) || run->load <= 0) {
            run->serving = {};
            continue;
        }
        const auto& spec = run->job->spec.steps[run->step];
        const double headroom = static_cast<double>(spec.target.count()) / static_cast<double>(run->load);
        const auto sample = m_interference.follow(run->image, run->serving, headroom, use, now);
        m_interference.learn(run->image, run->serving, sample);
        run->serving = sample;
    }
    updateRooms(worker, m_interference);
}

void job_engine::paceFills(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    if (worker.fillProcessors == 0 || !worker.isFenced)
        return;
    const bool isOver = std::ranges::any_of(worker.runs, [](const auto* run) { return isServing(*run) && run->serving.headroom > 0 && run->serving.headroom < 1; });
    std::vector<run_state*> fills;
    for (auto* run : worker.runs) {
        if (!run->job->spec.steps[run->step].fills || run->phase != run_phase::Running)
            continue;
        // While a pace takes effect the report says nothing about it.
        if (run->isPacing || worker.answeredAt < run->pacedAt + paceEffect)
            return;
        if (!run->isPaceKnown) {
            run->isPacing = true;
            commands.push_back(pace_command { { worker.description.id, worker.description.endpoint }, idOf(*run), isOver ? 0 : 100 });
            continue;
        }
        fills.push_back(run);
    }
    const auto lossOf = [&](const run_state& serving, const run_state& fill) {
        const auto& spec = fill.job->spec.steps[fill.step];
        return m_interference.pressure(serving.image, fill.image) * static_cast<double>(spec.taskResources.processors) / capacityOf(worker);
    };
    std::map<run_state*, int> paces;
    for (auto* fill : fills)
        paces[fill] = fill->pace;
    // What may speed up is bounded by the serving task with the least headroom beside it.
    for (auto* fill : fills) {
        double rise = 1;
        for (const auto* run : worker.runs) {
            if (!isServing(*run) || run->serving.headroom <= 0)
                continue;
            const double loss = lossOf(*run, *fill);
            if (loss > harmlessLoss)
                rise = std::min(rise, run->serving.headroom < ampleHeadroom ? 0.0 : (run->serving.headroom - soughtHeadroom) / loss / static_cast<double>(fills.size()));
        }
        paces[fill] = std::min(100, fill->pace + static_cast<int>(100 * std::max(rise, 0.0)));
    }
    for (const auto* run : worker.runs) {
        if (!isServing(*run) || run->serving.headroom <= 0 || run->serving.headroom >= lowHeadroom)
            continue;
        const bool isOverLong = run->serving.overSince != utils::time_point() && now > run->serving.overSince + longestOver;
        double missing = isOverLong ? std::numeric_limits<double>::infinity() : soughtHeadroom - run->serving.headroom;
        auto culprits = fills;
        std::ranges::sort(culprits, [&](const auto* left, const auto* right) { return lossOf(*run, *left) > lossOf(*run, *right); });
        for (auto* fill : culprits) {
            const double loss = lossOf(*run, *fill);
            if (missing <= 0 || (loss < harmlessLoss && !isOverLong))
                break;
            const int cut = isOverLong ? fill->pace : std::min(fill->pace, static_cast<int>(100 * missing / loss) + 1);
            paces[fill] = std::min(paces[fill], fill->pace - cut);
            missing -= loss * cut / 100;
        }
    }
    for (const auto& [fill, pace] : paces) {
        const bool isWorthwhile = std::abs(pace - fill->pace) >= smallestPaceChange || (pace == 100 && fill->pace < 100);
        if (!isWorthwhile)
            continue;
        fill->isPacing = true;
        commands.push_back(pace_command { { worker.description.id, worker.description.endpoint }, idOf(*fill), pace });
    }
}

} // namespace camphorsaddle::jobs
