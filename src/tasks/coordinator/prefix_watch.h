#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "external/key_value_store.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief Keeps a copy of all keys with a prefix by one listing and a waiting watch.
//!
//! It lists again when the store has dropped its history, when a watch goes silent, and after an outage.
class prefix_watch {
public:
    //! \a changed tells each key that differs from what was told before, null for a key that is gone.
    using change_function = std::function<void(const std::string& key, const external::key_value* value)>;
    //! Called after a listing was told in full, and after each answer of the watch.
    using synced_function = std::function<void()>;

    prefix_watch(transport::event_loop& loop, external::key_value_store& store, std::string prefix, utils::milliseconds wait, change_function changed, synced_function synced);
    ~prefix_watch();
    prefix_watch(const prefix_watch&) = delete;
    prefix_watch& operator=(const prefix_watch&) = delete;

    void start();
    //! \brief Lists soon, whatever the watch says.
    void relist();
    //! \brief Asks for changes beside the waiting watch, which may hear nothing for seconds although the store answers.
    void refresh();
    //! \brief Whether a call waits at the store for changes all the time; otherwise they come by refresh() only.
    void setWaiting(bool waits);
    //! \brief Pause after each answer of the waiting watch, so that changes which come one by one arrive together.
    void setPause(utils::milliseconds pause);
    //! \brief Another daemon has told that \a key has \a version, and that nothing newer was there at \a at.
    void assume(const std::string& key, external::revision version, external::revision at);
    bool isSynced() const;
    bool isAsking() const;
    //! \brief Nothing changed up to this moment but what was told. Before the first answer the epoch of the clock.
    utils::time_point confirmedAt() const;
    //! \brief Revision of the store up to which changes were told.
    external::revision at() const;

    const std::map<std::string, external::key_value>& values() const
    {
        return m_values;
    }

private:
    void list();
    void watch();
    void take(const external::key_listing& listing);
    void take(const external::key_change& change);
    //! Lists anew after a failure. False when what follows is not this answer's business any more: it failed, or this
    //! object has ended or listed anew meanwhile.
    bool takeAnswer(const absl::StatusOr<external::watch_result>& result);
    void retryLater();

    external::key_value_store& m_store;
    std::string m_prefix;
    utils::milliseconds m_wait;
    change_function m_changed;
    synced_function m_synced;
    transport::timer m_retry;
    transport::timer m_continue;
    utils::milliseconds m_pause { 0 };
    std::map<std::string, external::key_value> m_values;
    external::revision m_at = 0;
    utils::time_point m_confirmedAt;
    bool m_isWaiting = true;
    bool m_isWatching = false;
    bool m_isSynced = false;
    bool m_isListing = false;
    bool m_isRefreshing = false;
    unsigned m_failures = 0;
    //! Counts the listings, so that an answer to an older watch is not continued.
    std::uint64_t m_generation = 0;
    //! Answers that arrive after the end of this object find it expired.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
