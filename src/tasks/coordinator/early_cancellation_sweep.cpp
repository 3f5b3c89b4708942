#include "tasks/coordinator/early_cancellation_sweep.h"

#include <algorithm>
#include <iterator>
#include <span>

namespace camphorsaddle::tasks {

early_cancellation_sweep::early_cancellation_sweep(early_cancellation_settings settings)
    : m_settings(settings)
{
}

bool early_cancellation_sweep::beginPage(utils::time_point now)
{
    if (m_isListing || now < m_nextPageAt)
        return false;
    m_isListing = true;
    return true;
}

const std::string& early_cancellation_sweep::previousKey() const
{
    return m_previousKey;
}

void early_cancellation_sweep::noteRevision(external::revision revision, utils::time_point now)
{
    while (!m_revisions.empty() && now >= m_revisions.front().first + m_settings.retention) {
        m_erasableVersion = m_revisions.front().second;
        m_revisions.pop_front();
    }
    // Bounds the number of revisions, whatever the number of pages is.
    if (m_revisions.empty() || now >= m_revisions.back().first + m_settings.sweepInterval)
        m_revisions.emplace_back(now, revision);
}

std::vector<external::key_value> early_cancellation_sweep::handlePage(const absl::StatusOr<external::key_listing>& page, utils::time_point now)
{
    m_isListing = false;
    const bool isLastPage = !page.ok() || page->entries.size() <= pageSize;
    m_previousKey = isLastPage ? std::string() : page->entries[pageSize - 1].key;
    m_nextPageAt = isLastPage ? now + m_settings.sweepInterval : now;
    if (!page.ok())
        return {};
    noteRevision(page->at, now);
    std::vector<external::key_value> erasable;
    // The store may return more entries than were asked for.
    const auto examined = std::span(page->entries).first(std::min(pageSize, page->entries.size()));
    std::ranges::copy_if(examined, std::back_inserter(erasable), [this](const auto& entry) { return entry.version <= m_erasableVersion; });
    return erasable;
}

} // namespace camphorsaddle::tasks
