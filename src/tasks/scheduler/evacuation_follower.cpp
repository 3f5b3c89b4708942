#include "tasks/scheduler/evacuation_follower.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "nlohmann/json.hpp"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    using json = nlohmann::json;

    constexpr utils::milliseconds listingInterval { 1000 };
    constexpr utils::milliseconds watchTimeout { 10000 };
    //! Least time between two watches, which bounds the calls while the store reports the same change repeatedly.
    constexpr utils::milliseconds watchDelay { 50 };
    constexpr utils::milliseconds failedWatchDelay { 1000 };
    constexpr std::size_t maximumNameLength = 128;

} // namespace

std::string evacuationKey(absl::string_view dataCentre)
{
    return absl::StrCat(evacuationKeyPrefix, dataCentre);
}

std::string formatEvacuation(const evacuation_request& request)
{
    return json { { "operator", request.operatorName }, { "time", request.time } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<evacuation_request> parseEvacuation(const std::string& key, const std::string& value)
{
    absl::string_view name = key;
    if (!absl::ConsumePrefix(&name, evacuationKeyPrefix) || name.empty() || name.size() > maximumNameLength || absl::StrContains(name, '/'))
        return utils::makeError(absl::StatusCode::kInvalidArgument, "read an evacuation", key, "the key does not name a data centre");
    evacuation_request request { std::string(name), {}, 0 };
    const auto stored = json::parse(value, nullptr, false);
    if (!stored.is_object())
        return request;
    if (const auto found = stored.find("operator"); found != stored.end() && found->is_string())
        request.operatorName = found->get<std::string>();
    if (const auto found = stored.find("time"); found != stored.end() && found->is_number_integer())
        request.time = found->get<std::int64_t>();
    return request;
}

evacuation_follower::evacuation_follower(external::key_value_store& store, utils::executor& executor, std::function<void()> onListed)
    : m_store(store)
    , m_executor(executor)
    , m_onListed(std::move(onListed))
{
}

void evacuation_follower::start()
{
    listPeriodically();
}

void evacuation_follower::listPeriodically()
{
    list([this, alive = std::weak_ptr(m_alive)](const absl::Status&) {
        m_executor.callLater(listingInterval, [this, alive] {
            if (!alive.expired())
                listPeriodically();
        });
    });
}

void evacuation_follower::list(listing_callback callback)
{
    m_nextCallbacks.push_back(std::move(callback));
    if (!m_isListing)
        sendListing();
}

// Listings never overlap, so that none is answered with the reply to an earlier one and counts as younger than it is.
void evacuation_follower::sendListing()
{
    m_isListing = true;
    const auto sentAt = m_executor.now();
    m_store.list(std::string(evacuationKeyPrefix), {}, 0, [this, sentAt, callbacks = std::exchange(m_nextCallbacks, {}), alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::key_listing>& listing) {
        if (alive.expired())
            return;
        m_isListing = false;
        if (listing.ok())
            applyListing(*listing, sentAt);
        for (const auto& callback : callbacks) {
            callback(listing.status());
            if (alive.expired())
                return;
        }
        if (!m_isListing && !m_nextCallbacks.empty())
            sendListing();
    });
}

void evacuation_follower::applyListing(const external::key_listing& listing, utils::time_point sentAt)
{
    const auto previous = std::exchange(m_requests, {});
    std::set<std::string> names;
    std::set<std::string> ignoredKeys;
    for (const auto& entry : listing.entries) {
        const auto request = parseEvacuation(entry.key, entry.value);
        if (!request.ok()) {
            ignoredKeys.insert(entry.key);
            if (!m_ignoredKeys.contains(entry.key))
                utils::logEvent(utils::events::evacuationIgnored, { { "key", entry.key }, { "cause", utils::describe(request.status()) } });
            continue;
        }
        names.insert(request->dataCentre);
        m_requests.emplace(request->dataCentre, *request);
    }
    m_ignoredKeys = std::move(ignoredKeys);
    m_state.setListing(names, sentAt, m_executor.now());
    logChanges(previous);
    m_watchedRevision = std::max(m_watchedRevision, listing.at);
    m_onListed();
    if (!m_isWatching)
        watch();
}

void evacuation_follower::logChanges(const std::map<std::string, evacuation_request>& previous) const
{
    for (const auto& [name, request] : m_requests) {
        if (!previous.contains(name))
            utils::logEvent(utils::events::evacuationKnown, { { "data_centre", name }, { "operator", request.operatorName } });
    }
    for (const auto& [name, request] : previous) {
        if (!m_requests.contains(name))
            utils::logEvent(utils::events::evacuationEnded, { { "data_centre", name } });
    }
}

void evacuation_follower::watch()
{
    m_isWatching = true;
    m_store.watch(std::string(evacuationKeyPrefix), m_watchedRevision, watchTimeout, [this, alive = std::weak_ptr(m_alive)](const absl::StatusOr<external::watch_result>& result) {
        if (alive.expired())
            return;
        if (result.ok()) {
            m_watchedRevision = std::max(m_watchedRevision, result->at);
            if (!result->changes.empty())
                list([](const absl::Status&) {});
        }
        m_executor.callLater(result.ok() ? watchDelay : failedWatchDelay, [this, alive] {
            if (!alive.expired())
                watch();
        });
    });
}

} // namespace camphorsaddle::tasks
