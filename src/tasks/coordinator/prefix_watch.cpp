#include "tasks/coordinator/prefix_watch.h"

#include <algorithm>

#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // The store counts refused calls too; the longest pause bounds how late the end of an outage is seen.
    constexpr utils::milliseconds firstRetry { 100 };
    constexpr utils::milliseconds longestRetry { 500 };
    // The store answers a watch that waits the least with what there is.
    constexpr utils::milliseconds refreshWait { 1 };

} // namespace

prefix_watch::prefix_watch(transport::event_loop& loop, external::key_value_store& store, std::string prefix, utils::milliseconds wait, change_function changed, synced_function synced)
    : m_store(store)
    , m_prefix(std::move(prefix))
    , m_wait(wait)
    , m_changed(std::move(changed))
    , m_synced(std::move(synced))
    , m_retry(loop, [this] { list(); })
    , m_continue(loop, [this] { setWaiting(m_isWaiting); })
{
}

prefix_watch::~prefix_watch() = default;

void prefix_watch::start()
{
    list();
}

void prefix_watch::relist()
{
    if (!m_isListing)
        list();
}

void prefix_watch::refresh()
{
    if (m_isListing || m_isRefreshing || !m_isSynced)
        return;
    m_isRefreshing = true;
    const auto generation = m_generation;
    const auto askedAt = utils::nowIncludingSuspend();
    m_store.watch(m_prefix, m_at, refreshWait, [this, generation, askedAt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::watch_result>& result) {
        if (alive.expired())
            return;
        m_isRefreshing = false;
        if (generation != m_generation || !takeAnswer(result))
            return;
        m_confirmedAt = askedAt;
        m_synced();
    });
}

void prefix_watch::setWaiting(bool waits)
{
    m_isWaiting = waits;
    if (waits && m_isSynced && !m_isListing && !m_isWatching)
        watch();
}

void prefix_watch::setPause(utils::milliseconds pause)
{
    m_pause = pause;
}

void prefix_watch::assume(const std::string& key, external::revision version, external::revision at)
{
    auto& value = m_values[key];
    value.key = key;
    value.version = std::max(value.version, version);
    m_at = std::max(m_at, at);
}

bool prefix_watch::isAsking() const
{
    return m_isListing || m_isRefreshing;
}

utils::time_point prefix_watch::confirmedAt() const
{
    return m_confirmedAt;
}

external::revision prefix_watch::at() const
{
    return m_at;
}

bool prefix_watch::isSynced() const
{
    return m_isSynced;
}

void prefix_watch::list()
{
    m_retry.stop();
    m_isListing = true;
    m_isWatching = false;
    const auto generation = ++m_generation;
    const auto askedAt = utils::nowIncludingSuspend();
    m_store.list(m_prefix, "", 0, [this, generation, askedAt, alive = std::weak_ptr(m_alive)](absl::StatusOr<external::key_listing> listing) {
        if (alive.expired() || generation != m_generation)
            return;
        m_isListing = false;
        if (!listing.ok()) {
            utils::logEvent(utils::events::watchInterrupted, { { "prefix", m_prefix }, { "error", utils::describe(listing.status()) } });
            retryLater();
            return;
        }
        m_failures = 0;
        m_confirmedAt = askedAt;
        take(*listing);
        if (!alive.expired() && generation == m_generation && m_isWaiting)
            watch();
    });
}

void prefix_watch::retryLater()
{
    m_isSynced = false;
    m_retry.startOnce(std::min(firstRetry * (1 << std::min(m_failures++, 4u)), longestRetry));
}

void prefix_watch::take(const external::key_listing& listing)
{
    std::map<std::string, external::key_value> values;
    for (const auto& entry : listing.entries)
        values.emplace(entry.key, entry);
    const auto before = std::exchange(m_values, std::move(values));
    m_at = std::max(m_at, listing.at);
    m_isSynced = true;
    const auto alive = std::weak_ptr(m_alive);
    for (const auto& [key, value] : before) {
        if (!alive.expired() && !m_values.contains(key))
            m_changed(key, nullptr);
    }
    for (const auto& entry : listing.entries) {
        if (alive.expired())
            return;
        const auto old = before.find(entry.key);
        if (old == before.end() || old->second.version != entry.version)
            m_changed(entry.key, &entry);
    }
    if (!alive.expired())
        m_synced();
}

void prefix_watch::take(const external::key_change& change)
{
    const auto known = m_values.find(change.key);
    if (known != m_values.end() && known->second.version >= change.version)
        return;
    if (change.deleted) {
        if (known == m_values.end())
            return;
        m_values.erase(known);
        m_changed(change.key, nullptr);
        return;
    }
    const external::key_value value { change.key, change.version, change.value, change.lease };
    m_values[change.key] = value;
    m_changed(change.key, &value);
}

bool prefix_watch::takeAnswer(const absl::StatusOr<external::watch_result>& result)
{
    if (!result.ok()) {
        utils::logEvent(utils::events::watchInterrupted, { { "prefix", m_prefix }, { "error", utils::describe(result.status()) } });
        // Dropped history and silence both leave a gap that only a listing closes.
        list();
        return false;
    }
    const auto generation = m_generation;
    const auto alive = std::weak_ptr(m_alive);
    m_at = std::max(m_at, result->at);
    // Of several changes of a key only the last counts.
    std::map<std::string, const external::key_change*> last;
    for (const auto& change : result->changes)
        last[change.key] = &change;
    for (const auto& [key, change] : last) {
        take(*change);
        if (alive.expired() || generation != m_generation)
            return false;
    }
    return true;
}

void prefix_watch::watch()
{
    m_isWatching = true;
    const auto generation = m_generation;
    m_store.watch(m_prefix, m_at, m_wait, [this, generation, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::watch_result>& result) {
        if (alive.expired() || generation != m_generation)
            return;
        m_isWatching = false;
        if (!m_isWaiting || !takeAnswer(result))
            return;
        m_synced();
        if (alive.expired() || generation != m_generation || m_isWatching)
            return;
        if (m_pause.count() > 0 && !result->changes.empty())
            m_continue.startOnce(m_pause);
        else
            watch();
    });
}

} // namespace camphorsaddle::tasks
