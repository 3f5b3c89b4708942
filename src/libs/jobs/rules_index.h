#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace camphorsaddle::jobs {

//! \brief Finds queues of one version of the operators' rules by their name, or by a request's host and path.
class rules_index {
public:
    explicit rules_index(std::shared_ptr<const deployment_rules> rules);

    //! \brief Null for an unknown name.
    const queue_rules* find(const std::string& name) const;
    //! \brief Queue with the request's host and the longest prefix that \a path begins with, or null.
    const queue_rules* match(const std::string& host, const std::string& path) const;
    const deployment_rules& rules() const;

private:
    std::shared_ptr<const deployment_rules> m_rules;
    std::unordered_map<std::string_view, const queue_rules*> m_byName;
    //! Longest prefix first.
    std::unordered_map<std::string_view, std::vector<const queue_rules*>> m_byHost;
};

} // namespace camphorsaddle::jobs
