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

//! \brief Difference between two revisions of the operators' rules.
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

//! \brief The current rules and the most recent changes to them.
//!
//! Followers receive changes instead of all rules, since the rules of a large deployment are far larger than what an
//! operator changes.
class rules_history {
public:
    //! \brief Replaces the rules by a complete set; returns false if it isn't newer.
    bool replaceRules(deployment_rules rules, external::revision revision);
    //! \brief Applies a change to the current rules; returns false if it is based on another revision or isn't newer.
    bool applyChange(const rules_change& change);
    //! \brief Change from \a revision to the current rules; nullopt if the revision is unknown or too old.
    std::optional<rules_change> changesSince(external::revision revision) const;

    //! \brief Current rules; null before the first ones were received.
    const std::shared_ptr<const deployment_rules>& rules() const;
    external::revision revision() const;

private:
    void appendChange(rules_change change);

    std::shared_ptr<const deployment_rules> m_rules;
    external::revision m_revision = 0;
    std::deque<rules_change> m_changes;
};

} // namespace camphorsaddle::jobs
