#include "jobs/job.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "utils/errors.h"

namespace camphorsaddle::jobs {

namespace {

    // Guards the daemon's memory; the largest steps of the users have 36 tasks.
    constexpr unsigned largestStep = 10'000;
    constexpr std::size_t mostSteps = 100;

} // namespace

absl::Status validate(const job_spec& job)
{
    const auto error = [&](const std::string& cause) {
        return utils::makeError(absl::StatusCode::kInvalidArgument, "check job", job.id, cause);
    };
    if (job.steps.empty() || job.steps.size() > mostSteps)
        return error(absl::StrCat("has ", job.steps.size(), " steps; 1 to ", mostSteps, " are allowed"));
    for (unsigned number = 0; number < job.steps.size(); ++number) {
        const auto& step = job.steps[number];
        if (step.count == 0 || step.count > largestStep)
            return error(absl::StrCat("step ", number, " has ", step.count, " tasks; 1 to ", largestStep, " are allowed"));
        if (step.taskResources.processors < 0 || step.taskResources.memory < 0 || step.taskResources.accelerators < 0)
            return error(absl::StrCat("step ", number, " asks for a negative amount"));
        if (std::ranges::any_of(step.after, [&](unsigned before) { return before >= number; }))
            return error(absl::StrCat("step ", number, " follows a step that is not earlier"));
    }
    return absl::OkStatus();
}

} // namespace camphorsaddle::jobs
