#include "jobs/rules_history.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <unordered_set>

namespace camphorsaddle::jobs {

namespace {

    // Some ten seconds of the fastest series of changes that operators make, three a second, and as much again.
    constexpr std::size_t mostChanges = 64;

    void sortByName(deployment_rules& rules)
    {
        std::ranges::stable_sort(rules.queues, {}, &queue_rules::name);
    }

    bool hasUniqueNames(const deployment_rules& sorted)
    {
        return std::ranges::adjacent_find(sorted.queues, {}, &queue_rules::name) == sorted.queues.end();
    }

    // Both are sorted by name, without two of a name.
    rules_change difference(const deployment_rules& before, const deployment_rules& after)
    {
        rules_change change;
        change.version = after.version;
        change.bodyLimit = after.bodyLimit;
        auto old = before.queues.begin();
        for (const auto& queue : after.queues) {
            for (; old != before.queues.end() && old->name < queue.name; ++old)
                change.removed.push_back(old->name);
            const bool isKnown = old != before.queues.end() && old->name == queue.name;
            if (!isKnown || *old != queue)
                change.changed.push_back(queue);
            if (isKnown)
                ++old;
        }
        for (; old != before.queues.end(); ++old)
            change.removed.push_back(old->name);
        return change;
    }

} // namespace

bool rules_history::replaceRules(deployment_rules rules, external::revision revision)
{
    if (m_rules != nullptr && rules.version <= m_rules->version)
        return false;
    sortByName(rules);
    if (m_rules != nullptr && hasUniqueNames(*m_rules) && hasUniqueNames(rules)) {
        auto change = difference(*m_rules, rules);
        change.from = m_revision;
        change.to = revision;
        remember(std::move(change));
    } else {
        m_changes.clear();
    }
    m_rules = std::make_shared<const deployment_rules>(std::move(rules));
    m_revision = revision;
    return true;
}

bool rules_history::applyChange(const rules_change& change)
{
    if (m_rules == nullptr || change.from != m_revision || change.version <= m_rules->version)
        return false;
    deployment_rules rules { change.version, {}, change.bodyLimit };
    std::unordered_set<std::string_view> replaced(change.removed.begin(), change.removed.end());
    for (const auto& queue : change.changed)
        replaced.insert(queue.name);
    std::ranges::copy_if(m_rules->queues, std::back_inserter(rules.queues), [&](const auto& queue) { return !replaced.contains(queue.name); });
    std::ranges::copy(change.changed, std::back_inserter(rules.queues));
    sortByName(rules);
    m_rules = std::make_shared<const deployment_rules>(std::move(rules));
    m_revision = change.to;
    remember(change);
    return true;
}

void rules_history::remember(rules_change change)
{
    m_changes.push_back(std::move(change));
    if (m_changes.size() > mostChanges)
        m_changes.pop_front();
}

std::optional<rules_change> rules_history::changesSince(external::revision revision) const
{
    if (m_rules == nullptr)
        return std::nullopt;
    rules_change sum { revision, m_revision, m_rules->version, m_rules->bodyLimit, {}, {} };
    if (revision == m_revision)
        return sum;
    const auto first = std::ranges::find(m_changes, revision, &rules_change::from);
    if (first == m_changes.end())
        return std::nullopt;
    // The last word on each queue counts; none for one that is gone.
    std::map<std::string, std::optional<queue_rules>> last;
    for (auto change = first; change != m_changes.end(); ++change) {
        for (const auto& queue : change->changed)
            last[queue.name] = queue;
        for (const auto& name : change->removed)
            last[name] = std::nullopt;
    }
    for (auto& [name, queue] : last) {
        if (queue)
            sum.changed.push_back(*std::move(queue));
        else
            sum.removed.push_back(name);
    }
    return sum;
}

const std::shared_ptr<const deployment_rules>& rules_history::rules() const
{
    return m_rules;
}

external::revision rules_history::revision() const
{
    return m_revision;
}

} // namespace camphorsaddle::jobs
