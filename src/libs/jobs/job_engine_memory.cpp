#include <algorithm>

#include "jobs/job_engine.h"
#include "jobs/job_memory.h"

namespace camphorsaddle::jobs {

namespace {

    // Reports that are older than the end of a job still find its tasks.
    constexpr utils::milliseconds releaseDelay { 5000 };

    bool isInUse(const task_state& task)
    {
        return !task.runs.empty() || task.reservedWorker != nullptr;
    }

    bool hasTaskInUse(const job_state& job)
    {
        return std::ranges::any_of(job.steps, [](const step_state& step) { return std::ranges::any_of(step.tasks, isInUse); });
    }

} // namespace

std::uint64_t job_engine::heldMemory() const
{
    return m_heldMemory;
}

void job_engine::countMemory(job_state& job, std::uint64_t bytes)
{
    m_heldMemory = m_heldMemory - job.heldMemory + bytes;
    job.heldMemory = bytes;
}

void job_engine::createSteps(job_state& job)
{
    for (const auto& spec : job.spec.steps) {
        auto& step = job.steps.emplace_back();
        step.tasks.resize(spec.count);
        step.image = m_interference.indexOf(spec.image);
        for (auto& task : step.tasks)
            task.lastRun = (m_term - 1) * m_settings.runNumbersPerTerm;
    }
    job.isReleased = false;
    countMemory(job, jobMemory(job.spec));
}

void job_engine::releaseJob(job_state& job)
{
    job.isReleased = true;
    std::vector<step_state>().swap(job.steps);
    std::string().swap(job.spec.payload);
    auto withoutTasks = job.spec;
    for (auto& step : withoutTasks.steps)
        step.count = 0;
    countMemory(job, jobMemory(withoutTasks));
}

void job_engine::releaseEndedJobs(utils::time_point now)
{
    for (const auto& entry : m_jobs) {
        auto& job = *entry.second;
        const bool isStored = job.storedVersion >= job.version && !job.isBeingStored;
        if (isFinal(job.phase) && !job.isReleased && isStored && now > job.endedAt + releaseDelay && !hasTaskInUse(job))
            releaseJob(job);
    }
}

// A start that is executed late may bring a run of a job that has ended, which has to be stopped.
task_state* job_engine::recreateTask(const external::run_id& id, job_state** job)
{
    const auto found = m_jobs.find(id.task.job);
    if (found == m_jobs.end() || !found->second->isReleased || id.task.occurrence != 0)
        return nullptr;
    const auto& steps = found->second->spec.steps;
    if (id.task.step >= steps.size() || id.task.index >= steps[id.task.step].count)
        return nullptr;
    createSteps(*found->second);
    return findTask(id, job);
}

std::vector<std::string> job_engine::forgetFinishedJobs(utils::time_point now, std::size_t limit)
{
    std::vector<std::string> forgotten;
    for (const auto& [id, job] : m_jobs) {
        if (forgotten.size() >= limit)
            break;
        if (isFinal(job->phase) && now > job->endedAt + m_settings.finishedJobRetention && job->storedVersion >= job->version && !hasTaskInUse(*job))
            forgotten.push_back(id);
    }
    for (const auto& id : forgotten) {
        const auto found = m_jobs.find(id);
        countMemory(*found->second, 0);
        m_jobs.erase(found);
    }
    return forgotten;
}

} // namespace camphorsaddle::jobs
