#include <algorithm>

#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // Shares of a serving task's target at which the work beside it is slowed and may speed up again. The report is
    // rough and half a second old, and the load of the task swings meanwhile.
    constexpr double highTail = 0.8;
    constexpr double lowTail = 0.5;
    constexpr int lowestPace = 0;
    constexpr int slowStep = 50;
    constexpr int fastStep = 25;
    // A new pace shows in the tail of the last half second after this time.
    constexpr utils::milliseconds paceEffect { 600 };

    double worstTail(const worker_state& worker)
    {
        double worst = 0;
        for (const auto* run : worker.runs) {
            const auto& spec = run->job->spec.steps[run->step];
            if (spec.lasts && spec.target.count() > 0 && run->phase == run_phase::Running && run->percent == 100)
                worst = std::max(worst, static_cast<double>(run->load) / static_cast<double>(spec.target.count()));
        }
        return worst;
    }

} // namespace

void job_engine::paceFills(worker_state& worker, utils::time_point now, std::vector<engine_command>& commands)
{
    if (worker.fillProcessors == 0 || !worker.isFenced)
        return;
    const double tail = worstTail(worker);
    const external::worker_address address { worker.about.id, worker.about.endpoint };
    for (auto* run : worker.runs) {
        const auto& spec = run->job->spec.steps[run->step];
        if (!spec.fills || run->phase != run_phase::Running || run->isPacing || now < run->pacedAt + paceEffect || worker.answeredAt < run->pacedAt + paceEffect)
            continue;
        int pace = run->pace;
        if (tail > 1)
            pace = lowestPace;
        else if (tail > highTail)
            pace = std::max(lowestPace, run->pace - slowStep);
        else if (tail < lowTail)
            pace = std::min(100, run->pace + fastStep);
        if (pace == run->pace)
            continue;
        run->isPacing = true;
        commands.push_back(pace_command { address, idOf(*run), pace });
    }
}

} // namespace camphorsaddle::jobs
