#include "tasks/coordinator/prefix_watch.h"

#include <algorithm>

#include "tasks/coordinator/retry_delay.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // With the shortest wait the store replies at once with the changes that it has.
    constexpr utils::milliseconds refreshTimeout { 1 };

} // namespace

prefix_watch::prefix_watch(transport::event_loop& loop, external::key_value_store& store, std::string prefix, utils::milliseconds watchTimeout, change_callback onChanged, synced_callback onSynced, const std::mt19937_64& random)
    : m_store(store)
    , m_prefix(std::move(prefix))
    , m_watchTimeout(watchTimeout)
    , m_onChanged(std::move(onChanged))
    , m_onSynced(std::move(onSynced))
    , m_retryTimer(loop, [this] { retry(); })
    , m_nextWatchTimer(loop, [this] { setLongPolling(m_isLongPolling); })
    , m_random(random)
{
}

prefix_watch::~prefix_watch() = default;

void prefix_watch::start()
{
    requestListing();
}

void prefix_watch::relist()
{
    if (!m_isListing)
        requestListing();
}

void prefix_watch::refresh()
{
    if (!m_isListing && !m_isRefreshing && m_isSynced)
        requestPresentChanges();
}

void prefix_watch::requestPresentChanges()
{
    m_isRefreshing = true;
    const auto generation = m_generation;
    const auto sentAt = utils::nowIncludingSuspend();
    m_store.watch(m_prefix, m_revision, refreshTimeout, [this, generation, sentAt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::watch_result>& result) {
        if (alive.expired())
            return;
        m_isRefreshing = false;
        if (generation != m_generation || !applyWatchResult(result))
            return;
        m_failedRequests = 0;
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
        m_isSynced = true;
        const bool wasInterrupted = std::exchange(m_isInterrupted, false);
        m_onSynced();
        if (!alive.expired() && generation == m_generation && wasInterrupted && m_isLongPolling && !m_isWatchOpen)
            requestChanges();
    });
}

void prefix_watch::retry()
{
    if (m_needsListing)
        requestListing();
    else if (!m_isRefreshing)
        requestPresentChanges();
    else
        scheduleRetry();
}

void prefix_watch::setLongPolling(bool isEnabled)
{
    m_isLongPolling = isEnabled;
    if (isEnabled && m_isSynced && !m_isListing && !m_isWatchOpen)
        requestChanges();
}

void prefix_watch::setBatchingDelay(utils::milliseconds delay)
{
    m_batchingDelay = delay;
}

void prefix_watch::assumeVersion(const std::string& key, external::revision version, external::revision revision)
{
    auto& value = m_values[key];
    value.key = key;
    value.version = std::max(value.version, version);
    m_revision = std::max(m_revision, revision);
    if (m_confirmedAt != utils::time_point())
        m_needsListing = false;
}

bool prefix_watch::isRequestPending() const
{
    return m_isListing || m_isRefreshing;
}

utils::time_point prefix_watch::confirmedAt() const
{
    return m_confirmedAt;
}

utils::time_point prefix_watch::completeUntil(utils::time_point now, bool isStoreReachable) const
{
    const bool isListed = m_confirmedAt != utils::time_point();
    return isStoreReachable || m_isSynced || !isListed ? m_confirmedAt : now;
}

external::revision prefix_watch::revision() const
{
    return m_revision;
}

bool prefix_watch::isSynced() const
{
    return m_isSynced;
}

void prefix_watch::requestListing()
{
    m_retryTimer.stop();
    m_needsListing = true;
    m_isListing = true;
    m_isWatchOpen = false;
    const auto generation = ++m_generation;
    const auto sentAt = utils::nowIncludingSuspend();
    m_store.list(m_prefix, "", 0, [this, generation, sentAt, alive = std::weak_ptr(m_alive)](absl::StatusOr<external::key_listing> listing) {
        if (alive.expired() || generation != m_generation)
            return;
        m_isListing = false;
        if (!listing.ok()) {
            utils::logEvent(utils::events::watchInterrupted, { { "prefix", m_prefix }, { "error", utils::describe(listing.status()) } });
            scheduleRetry();
            return;
        }
        m_failedRequests = 0;
        m_needsListing = false;
        m_isInterrupted = false;
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
        applyListing(*listing);
        if (!alive.expired() && generation == m_generation && m_isLongPolling)
            requestChanges();
    });
}

