#include "tasks/coordinator/former_leaders.h"

#include <utility>

namespace camphorsaddle::tasks {

// A daemon of an older version doesn't write the history.
former_leaders::former_leaders(std::vector<jobs::leader_record> leaders, const jobs::leader_record& own)
    : m_ownTerm(own.term)
    , m_isComplete(!leaders.empty() && leaders.back().term + jobs::fencesPerTerm == own.term)
    , m_unproven(std::move(leaders))
{
    std::erase_if(m_unproven, [&](const auto& leader) { return leader.daemon == own.daemon; });
}

void former_leaders::noteFollower(const std::string& endpoint, std::uint64_t term)
{
    if (term == m_ownTerm)
        std::erase_if(m_unproven, [&](const auto& leader) { return leader.endpoint == endpoint; });
}

const std::vector<jobs::leader_record>& former_leaders::unproven() const
{
    return m_unproven;
}

bool former_leaders::haveEnded() const
{
    return m_isComplete && m_unproven.empty();
}

} // namespace camphorsaddle::tasks
