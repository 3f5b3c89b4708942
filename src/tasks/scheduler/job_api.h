#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "model/configuration.h"
#include "model/host.h"
#include "placement/evacuations.h"
#include "placement/shard_state.h"
#include "transport/http_message.h"

namespace camphorsaddle::tasks {

//! \brief A job as described by the submitted request.
struct job_submission {
    //! Chosen by the caller; unique in the team.
    std::string id;
    std::string team;
    std::string kind;
    std::uint32_t tasks = 0;

    auto operator<=>(const job_submission&) const = default;
};

//! \brief Parses the body of a submission; InvalidArgument names the invalid field.
absl::StatusOr<job_submission> parseSubmission(absl::string_view body, absl::string_view peer);

//! \brief Key of a job in its shard; different for equal ids of different teams.
std::string jobKey(absl::string_view team, absl::string_view id);

//! \brief Team and job id from the path and query of a request; the id is empty for all jobs of the team.
struct job_address {
    std::string team;
    std::string id;
};

//! \brief Parses "/v1/jobs/ID?team=TEAM"; InvalidArgument when the team is missing.
absl::StatusOr<job_address> parseJobAddress(const transport::http_request& request);

//! \brief JSON object with the state of a job and the number of its tasks in each phase.
//!
//! While tasks are pending, the field "reason" is \a waitReason if that isn't empty.
std::string renderJob(const placement::job_record& job, absl::string_view waitReason = {});

//! \brief JSON object with all jobs that the team submitted to this shard.
std::string renderJobs(const placement::shard_state& state, absl::string_view team, absl::string_view waitReason = {});

enum class worker_fit {
    Fits,
    //! No worker is large enough.
    NeverFits,
    //! Each worker that is large enough is in an evacuated data centre.
    OnlyEvacuated,
};

//! \brief Whether a task of \a size fits on any of the workers; it does while none is known, since the host list wasn't read yet.
worker_fit findFit(const std::map<std::string, std::vector<model::host>>& workersByShard, const model::resources& size, const placement::evacuations& evacuations);

//! \brief Why pending tasks of a shard in \a dataCentre do not start on its workers: "evacuated", "evacuations_unknown" or empty.
absl::string_view waitReasonOf(const placement::evacuations& evacuations, const std::string& dataCentre, utils::time_point now);

} // namespace camphorsaddle::tasks
