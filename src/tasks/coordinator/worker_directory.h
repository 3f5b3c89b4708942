#pragma once

#include <string>

#include "external/key_value_store.h"
#include "jobs/deployment_format.h"

namespace camphorsaddle::jobs {
class job_engine;
}

namespace camphorsaddle::tasks {

enum class directory_effect {
    None,
    Renewed,
    Announced,
    Withdrawn,
};

//! \brief Applies the changes of the workers' directory entries to the engine.
//!
//! An entry that can't be read names no worker. If it replaces that of a worker, the worker is withdrawn: nothing is started there,
//! while its runs keep their lease as long as it answers.
class worker_directory {
public:
    worker_directory(const jobs::deployment_format& format, jobs::job_engine& engine);

    //! \brief Applies the change of an entry; \a value is null if the entry was deleted.
    directory_effect applyEntry(const std::string& key, const external::key_value* value, utils::time_point now, utils::wall_time_point wallTime);
    std::string workerIdOf(const std::string& key) const;

private:
    bool isAnnounced(const std::string& id) const;
    directory_effect withdraw(const std::string& id, utils::time_point now);

    const jobs::deployment_format& m_format;
    jobs::job_engine& m_engine;
};

} // namespace camphorsaddle::tasks
