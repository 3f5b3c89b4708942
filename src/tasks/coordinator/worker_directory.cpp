#include "tasks/coordinator/worker_directory.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "input/printable_text.h"
#include "jobs/job_engine.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

worker_directory::worker_directory(const jobs::deployment_format& format, jobs::job_engine& engine)
    : m_format(format)
    , m_engine(engine)
{
}

std::string worker_directory::workerIdOf(const std::string& key) const
{
    return std::string(absl::StripPrefix(key, m_format.workerKeyPrefix()));
}

directory_effect worker_directory::applyEntry(const std::string& key, const external::key_value* value, utils::time_point now, utils::wall_time_point wallTime)
{
    const auto id = workerIdOf(key);
    if (value == nullptr)
        return withdraw(id, now);
    const auto worker = m_format.parseWorker(key, value->value, wallTime);
    if (!worker.ok()) {
        utils::logEvent(utils::events::workerEntryRejected, { { "key", input::printableText(key) }, { "version", std::to_string(value->version) }, { "bytes", std::to_string(value->value.size()) }, { "announced", isAnnounced(id) ? "true" : "false" }, { "error", utils::describe(worker.status()) } });
        return isAnnounced(id) ? withdraw(id, now) : directory_effect::None;
    }
    if (isAnnounced(id) && jobs::isRenewalOf(*worker, m_engine.workers().at(id)->description)) {
        m_engine.announceWorker(*worker, now);
        return directory_effect::Renewed;
    }
    const auto& capacity = worker->capacity;
    utils::logEvent(utils::events::workerAnnounced, { { "worker", id }, { "version", std::to_string(value->version) }, { "life", std::to_string(worker->incarnation) }, { "draining", worker->isDraining ? "true" : "false" }, { "capacity", absl::StrCat(capacity.processors, ",", capacity.memory, ",", capacity.accelerators) } });
    m_engine.announceWorker(*worker, now);
    return directory_effect::Announced;
}

bool worker_directory::isAnnounced(const std::string& id) const
{
    const auto found = m_engine.workers().find(id);
    return found != m_engine.workers().end() && found->second->isAnnounced;
}

directory_effect worker_directory::withdraw(const std::string& id, utils::time_point now)
{
    utils::logEvent(utils::events::workerWithdrawn, { { "worker", input::printableText(id) } });
    m_engine.withdrawWorker(id, now);
    return directory_effect::Withdrawn;
}

} // namespace camphorsaddle::tasks