void prefix_watch::scheduleRetry()
{
    m_isSynced = false;
    m_retryTimer.startOnce(drawRetryDelay(m_failedRequests++, m_random));
}

void prefix_watch::applyListing(const external::key_listing& listing)
{
    std::map<std::string, external::key_value> values;
    for (const auto& entry : listing.entries)
        values.emplace(entry.key, entry);
    const auto previous = std::exchange(m_values, std::move(values));
    m_revision = std::max(m_revision, listing.at);
    m_isSynced = true;
    const auto alive = std::weak_ptr(m_alive);
    for (const auto& [key, value] : previous) {
        if (!alive.expired() && !m_values.contains(key))
            m_onChanged(key, nullptr);
    }
    for (const auto& entry : listing.entries) {
        if (alive.expired())
            return;
        const auto previousEntry = previous.find(entry.key);
        if (previousEntry == previous.end() || previousEntry->second.version != entry.version)
            m_onChanged(entry.key, &entry);
    }
    if (!alive.expired())
        m_onSynced();
}

void prefix_watch::applyChange(const external::key_change& change)
{
    const auto existing = m_values.find(change.key);
    if (existing != m_values.end() && existing->second.version >= change.version)
        return;
    if (change.deleted) {
        if (existing == m_values.end())
            return;
        m_values.erase(existing);
        m_onChanged(change.key, nullptr);
        return;
    }
    const external::key_value value { change.key, change.version, change.value, change.lease };
    m_values[change.key] = value;
    m_onChanged(change.key, &value);
}

bool prefix_watch::applyWatchResult(const absl::StatusOr<external::watch_result>& result)
{
    if (!result.ok()) {
        utils::logEvent(utils::events::watchInterrupted, { { "prefix", m_prefix }, { "error", utils::describe(result.status()) } });
        // The next watch continues from the same revision, unless the store has discarded the history since then.
        if (absl::IsOutOfRange(result.status())) {
            requestListing();
            return false;
        }
        ++m_generation;
        m_isWatchOpen = false;
        const bool isFirstFailure = !std::exchange(m_isInterrupted, true);
        if (isFirstFailure && !m_isRefreshing)
            requestPresentChanges();
        else
            scheduleRetry();
        return false;
    }
    const auto generation = m_generation;
    const auto alive = std::weak_ptr(m_alive);
    const auto reportedUntil = m_revision;
    m_revision = std::max(m_revision, result->at);
    // Only the last of several changes of a key is reported. Those that another reply has overtaken would bring back removed keys.
    std::map<std::string, const external::key_change*> lastChanges;
    for (const auto& change : result->changes) {
        if (change.version > reportedUntil)
            lastChanges[change.key] = &change;
    }
    for (const auto& [key, change] : lastChanges) {
        applyChange(*change);
        if (alive.expired() || generation != m_generation)
            return false;
    }
    return true;
}

void prefix_watch::requestChanges()
{
    m_isWatchOpen = true;
    const auto generation = m_generation;
    const auto sentAt = utils::nowIncludingSuspend();
    m_store.watch(m_prefix, m_revision, m_watchTimeout, [this, generation, sentAt, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::watch_result>& result) {
        if (alive.expired() || generation != m_generation)
            return;
        m_isWatchOpen = false;
        if (!m_isLongPolling || !applyWatchResult(result))
            return;
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
        m_onSynced();
        if (alive.expired() || generation != m_generation || m_isWatchOpen)
            return;
        if (m_batchingDelay.count() > 0 && !result->changes.empty())
            m_nextWatchTimer.startOnce(m_batchingDelay);
        else
            requestChanges();
    });
}

} // namespace camphorsaddle::tasks
