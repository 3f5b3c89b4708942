#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "external/key_value_store.h"
#include "placement/evacuations.h"
#include "utils/executor.h"

namespace camphorsaddle::tasks {

//! \brief Prefix of the store's keys that each hold the request to evacuate one data centre.
inline constexpr absl::string_view evacuationKeyPrefix = "evacuations/";

//! \brief A request to evacuate a data centre, as stored.
struct evacuation_request {
    std::string dataCentre;
    std::string operatorName;
    //! Time of the request in milliseconds since the Unix epoch; 0 if the value is unreadable.
    std::int64_t time = 0;

    auto operator<=>(const evacuation_request&) const = default;
};

//! \brief Key of the request to evacuate \a dataCentre.
std::string evacuationKey(absl::string_view dataCentre);

//! \brief Value of the key of a request: a JSON object with the operator and the time.
std::string formatEvacuation(const evacuation_request& request);

//! \brief Parses a key and its value. The key alone is the request; an unreadable value leaves operator and time empty.
//!
//! InvalidArgument for a key that is not the prefix and a name of 1 to 128 characters without '/'.
absl::StatusOr<evacuation_request> parseEvacuation(const std::string& key, const std::string& value);

//! \brief Follows the evacuation requests in the store.
//!
//! Lists them at intervals, and at once when a watch reports a change. Only listings change the set, so that a silent watch
//! delays a change by at most the interval.
class evacuation_follower {
public:
    using listing_callback = std::function<void(const absl::Status&)>;

    //! \a onListed is called after each complete listing.
    evacuation_follower(external::key_value_store& store, utils::executor& executor, std::function<void()> onListed);

    void start();

    //! \brief Lists the requests; \a callback gets the outcome of a listing that was sent after this call.
    void list(listing_callback callback);

    //! \brief The requests by data centre, according to the last complete listing.
    const std::map<std::string, evacuation_request>& requests() const
    {
        return m_requests;
    }

    const placement::evacuations& state() const
    {
        return m_state;
    }

private:
    void listPeriodically();
    void sendListing();
    void applyListing(const external::key_listing& listing, utils::time_point sentAt);
    void logChanges(const std::map<std::string, evacuation_request>& previous) const;
    void watch();

    external::key_value_store& m_store;
    utils::executor& m_executor;
    std::function<void()> m_onListed;
    std::map<std::string, evacuation_request> m_requests;
    placement::evacuations m_state;
    //! Keys that are logged as ignored.
    std::set<std::string> m_ignoredKeys;
    bool m_isListing = false;
    //! Callbacks of the next listing.
    std::vector<listing_callback> m_nextCallbacks;
    //! Revision after which the next watch reports changes.
    external::revision m_watchedRevision = 0;
    bool m_isWatching = false;
    //! Expires with this object, so that replies which arrive later are ignored.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
