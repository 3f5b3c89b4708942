#include "input/printable_text.h"
#include "tasks/coordinator/leader_term.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // Starts stop when the directory or the inbox has not been confirmed for about two seconds, see engine_settings. The
    // long polls confirm them only when something changes.
    constexpr utils::milliseconds workerRefreshAge { 1000 };
    constexpr utils::milliseconds inboxRefreshAge { 1500 };
    // Starts stop after about three seconds here. Leaves one refresh without a reply and another one.
    constexpr utils::milliseconds evacuationRefreshAge { 1000 };
    constexpr utils::milliseconds reloadDelay { 200 };

} // namespace

void leader_term::loadJobs()
{
    m_store.list(store_keys::jobsPrefix, m_storedJobs.previousKey(), stored_jobs::pageSize, [this, self = weak_from_this()](const absl::StatusOr<external::key_listing>& page) {
        const auto guard = self.lock();
        if (!guard)
            return;
        if (!page.ok()) {
            utils::logEvent(utils::events::storeUnavailable, { { "step", "load jobs" }, { "error", utils::describe(page.status()) } });
            m_reloadTimer.startOnce(reloadDelay);
            return;
        }
        if (m_storedJobs.readPage(*page))
            loadJobs();
        else
            loadLearnedRecord();
    });
}

// The learned values only save time, so the term starts without them if they can't be read.
void leader_term::loadLearnedRecord()
{
    m_store.read(store_keys::learned, [this, self = weak_from_this()](absl::StatusOr<external::key_value> value) {
        const auto guard = self.lock();
        if (!guard)
            return;
        if (value.ok()) {
            m_learnedVersion = value->version;
            if (const auto learned = jobs::parseLearned(value->value); learned.ok())
                m_engine.restoreLearned(*learned);
            else
                utils::logEvent(utils::events::storedValueUnreadable, { { "key", store_keys::learned }, { "error", utils::describe(learned.status()) } });
        }
        loadRoster();
    });
}

void leader_term::loadRoster()
{
    m_store.read(store_keys::roster, [this, self = weak_from_this()](absl::StatusOr<external::key_value> value) {
        const auto guard = self.lock();
        if (!guard)
            return;
        if (!value.ok() && value.status().code() != absl::StatusCode::kNotFound) {
            utils::logEvent(utils::events::storeUnavailable, { { "step", "load roster" }, { "error", utils::describe(value.status()) } });
            m_reloadTimer.startOnce(reloadDelay);
            return;
        }
        jobs::worker_roster roster;
        if (value.ok()) {
            m_rosterVersion = value->version;
            if (const auto parsed = jobs::parseRoster(value->value); parsed.ok())
                roster = *parsed;
            else
                utils::logEvent(utils::events::storedValueUnreadable, { { "key", store_keys::roster }, { "error", utils::describe(parsed.status()) } });
        }
        startServing(roster);
    });
}

void leader_term::addJob(const jobs::job_spec& job, utils::time_point now)
{
    m_engine.add(job, now);
    settleSubmission(job.id);
    if (m_inboxTracker.isCancelled(job.id))
        m_engine.cancel(job.id, now);
}

void leader_term::onEvacuationEntry(const std::string& key, const external::key_value* value)
{
    const auto dataCentre = m_deployment.parseEvacuation(key);
    if (value != nullptr && !dataCentre.ok())
        utils::logEvent(utils::events::evacuationEntryIgnored, { { "key", input::printableText(key) }, { "version", std::to_string(value->version) }, { "error", utils::describe(dataCentre.status()) } });
}

std::vector<jobs::evacuation_status> leader_term::evacuationStatuses(utils::time_point now) const
{
    return m_engine.evacuationStatuses(now);
}

void leader_term::updateEvacuations()
{
    std::set<std::string> dataCentres;
    for (const auto& entry : m_evacuationWatch->values()) {
        // The key alone is the request, whatever its value.
        if (auto dataCentre = m_deployment.parseEvacuation(entry.first); dataCentre.ok())
            dataCentres.insert(*std::move(dataCentre));
    }
    m_engine.setEvacuations(dataCentres, utils::nowIncludingSuspend());
    scheduleDecisions();
}

void leader_term::refreshWatches()
{
    const auto now = utils::nowIncludingSuspend();
    if (now > m_workerWatch.confirmedAt() + workerRefreshAge)
        m_workerWatch.refresh();
    if (now > m_inboxWatch.confirmedAt() + inboxRefreshAge)
        m_inboxWatch.refresh();
    if (m_evacuationWatch && now > m_evacuationWatch->confirmedAt() + evacuationRefreshAge)
        m_evacuationWatch->refresh();
}

} // namespace camphorsaddle::tasks
