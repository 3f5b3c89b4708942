#pragma once

#include <compare>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "external/key_value_store.h"
#include "jobs/job.h"

namespace camphorsaddle::jobs {

//! \brief What differs between two revisions of the operators' rules.
struct rules_change {
    external::revision from = 0;
    external::revision to = 0;
    std::uint64_t version = 0;
    std::size_t bodyLimit = 0;
    //! Queues that were added or changed.
    std::vector<queue_rules> changed;
    std::vector<std::string> removed;

    auto operator<=>(const rules_change&) const = default;
};

//! \brief The rules in force and the last changes that led to them.
//!
//! Others are told the changes, since the rules of a large deployment are far larger than what an operator changes.
class rules_history {
public:
    //! \brief Takes rules that were read in full; false if they are no newer.
    bool replaceRules(deployment_rules rules, external::revision revision);
    //! \brief Takes a change of the present rules; false if it starts from others.
    bool applyChange(const rules_change& change);
    //! \brief Change from \a revision to the present rules; nullopt when it is not known any more.
    std::optional<rules_change> changesSince(external::revision revision) const;

    //! Null before the first rules.
    const std::shared_ptr<const deployment_rules>& rules() const;
    external::revision revision() const;

private:
    void remember(rules_change change);

    std::shared_ptr<const deployment_rules> m_rules;
    external::revision m_revision = 0;
    std::deque<rules_change> m_changes;
};

} // namespace camphorsaddle::jobs
