#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace camphorsaddle::jobs {

//! \brief Index of the queues in one version of the operators' rules by name, and by a request's host and path.
class rules_index {
public:
    explicit rules_index(std::shared_ptr<const deployment_rules> rules);

    //! \brief Queue with the given name, or null.
    const queue_rules* find(const std::string& name) const;
    //! \brief Queue of \a host with the longest prefix of \a path, or null.
    const queue_rules* match(const std::string& host, const std::string& path) const;
    //! \brief Whether all queues of the service say that its workers reject overload; false for an unknown service.
    bool rejectsOverload(const std::string& service) const;
    const deployment_rules& rules() const;

private:
    std::shared_ptr<const deployment_rules> m_rules;
    std::unordered_map<std::string_view, const queue_rules*> m_byName;
    std::unordered_map<std::string_view, bool> m_rejectsOverload;
    //! Queues of each host, longest prefix first.
    std::unordered_map<std::string_view, std::vector<const queue_rules*>> m_byHost;
};

} // namespace camphorsaddle::jobs
