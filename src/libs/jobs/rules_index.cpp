#include "jobs/rules_index.h"

#include <algorithm>
#include <functional>

namespace camphorsaddle::jobs {

rules_index::rules_index(std::shared_ptr<const deployment_rules> rules)
    : m_rules(std::move(rules))
{
    m_byName.reserve(m_rules->queues.size());
    for (const auto& queue : m_rules->queues) {
        m_byName.emplace(queue.name, &queue);
        m_byHost[queue.host].push_back(&queue);
        auto& rejects = m_rejectsOverload.try_emplace(queue.service, true).first->second;
        rejects = rejects && queue.workersRejectOverload;
    }
    for (auto& [host, queues] : m_byHost)
        std::ranges::stable_sort(queues, std::greater(), [](const auto* queue) { return queue->prefix.size(); });
}

const queue_rules* rules_index::find(const std::string& name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : found->second;
}

const queue_rules* rules_index::match(const std::string& host, const std::string& path) const
{
    const auto queues = m_byHost.find(host);
    if (queues == m_byHost.end())
        return nullptr;
    const auto found = std::ranges::find_if(queues->second, [&](const auto* queue) { return path.starts_with(queue->prefix); });
    return found == queues->second.end() ? nullptr : *found;
}

bool rules_index::rejectsOverload(const std::string& service) const
{
    const auto found = m_rejectsOverload.find(service);
    return found != m_rejectsOverload.end() && found->second;
}

const deployment_rules& rules_index::rules() const
{
    return *m_rules;
}

} // namespace camphorsaddle::jobs
