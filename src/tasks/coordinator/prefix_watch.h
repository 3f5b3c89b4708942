#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "external/key_value_store.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief Keeps a copy of all keys with a prefix: reads them once, then follows the changes by long polling.
//!
//! Reads all keys again when the store has compacted its history.
class prefix_watch {
public:
    //! Called for each key that changed since the last call for it; \a value is null if the key was deleted.
    using change_callback = std::function<void(const std::string& key, const external::key_value* value)>;
    //! Called after all changes of a listing or of a watch reply were reported.
    using synced_callback = std::function<void()>;

    //! \a random must be seeded differently on each daemon, so that calls which failed on all of them aren't repeated at the same time.
    prefix_watch(transport::event_loop& loop, external::key_value_store& store, std::string prefix, utils::milliseconds watchTimeout, change_callback onChanged, synced_callback onSynced, const std::mt19937_64& random = std::mt19937_64());
    ~prefix_watch();
    prefix_watch(const prefix_watch&) = delete;
    prefix_watch& operator=(const prefix_watch&) = delete;

    void start();
    //! \brief Reads all keys again, unless a listing is in progress.
    void relist();
    //! \brief Requests changes in addition to the long poll, which may report nothing for seconds although the store replies.
    void refresh();
    //! \brief Enables the long poll; without it changes are only requested by refresh().
    void setLongPolling(bool isEnabled);
    //! \brief Delay between a reply with changes and the next long poll, so that frequent single changes arrive in batches.
    void setBatchingDelay(utils::milliseconds delay);
    //! \brief Records what another daemon reported: \a key had \a version, and nothing newer, at the store's \a revision.
    void assumeVersion(const std::string& key, external::revision version, external::revision revision);
    //! \brief Whether the copy is complete and the last listing succeeded.
    bool isSynced() const;
    //! \brief Whether a listing or a refresh is in progress.
    bool isRequestPending() const;
    //! \brief Time up to which all changes were reported; the epoch of the clock before the first reply.
    utils::time_point confirmedAt() const;
    //! \brief Time up to which the copy is as complete as this daemon can have it: confirmedAt(), or \a now while the store answers
    //! neither a listing nor, by \a isStoreReachable, any other call.
    utils::time_point completeUntil(utils::time_point now, bool isStoreReachable) const;
    //! \brief Revision of the store up to which changes were reported.
    external::revision revision() const;

    const std::map<std::string, external::key_value>& values() const
    {
        return m_values;
    }

private:
    void requestListing();
    void requestChanges();
    //! \brief Requests the changes that the store has now, without waiting for one.
    void requestPresentChanges();
    void retry();
    void applyListing(const external::key_listing& listing);
    void applyChange(const external::key_change& change);
    //! \brief Applies the changes of a watch reply; after a failed watch schedules another one, or starts a listing if the history is lost.
    //!
    //! Returns false if the caller must not continue: the watch failed, or this object was destroyed or started another
    //! listing meanwhile.
    bool applyWatchResult(const absl::StatusOr<external::watch_result>& result);
    void scheduleRetry();

    external::key_value_store& m_store;
    std::string m_prefix;
    utils::milliseconds m_watchTimeout;
    change_callback m_onChanged;
    synced_callback m_onSynced;
    transport::timer m_retryTimer;
    transport::timer m_nextWatchTimer;
    utils::milliseconds m_batchingDelay { 0 };
    std::map<std::string, external::key_value> m_values;
    external::revision m_revision = 0;
    utils::time_point m_confirmedAt;
    bool m_isLongPolling = true;
    bool m_isWatchOpen = false;
    bool m_isSynced = false;
    bool m_isListing = false;
    bool m_isRefreshing = false;
    //! The copy isn't known to be complete at m_revision, so that a watch from there can't complete it.
    bool m_needsListing = true;
    //! The last watch failed, and no reply has come since.
    bool m_isInterrupted = false;
    //! Consecutive listings and watches without a reply.
    unsigned m_failedRequests = 0;
    std::mt19937_64 m_random;
    //! Number of listings and interruptions; replies to requests of an earlier generation are ignored.
    std::uint64_t m_generation = 0;
    //! Expires with this object, so that replies which arrive later are ignored.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
