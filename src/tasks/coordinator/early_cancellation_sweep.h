#pragma once

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "external/key_value_store.h"
#include "tasks/coordinator/early_cancellation_settings.h"

namespace camphorsaddle::tasks {

//! \brief Decides which early cancellations the leader erases, by listings of one page at a time.
//!
//! Compares their versions with the revisions that the store had at earlier listings, so that the memory doesn't depend on their
//! number, and no time of day is needed. A new leader counts the retention anew.
class early_cancellation_sweep {
public:
    //! Maximum number of entries that are examined, and so of those that are erased, at a time.
    static constexpr std::size_t pageSize = 100;

    explicit early_cancellation_sweep(early_cancellation_settings settings);

    //! \brief Whether the next page is to be listed now; returns false until its outcome was passed to handlePage().
    bool beginPage(utils::time_point now);
    //! \brief Key after which the next page begins; empty for the first page.
    const std::string& previousKey() const;
    //! \brief Returns the entries of the page that may be erased. After a failed listing the search begins anew.
    std::vector<external::key_value> handlePage(const absl::StatusOr<external::key_listing>& page, utils::time_point now);

private:
    void noteRevision(external::revision revision, utils::time_point now);

    early_cancellation_settings m_settings;
    //! Revisions of the store in ascending order, with the times at which it certainly had them.
    std::deque<std::pair<utils::time_point, external::revision>> m_revisions;
    //! Entries with at most this version are older than the retention.
    external::revision m_erasableVersion = 0;
    std::string m_previousKey;
    utils::time_point m_nextPageAt;
    bool m_isListing = false;
};

} // namespace camphorsaddle::tasks
