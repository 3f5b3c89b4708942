#include "tasks/coordinator/open_submissions.h"

namespace camphorsaddle::tasks {

open_submissions::open_submissions(std::uint64_t limit)
    : m_limit(limit)
{
}

bool open_submissions::open(std::uint64_t ticket, std::uint64_t bytes, utils::time_point now, utils::time_point end)
{
    // Tickets rise, and callers wait for about the same time, so that the oldest entries end first.
    while (!m_entries.empty() && now > m_entries.begin()->second.end)
        close(m_entries.begin()->first);
    if (!m_entries.empty() && m_openBytes + bytes > m_limit)
        return false;
    if (m_entries.try_emplace(ticket, entry { bytes, end }).second)
        m_openBytes += bytes;
    return true;
}

void open_submissions::close(std::uint64_t ticket)
{
    const auto found = m_entries.find(ticket);
    if (found == m_entries.end())
        return;
    m_openBytes -= found->second.bytes;
    m_entries.erase(found);
}

} // namespace camphorsaddle::tasks
