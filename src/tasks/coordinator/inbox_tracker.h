#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "external/key_value_store.h"

namespace camphorsaddle::tasks {

//! \brief Tracks the inbox entries that the leader is processing.
//!
//! An entry that is written again meanwhile is processed again.
class inbox_tracker {
public:
    //! \brief Whether to process the entry now; if it is being processed already, finishProcessing() returns the newer version.
    bool beginProcessing(const std::string& id, external::revision version)
    {
        const auto [entry, isNew] = m_latestVersions.try_emplace(id, version);
        entry->second = std::max(entry->second, version);
        return isNew;
    }

    //! \brief Ends the processing of a version and returns the version to process next, if any.
    //!
    //! \a currentVersion is the version of the entry in the store; 0 if it does not exist.
    std::optional<external::revision> finishProcessing(const std::string& id, external::revision version, external::revision currentVersion)
    {
        const auto entry = m_latestVersions.find(id);
        const auto latest = std::max(currentVersion, entry == m_latestVersions.end() ? 0 : entry->second);
        m_latestVersions.erase(id);
        return latest > version ? std::optional(latest) : std::nullopt;
    }

    //! \brief Records that the entry says that its job is cancelled. The leader may not know the job yet.
    void noteCancellation(const std::string& id)
    {
        m_cancelledJobs.insert(id);
    }

    bool isCancelled(const std::string& id) const
    {
        return m_cancelledJobs.contains(id);
    }

    void forgetCancellation(const std::string& id)
    {
        if (!m_latestVersions.contains(id))
            m_cancelledJobs.erase(id);
    }

private:
    //! Latest seen version of each entry that is being processed.
    std::map<std::string, external::revision> m_latestVersions;
    std::set<std::string> m_cancelledJobs;
};

} // namespace camphorsaddle::tasks
