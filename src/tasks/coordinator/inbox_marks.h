#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "external/key_value_store.h"

namespace camphorsaddle::tasks {

//! \brief Marks of the inbox that are being taken up; a mark that is written again meanwhile is taken up again.
class inbox_marks {
public:
    //! \brief Whether the mark is to be taken up now; otherwise it is under way, and finish() tells of the newer one.
    bool begin(const std::string& id, external::revision version)
    {
        const auto [entry, isNew] = m_versions.try_emplace(id, version);
        entry->second = std::max(entry->second, version);
        return isNew;
    }

    //! \brief Ends the taking up of a version; \a present is the mark's version if there still is one, else 0.
    //! The version to take up next, if any.
    std::optional<external::revision> finish(const std::string& id, external::revision version, external::revision present)
    {
        const auto entry = m_versions.find(id);
        const auto latest = std::max(present, entry == m_versions.end() ? 0 : entry->second);
        m_versions.erase(id);
        return latest > version ? std::optional(latest) : std::nullopt;
    }

private:
    //! Latest version that was seen of each mark under way.
    std::map<std::string, external::revision> m_versions;
};

} // namespace camphorsaddle::tasks
