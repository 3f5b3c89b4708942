#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "jobs/job.h"

namespace camphorsaddle::jobs {

//! \brief Parses a deployment's configuration, worker entries and jobs, and formats the answers to its callers.
class deployment_format {
public:
    virtual ~deployment_format() = default;

    //! \brief Key of the operators' configuration in the key-value store.
    virtual std::string rulesKey() const = 0;
    virtual absl::StatusOr<deployment_rules> parseRules(const std::string& value) const = 0;

    //! \brief Prefix of the keys under which workers register themselves.
    virtual std::string workerKeyPrefix() const = 0;
    //! \brief Parses an entry that was read at \a now; returns InvalidArgument if it doesn't describe a worker.
    virtual absl::StatusOr<worker_description> parseWorker(const std::string& key, const std::string& value, utils::wall_time_point now) const = 0;

    //! \brief Prefix of the keys that request the evacuation of a data centre; empty if the deployment has none.
    virtual std::string evacuationKeyPrefix() const
    {
        return {};
    }
    //! \brief Name of the data centre whose evacuation the key requests; InvalidArgument if it can't be the name of one.
    virtual absl::StatusOr<std::string> parseEvacuation(const std::string& key) const
    {
        return key.substr(evacuationKeyPrefix().size());
    }

    //! \brief Parses a submitted job; returns Unimplemented if it uses features that this scheduler doesn't support.
    virtual absl::StatusOr<job_spec> parseJob(const std::string& body) const = 0;
    //! \brief Name, in lower case, of the request header with the time in ms that the caller waits for an answer.
    virtual std::string callerTimeoutHeader() const = 0;
    //! \brief Response body for a query of a job's phase.
    virtual std::string renderPhase(job_phase phase) const = 0;
    //! \brief Response body for a query of the number of a queue's jobs that have not started.
    virtual std::string renderPendingJobCount(std::uint64_t count) const = 0;
};

} // namespace camphorsaddle::jobs
