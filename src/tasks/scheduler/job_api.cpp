#include "tasks/scheduler/job_api.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "nlohmann/json.hpp"
#include "utils/errors.h"

namespace camphorsaddle::tasks {

namespace {

    using json = nlohmann::json;

    constexpr std::uint32_t maximumTasks = 10000;
    constexpr std::size_t maximumNameLength = 128;

    absl::Status invalidSubmission(absl::string_view peer, absl::string_view cause)
    {
        return utils::makeError(absl::StatusCode::kInvalidArgument, "submit a job", peer, cause);
    }

    bool isValidName(absl::string_view text)
    {
        return !text.empty() && text.size() <= maximumNameLength && text.find('/') == absl::string_view::npos;
    }

    std::string jobState(const placement::job_record& job)
    {
        if (!job.isEnded())
            return job.isCancelled ? "cancelling" : "accepted";
        const auto counts = job.countPhases();
        if (counts[static_cast<std::size_t>(placement::task_phase::Failed)] > 0)
            return "failed";
        return job.isCancelled ? "cancelled" : "finished";
    }

    json toJson(const placement::job_record& job, absl::string_view waitReason)
    {
        json tasks = json::object();
        const auto counts = job.countPhases();
        for (std::size_t index = 0; index < counts.size(); ++index)
            tasks[std::string(toString(static_cast<placement::task_phase>(index)))] = counts[index];
        json result { { "id", job.job.substr(job.team.size() + 1) }, { "team", job.team }, { "kind", job.kind }, { "state", jobState(job) }, { "tasks", tasks } };
        if (!waitReason.empty() && counts[static_cast<std::size_t>(placement::task_phase::Pending)] > 0)
            result["reason"] = std::string(waitReason);
        return result;
    }

} // namespace

absl::StatusOr<job_submission> parseSubmission(absl::string_view body, absl::string_view peer)
{
    const auto value = json::parse(body.begin(), body.end(), nullptr, false);
    if (!value.is_object())
        return invalidSubmission(peer, "the body is not a JSON object");
    job_submission submission;
    try {
        submission.id = value.at("id").get<std::string>();
        submission.team = value.at("team").get<std::string>();
        submission.kind = value.at("kind").get<std::string>();
        submission.tasks = value.value("tasks", 1U);
    } catch (const json::exception& failure) {
        return invalidSubmission(peer, failure.what());
    }
    if (!isValidName(submission.id) || !isValidName(submission.team))
        return invalidSubmission(peer, absl::StrCat("id and team must have 1 to ", maximumNameLength, " characters and no '/'"));
    if (submission.tasks == 0 || submission.tasks > maximumTasks)
        return invalidSubmission(peer, absl::StrCat("tasks = ", submission.tasks, ": must be 1 to ", maximumTasks));
    return submission;
}

std::string jobKey(absl::string_view team, absl::string_view id)
{
    return absl::StrCat(team, "/", id);
}

absl::StatusOr<job_address> parseJobAddress(const transport::http_request& request)
{
    absl::string_view rest = request.path;
    absl::ConsumePrefix(&rest, "/v1/jobs");
    absl::ConsumePrefix(&rest, "/");
    job_address address { request.parameter("team"), transport::percentDecode(rest) };
    if (address.team.empty())
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read a job", request.peer, "the query must name the team: ?team=NAME");
    return address;
}

std::string renderJob(const placement::job_record& job, absl::string_view waitReason)
{
    return toJson(job, waitReason).dump();
}

std::string renderJobs(const placement::shard_state& state, absl::string_view team, absl::string_view waitReason)
{
    json list = json::array();
    for (const auto& [name, job] : state.jobs()) {
        if (job.team == team && job.homeShard.empty())
            list.push_back(toJson(job, waitReason));
    }
    return json { { "jobs", list } }.dump();
}

worker_fit findFit(const std::map<std::string, std::vector<model::host>>& workersByShard, const model::resources& size, const placement::evacuations& evacuations)
{
    auto fit = workersByShard.empty() ? worker_fit::Fits : worker_fit::NeverFits;
    for (const auto& [shard, workers] : workersByShard) {
        for (const auto& worker : workers) {
            if (!size.fitsIn(worker.capacity))
                continue;
            if (!evacuations.isEvacuated(worker.dataCentre))
                return worker_fit::Fits;
            fit = worker_fit::OnlyEvacuated;
        }
    }
    return fit;
}

absl::string_view waitReasonOf(const placement::evacuations& evacuations, const std::string& dataCentre, utils::time_point now)
{
    if (evacuations.knowledge(now) == placement::evacuation_knowledge::Unknown)
        return "evacuations_unknown";
    return evacuations.isEvacuated(dataCentre) ? "evacuated" : "";
}

} // namespace camphorsaddle::tasks
