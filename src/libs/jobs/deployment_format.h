#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "jobs/job.h"

namespace camphorsaddle::jobs {

//! \brief How a deployment writes down what the scheduler reads from it and answers to its callers.
class deployment_format {
public:
    virtual ~deployment_format() = default;

    //! \brief Key of the operators' configuration in the store.
    virtual std::string rulesKey() const = 0;
    virtual absl::StatusOr<deployment_rules> parseRules(const std::string& value) const = 0;

    //! \brief Prefix of the keys by which workers announce themselves.
    virtual std::string workerKeyPrefix() const = 0;
    //! \brief InvalidArgument for an entry that names no worker.
    virtual absl::StatusOr<worker_description> parseWorker(const std::string& key, const std::string& value) const = 0;

    //! \brief Payload and steps of a submitted job; Unimplemented for what this scheduler can't run yet.
    virtual absl::StatusOr<job_spec> parseJob(const std::string& body) const = 0;
    //! \brief Request header with the time that the caller waits, ms; in lower case.
    virtual std::string callerTimeoutHeader() const = 0;
    virtual std::string renderPhase(job_phase phase) const = 0;
    virtual std::string renderPendingJobCount(std::uint64_t count) const = 0;
};

} // namespace camphorsaddle::jobs
