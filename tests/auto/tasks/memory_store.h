#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "external/transactional_store.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks::test {

//! \brief How the store responds to the next calls.
enum class reply_mode {
    Succeeds,
    //! Refuses the call without executing it.
    Refuses,
    //! Executes the call, but the caller gets no reply.
    LosesReplies,
    //! Executes a transaction twice and replies with the second outcome, as a transport that repeats requests does.
    RepeatsTransactions,
};

//! \brief A transactional store in memory that replies on the event loop.
class memory_store final : public external::transactional_store {
public:
    explicit memory_store(transport::event_loop& loop)
        : m_replyTimer(loop, [this] { sendReplies(); })
    {
    }

    reply_mode replyMode = reply_mode::Succeeds;
    //! Long polls get no changes.
    bool suppressesWatchEvents = false;
    //! The next long poll gets its reply only by replyToDelayedWatch(), as over a slow connection.
    bool delaysNextLongPoll = false;
    //! Watches fail until the next listing, because the history since their revision is gone.
    bool isHistoryLost = false;
    bool refusesLeaseRenewals = false;
    //! Listings and watches of this prefix are refused; empty for none.
    std::string refusedPrefix;
    //! The next transaction that writes this key waits for executeHeldTransaction() and gets no reply; empty for none.
    std::string heldKey;
    //! Prefixes that were listed or watched.
    std::set<std::string> requestedPrefixes;
    std::map<std::string, external::key_value> content;
    unsigned transactions = 0;
    unsigned watches = 0;
    unsigned listings = 0;
    //! Prefixes and times of the listings and watches that were refused.
    std::vector<std::pair<std::string, utils::time_point>> refusals;

    void put(const std::string& key, const std::string& value)
    {
        content[key] = { key, ++m_revision, value };
        if (!suppressesWatchEvents)
            notifyWatches(content[key]);
    }

    void remove(const std::string& key)
    {
        if (content.erase(key) == 0)
            return;
        m_removals[key] = ++m_revision;
        notifyWatches({ key, m_revision, {} }, true);
    }

    void replyToDelayedWatch()
    {
        postReply(std::exchange(m_delayedReply, {}));
    }

    //! \brief Executes the held transaction, as a store does seconds after the call.
    void executeHeldTransaction()
    {
        apply(m_heldTransaction);
    }

    std::size_t entryLimit() const override
    {
        return 32;
    }

    void transact(const external::transaction& change, external::store_callback<external::transaction_result> callback) override
    {
        ++transactions;
        if (replyMode == reply_mode::Refuses) {
            postReply([callback] { callback(absl::UnavailableError("refused")); });
            return;
        }
        if (!heldKey.empty() && std::ranges::find(change.puts, heldKey, &external::key_put::key) != change.puts.end()) {
            m_heldTransaction = change;
            heldKey.clear();
            postReply([callback] { callback(absl::DeadlineExceededError("no reply")); });
            return;
        }
        auto result = apply(change);
        if (replyMode == reply_mode::RepeatsTransactions)
            result = apply(change);
        if (replyMode == reply_mode::LosesReplies)
            postReply([callback] { callback(absl::DeadlineExceededError("no reply")); });
        else
            postReply([callback, result] { callback(result); });
    }

    void read(const std::string& key, external::store_callback<external::key_value> callback) override
    {
        const auto found = content.find(key);
        const absl::StatusOr<external::key_value> result = found == content.end() ? absl::StatusOr<external::key_value>(absl::NotFoundError(key)) : found->second;
        postReply([callback, result] { callback(result); });
    }

    void list(const std::string& prefix, const std::string& start, std::size_t limit, external::store_callback<external::key_listing> callback) override
    {
        requestedPrefixes.insert(prefix);
        if (isRefused(prefix)) {
            refusals.emplace_back(prefix, utils::nowIncludingSuspend());
            postReply([callback] { callback(absl::UnavailableError("refused")); });
            return;
        }
        ++listings;
        isHistoryLost = false;
        external::key_listing listing { m_revision, {} };
        for (const auto& [key, value] : content) {
            const bool hasRoom = limit == 0 || listing.entries.size() < limit;
            if (hasRoom && key.starts_with(prefix) && key >= start)
                listing.entries.push_back(value);
        }
        postReply([callback, listing] { callback(listing); });
    }

