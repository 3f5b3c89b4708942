#pragma once

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "external/key_value_store.h"

namespace camphorsaddle::standins {

enum class store_outcome {
    Done,
    KeyNotFound,
    VersionMismatch,
    LeaseEnded,
};

struct store_result {
    store_outcome outcome = store_outcome::Done;
    //! The new version if the change was made, otherwise the current one; 0 for a missing key.
    external::revision version = 0;

    auto operator<=>(const store_result&) const = default;
};

struct store_entry {
    std::string value;
    external::revision version = 0;
    external::lease_id lease = 0;
};

//! \brief In-memory content of the key-value service: versioned keys with compare-and-swap, leases and a bounded change history.
class store {
public:
    explicit store(std::size_t historyLimit = 20000)
        : m_historyLimit(historyLimit)
    {
    }

    external::revision revision() const
    {
        return m_revision;
    }

    const std::map<std::string, store_entry>& entries() const
    {
        return m_entries;
    }

    store_result write(const external::write_request& request)
    {
        const auto found = m_entries.find(request.key);
        const external::revision currentVersion = found == m_entries.end() ? 0 : found->second.version;
        if (currentVersion != request.expectedVersion)
            return { store_outcome::VersionMismatch, currentVersion };
        if (request.lease != 0 && !m_leases.contains(request.lease))
            return { store_outcome::LeaseEnded, currentVersion };
        m_entries[request.key] = { request.value, ++m_revision, request.lease };
        recordChange({ request.key, m_revision, request.value, false });
        return { store_outcome::Done, m_revision };
    }

    store_result erase(const std::string& key, external::revision expectedVersion)
    {
        const auto found = m_entries.find(key);
        if (found == m_entries.end())
            return { store_outcome::KeyNotFound, 0 };
        if (found->second.version != expectedVersion)
            return { store_outcome::VersionMismatch, found->second.version };
        m_entries.erase(found);
        recordChange({ key, ++m_revision, "", true });
        return { store_outcome::Done, m_revision };
    }

    //! \brief Returns at most \a limit entries with the prefix, beginning at key \a start; a limit of 0 returns all.
    std::vector<external::key_value> list(const std::string& prefix, const std::string& start, std::size_t limit) const
    {
        std::vector<external::key_value> result;
        for (auto next = m_entries.lower_bound(std::max(prefix, start)); next != m_entries.end() && absl::StartsWith(next->first, prefix); ++next) {
            if (limit != 0 && result.size() == limit)
                break;
            result.push_back({ next->first, next->second.version, next->second.value });
        }
        return result;
    }

    external::lease_id grantLease(utils::milliseconds duration, utils::time_point now)
    {
        m_leases[++m_lastLease] = { duration, now + duration };
        return m_lastLease;
    }

    bool renewLease(external::lease_id lease, utils::time_point now)
    {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end() || found->second.expiry <= now)
            return false;
        found->second.expiry = now + found->second.duration;
        return true;
    }

    bool revokeLease(external::lease_id lease)
    {
        const bool isKnown = m_leases.erase(lease) > 0;
        std::erase_if(m_entries, [this, lease, isKnown](const auto& entry) {
            const bool isDeleted = isKnown && entry.second.lease == lease;
            if (isDeleted)
                recordChange({ entry.first, ++m_revision, "", true });
            return isDeleted;
        });
        return isKnown;
    }

    //! \brief Revokes the leases that have expired; returns whether there were any.
    bool expireLeases(utils::time_point now)
    {
        std::vector<external::lease_id> expired;
        for (const auto& [lease, state] : m_leases) {
            if (state.expiry <= now)
                expired.push_back(lease);
        }
        for (const auto lease : expired)
            revokeLease(lease);
        return !expired.empty();
    }

    //! \brief Returns the changes with the prefix after a revision, or nullopt if the history no longer reaches back to it.
    std::optional<std::vector<external::key_change>> changesAfter(const std::string& prefix, external::revision after) const
    {
        if (after < m_lastDiscardedRevision)
            return std::nullopt;
        const auto isOlder = [](const auto& change, external::revision version) {
            return change.version <= version;
        };
        std::vector<external::key_change> changes;
        std::copy_if(std::lower_bound(m_history.begin(), m_history.end(), after, isOlder), m_history.end(), std::back_inserter(changes),
            [&prefix](const auto& change) { return absl::StartsWith(change.key, prefix); });
        return changes;
    }

private:
    struct lease_state {
        utils::milliseconds duration { 0 };
        utils::time_point expiry;
    };

    void recordChange(external::key_change change)
    {
        m_history.push_back(std::move(change));
        if (m_history.size() <= m_historyLimit)
            return;
        m_lastDiscardedRevision = m_history.front().version;
        m_history.pop_front();
    }

    std::size_t m_historyLimit;
    external::revision m_revision = 0;
    external::lease_id m_lastLease = 0;
    //! Revision of the newest change that was discarded from the history.
    external::revision m_lastDiscardedRevision = 0;
    std::map<std::string, store_entry> m_entries;
    std::map<external::lease_id, lease_state> m_leases;
    std::deque<external::key_change> m_history;
};

} // namespace camphorsaddle::standins
