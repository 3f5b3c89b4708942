#include "jobs/job.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::jobs {

namespace {

    // Limits the daemon's memory use; the largest steps of the users have 36 tasks.
    constexpr unsigned maximumTasksPerStep = 10'000;
    constexpr std::size_t maximumStepsPerJob = 100;
    // The store's keys have 200 bytes at most, with a prefix and a suffix around the id.
    constexpr std::size_t maximumJobIdBytes = 128;

} // namespace

bool isJobId(absl::string_view id)
{
    return !id.empty() && id.size() <= maximumJobIdBytes && std::ranges::all_of(id, [](char c) { return absl::ascii_isgraph(static_cast<unsigned char>(c)); });
}

absl::Status validate(const job_spec& job)
{
    const auto error = [&](const std::string& cause) {
        return utils::makeError(absl::StatusCode::kInvalidArgument, "check job", job.id, cause);
    };
    if (job.steps.empty() || job.steps.size() > maximumStepsPerJob)
        return error(absl::StrCat("has ", job.steps.size(), " steps; 1 to ", maximumStepsPerJob, " are allowed"));
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        const auto& step = job.steps[number];
        if (step.count == 0 || step.count > maximumTasksPerStep)
            return error(absl::StrCat("step ", number, " has ", step.count, " tasks; 1 to ", maximumTasksPerStep, " are allowed"));
        if (step.taskResources.processors < 0 || step.taskResources.memory < 0 || step.taskResources.accelerators < 0)
            return error(absl::StrCat("step ", number, " requests a negative amount of a resource"));
        if (std::ranges::any_of(step.after, [&](unsigned before) { return before >= number; }))
            return error(absl::StrCat("step ", number, " depends on a step that is not earlier in the list"));
    }
    return absl::OkStatus();
}

bool isRenewalOf(const worker_description& renewed, const worker_description& known)
{
    auto unchanged = known;
    unchanged.renewedAt = renewed.renewedAt;
    unchanged.coldTime = renewed.coldTime;
    return renewed == unchanged;
}

} // namespace camphorsaddle::jobs
