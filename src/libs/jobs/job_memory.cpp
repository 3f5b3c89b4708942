#include "jobs/job_memory.h"

#include "jobs/job_state.h"

namespace camphorsaddle::jobs {

namespace {

    // Block header, terminator and unused capacity of a string on the heap.
    constexpr std::uint64_t stringOverhead = 32;
    // Entries of indexes by the job's id, and those that the leader's term keeps beside the engine.
    constexpr std::uint64_t indexEntries = 512;
    // Lists of the numbers of its closed runs and of avoided workers, of a task that has had runs.
    constexpr std::uint64_t listsOfTask = 128;

    std::uint64_t memoryOf(const std::string& text)
    {
        return text.size() + stringOverhead;
    }

} // namespace

std::uint64_t specificationMemory(const job_spec& job)
{
    std::uint64_t bytes = sizeof(job_spec) + memoryOf(job.id) + memoryOf(job.queue) + memoryOf(job.service) + memoryOf(job.payload);
    for (const auto& step : job.steps)
        bytes += sizeof(step_spec) + step.after.size() * sizeof(unsigned) + memoryOf(step.label) + memoryOf(step.rack) + memoryOf(step.image);
    return bytes;
}

std::uint64_t jobMemory(const job_spec& job)
{
    auto bytes = specificationMemory(job) + sizeof(job_state) + indexEntries;
    for (const auto& step : job.steps)
        bytes += sizeof(step_state) + step.count * (sizeof(task_state) + listsOfTask);
    return bytes;
}

} // namespace camphorsaddle::jobs