    //! \brief Replies at once to a watch that waits at most a millisecond, even while long polls get no changes.
    void watch(const std::string& prefix, external::revision after, utils::milliseconds wait, external::store_callback<external::watch_result> callback) override
    {
        ++watches;
        requestedPrefixes.insert(prefix);
        if (isRefused(prefix)) {
            refusals.emplace_back(prefix, utils::nowIncludingSuspend());
            postReply([callback] { callback(absl::UnavailableError("refused")); });
            return;
        }
        if (replyMode == reply_mode::LosesReplies || isHistoryLost) {
            const auto status = isHistoryLost ? absl::OutOfRangeError("history lost") : absl::DeadlineExceededError("no reply");
            postReply([callback, status] { callback(status); });
            return;
        }
        external::watch_result result { m_revision, {} };
        for (const auto& [key, value] : content) {
            if (key.starts_with(prefix) && value.version > after)
                result.changes.push_back({ key, value.version, value.value, false });
        }
        for (const auto& [key, version] : m_removals) {
            if (key.starts_with(prefix) && version > after && !content.contains(key))
                result.changes.push_back({ key, version, {}, true });
        }
        const bool isLongPoll = wait > utils::milliseconds(1);
        if (!isLongPoll || (!suppressesWatchEvents && !result.changes.empty())) {
            postReply([callback, result] { callback(result); });
            return;
        }
        m_watches.emplace_back(prefix, std::move(callback));
    }

    void write(const external::write_request&, external::store_callback<external::revision> callback) override
    {
        postReply([callback] { callback(absl::UnimplementedError("not used")); });
    }

    void erase(const std::string&, external::revision, external::store_callback<external::revision> callback) override
    {
        postReply([callback] { callback(absl::UnimplementedError("not used")); });
    }

    void grantLease(utils::milliseconds, external::store_callback<external::lease_id> callback) override
    {
        postReply([callback] { callback(external::lease_id(1)); });
    }

    void renewLease(external::lease_id, std::function<void(absl::Status)> callback) override
    {
        postReply([callback, status = refusesLeaseRenewals ? absl::UnavailableError("refused") : absl::OkStatus()] { callback(status); });
    }

    void revokeLease(external::lease_id, std::function<void(absl::Status)> callback) override
    {
        postReply([callback] { callback(absl::OkStatus()); });
    }

private:
    external::transaction_result apply(const external::transaction& change)
    {
        external::transaction_result result { true, 0, {} };
        for (const auto& expected : change.expected) {
            const auto found = content.find(expected.key);
            result.isCommitted = result.isCommitted && (found == content.end() ? 0 : found->second.version) == expected.version;
            if (found != content.end())
                result.present.push_back(found->second);
        }
        if (!result.isCommitted)
            return result;
        result = { true, ++m_revision, {} };
        for (const auto& entry : change.puts)
            content[entry.key] = { entry.key, m_revision, entry.value, entry.lease };
        for (const auto& key : change.erased)
            content.erase(key);
        return result;
    }

    bool isRefused(const std::string& prefix) const
    {
        return replyMode == reply_mode::Refuses || (!refusedPrefix.empty() && prefix == refusedPrefix);
    }

    void notifyWatches(const external::key_value& value, bool isRemoved = false)
    {
        std::vector<std::pair<std::string, external::store_callback<external::watch_result>>> rest;
        for (auto& [prefix, callback] : m_watches) {
            if (!value.key.starts_with(prefix)) {
                rest.emplace_back(prefix, callback);
                continue;
            }
            const external::watch_result result { m_revision, { { value.key, value.version, value.value, isRemoved } } };
            if (std::exchange(delaysNextLongPoll, false)) {
                m_delayedReply = [callback = callback, result] {
                    callback(result);
                };
                continue;
            }
            postReply([callback = callback, result] { callback(result); });
        }
        m_watches = std::move(rest);
    }

    void postReply(std::function<void()> reply)
    {
        m_pendingReplies.push_back(std::move(reply));
        m_replyTimer.startOnce(utils::milliseconds(0));
    }

    void sendReplies()
    {
        for (const auto& reply : std::exchange(m_pendingReplies, {}))
            reply();
    }

    transport::timer m_replyTimer;
    std::vector<std::function<void()>> m_pendingReplies;
    std::vector<std::pair<std::string, external::store_callback<external::watch_result>>> m_watches;
    std::map<std::string, external::revision> m_removals;
    std::function<void()> m_delayedReply;
    external::transaction m_heldTransaction;
    external::revision m_revision = 1;
};

//! \brief Runs the loop for \a duration.
inline void runLoop(transport::event_loop& loop, utils::milliseconds duration)
{
    transport::timer end(loop, [&] { loop.stop(); });
    end.startOnce(duration);
    loop.run();
}

} // namespace camphorsaddle::tasks::test
