#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "external/key_value_store.h"
#include "jobs/job_record.h"

namespace camphorsaddle::tasks {

//! \brief A job with what the store has of it.
struct stored_job {
    jobs::job_spec spec;
    jobs::job_progress progress;
    bool isCancelled = false;

    auto operator<=>(const stored_job&) const = default;
};

//! \brief Reads the stored jobs from listings of one page after the other, so that not all values are in memory at once.
class stored_jobs {
public:
    //! Called once for each job, as soon as all its keys are read. Progress without a job is left out.
    using job_callback = std::function<void(const stored_job& job)>;
    //! Called for each stored progress, with its version.
    using progress_callback = std::function<void(const std::string& job, external::revision version)>;

    stored_jobs(job_callback onJob, progress_callback onProgress);

    //! Maximum number of entries to ask for; the store returns no more at a time.
    static constexpr std::size_t pageSize = 500;

    //! \brief Key after which the next page begins; empty for the first page.
    const std::string& previousKey() const;
    //! \brief Reads a page in the order of the keys; returns whether there may be another one.
    bool readPage(const external::key_listing& page);

private:
    void readEntry(const external::key_value& entry);
    //! \brief Ends the job whose keys were read last.
    void endJob();

    job_callback m_onJob;
    progress_callback m_onProgress;
    std::string m_previousKey;
    std::string m_id;
    std::optional<jobs::job_spec> m_spec;
    jobs::job_progress m_progress;
    bool m_isCancelled = false;
};

} // namespace camphorsaddle::tasks
