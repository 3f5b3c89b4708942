#include "tasks/coordinator/stored_jobs.h"

#include <utility>

#include "absl/strings/strip.h"
#include "tasks/coordinator/leader_election.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

stored_jobs::stored_jobs(job_callback onJob, progress_callback onProgress)
    : m_onJob(std::move(onJob))
    , m_onProgress(std::move(onProgress))
{
}

const std::string& stored_jobs::previousKey() const
{
    return m_previousKey;
}

bool stored_jobs::readPage(const external::key_listing& page)
{
    const auto formerKey = m_previousKey;
    for (const auto& entry : page.entries) {
        // A store may begin with the key that was named.
        if (!m_previousKey.empty() && entry.key <= m_previousKey)
            continue;
        readEntry(entry);
        m_previousKey = entry.key;
    }
    if (page.entries.size() >= pageSize && m_previousKey != formerKey)
        return true;
    endJob();
    return false;
}

void stored_jobs::readEntry(const external::key_value& entry)
{
    const absl::string_view rest = absl::StripPrefix(entry.key, store_keys::jobsPrefix);
    const auto slash = rest.find('/');
    if (slash == absl::string_view::npos)
        return;
    const std::string id(rest.substr(0, slash));
    if (id != m_id) {
        endJob();
        m_id = id;
    }
    absl::Status status;
    if (entry.key == store_keys::cancellation(id)) {
        m_isCancelled = true;
    } else if (entry.key == store_keys::job(id)) {
        auto spec = jobs::parseJob(entry.value);
        status = spec.status();
        if (spec.ok())
            m_spec = *std::move(spec);
    } else if (entry.key == store_keys::progress(id)) {
        m_onProgress(id, entry.version);
        auto progress = jobs::parseProgress(entry.value);
        status = progress.status();
        if (progress.ok())
            m_progress = *std::move(progress);
    }
    if (!status.ok())
        utils::logEvent(utils::events::storedValueUnreadable, { { "key", entry.key }, { "error", utils::describe(status) } });
}

void stored_jobs::endJob()
{
    if (m_spec)
        m_onJob({ *std::exchange(m_spec, std::nullopt), std::exchange(m_progress, {}), m_isCancelled });
    m_id.clear();
    m_progress = {};
    m_isCancelled = false;
}

} // namespace camphorsaddle::tasks
