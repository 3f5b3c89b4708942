#pragma once

#include "absl/status/statusor.h"
#include "jobs/deployment_format.h"

namespace camphorsaddle::tasks::test {

//! \brief Implements the functions of deployment_format that a test of the rules doesn't use; \a Base is deployment_format or an
//! interface derived from it.
template <typename Base>
class plain_deployment_format : public Base {
public:
    std::string rulesKey() const override
    {
        return "rules";
    }

    std::string workerKeyPrefix() const override
    {
        return "workers/";
    }

    absl::StatusOr<jobs::deployment_rules> parseRules(const std::string&) const override
    {
        return absl::UnimplementedError("not used");
    }

    absl::StatusOr<jobs::worker_description> parseWorker(const std::string&, const std::string&, utils::wall_time_point) const override
    {
        return absl::UnimplementedError("not used");
    }

    absl::StatusOr<jobs::job_spec> parseJob(const std::string&) const override
    {
        return absl::UnimplementedError("not used");
    }

    std::string callerTimeoutHeader() const override
    {
        return "timeout-ms";
    }

    std::string renderPhase(jobs::job_phase) const override
    {
        return {};
    }

    std::string renderPendingJobCount(std::uint64_t) const override
    {
        return {};
    }
};

} // namespace camphorsaddle::tasks::test
