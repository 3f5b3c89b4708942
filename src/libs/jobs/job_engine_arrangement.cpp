#include <algorithm>

#include "absl/strings/str_cat.h"
#include "jobs/job_engine.h"

namespace camphorsaddle::jobs {

namespace {

    // Share of a worker of the zone that sensitive tasks may take; the rest is lost to sizes that do not fit.
    constexpr double zoneFill = 0.8;
    constexpr utils::milliseconds arrangeInterval { 100 };
    // Tasks that are away for a move at one time, against all that serve.
    constexpr double mostMoving = 0.03;
    // A task that was moved stays for this time.
    constexpr utils::milliseconds settleTime { 6000 };

} // namespace

bool job_engine::isSensitive(const step_spec& step) const
{
    return step.lasts && step.target.count() > 0 && m_interference.isSensitive(step.image);
}

bool job_engine::isOutOfPlace(const run_state& run) const
{
    return isSensitive(run.job->spec.steps[run.step]) != m_sensitiveZone.contains(run.worker->about.id);
}

void job_engine::updateSensitiveZone()
{
    std::vector<zone_worker> candidates;
    for (const auto& [id, worker] : m_workers) {
        if (!worker->isFenced || worker->about.isDraining || !worker->isAnnounced)
            continue;
        zone_worker candidate { id, worker->about.capacity.processors, 0 };
        for (const auto* run : worker->runs) {
            const auto& spec = run->job->spec.steps[run->step];
            if (isSensitive(spec))
                candidate.sensitive += spec.each.processors;
        }
        candidates.push_back(std::move(candidate));
    }
    m_sensitiveZone = chooseSensitiveZone(std::move(candidates), m_sensitiveZone, zoneFill);
}

// Moves tasks that serve one by one until the sensitive ones share workers with each other.
void job_engine::arrangeServing(utils::time_point now)
{
    if (now < m_arrangedAt + arrangeInterval || m_isRestoring)
        return;
    m_arrangedAt = now;
    updateSensitiveZone();
    std::vector<run_state*> settled;
    std::size_t serving = 0;
    std::size_t moving = 0;
    for (auto* job : m_active) {
        for (unsigned number = 0; number < job->steps.size(); ++number) {
            const auto& spec = job->spec.steps[number];
            if (!spec.lasts || spec.target.count() == 0 || !job->steps[number].isReady)
                continue;
            for (auto& task : job->steps[number].tasks) {
                ++serving;
                const bool isAtWork = task.runs.size() == 1 && task.runs.front()->phase == run_phase::Running && task.runs.front()->percent == 100;
                if (!isAtWork)
                    ++moving;
                else if (spec.mayMiss == 0 && now > task.runs.front()->runningSince + settleTime && isOutOfPlace(*task.runs.front()))
                    settled.push_back(task.runs.front().get());
            }
        }
    }
    const auto limit = static_cast<std::size_t>(mostMoving * static_cast<double>(serving)) + 1;
    // Sensitive tasks first: each one leaves a worker to the work that disturbs it.
    std::ranges::stable_sort(settled, {}, [&](const auto* run) { return !isSensitive(run->job->spec.steps[run->step]); });
    for (auto* run : settled) {
        if (moving >= limit)
            return;
        const auto& task = run->job->steps[run->step].tasks[run->index];
        const auto* target = choose(*run->job, run->step, task, now, placement_mode::Strict);
        if (target == nullptr || isSensitive(run->job->spec.steps[run->step]) != m_sensitiveZone.contains(target->about.id))
            continue;
        stopRun(*run, now, absl::StrCat("it moves to ", isSensitive(run->job->spec.steps[run->step]) ? "the sensitive zone" : "the other workers"));
        ++moving;
    }
}

} // namespace camphorsaddle::jobs
