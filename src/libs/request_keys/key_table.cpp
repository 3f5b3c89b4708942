#include "request_keys/key_table.h"

namespace camphorsaddle::request_keys {

void key_table::apply(const key_entry& change)
{
    removeExpired(change.createdAt);
    if (!isApplicable(change))
        return;
    const auto found = m_records.find(change.key);
    if (change.record.phase == key_phase::Withdrawn) {
        m_claimOrder.erase({ found->second.claimedAt, change.key });
        m_records.erase(found);
    } else if (change.record.phase == key_phase::Claimed) {
        m_records[change.key] = change.record;
        m_claimOrder.emplace(change.record.claimedAt, change.key);
    } else {
        found->second.phase = change.record.phase;
        found->second.answer = change.record.answer;
    }
}

bool key_table::isApplicable(const key_entry& change) const
{
    const auto found = m_records.find(change.key);
    const bool isFree = found == m_records.end() || isExpired(found->second, change.createdAt);
    if (change.record.phase == key_phase::Claimed)
        return isFree;
    return !isFree && found->second.phase == key_phase::Claimed && found->second.holder == change.record.holder;
}

claim_verdict key_table::checkClaim(const std::string& key, const claimant& holder, std::uint64_t fingerprint, wall_milliseconds now) const
{
    const auto* existing = record(key);
    if (existing == nullptr || isExpired(*existing, now))
        return claim_verdict::Granted;
    if (existing->fingerprint != fingerprint)
        return claim_verdict::Mismatch;
    switch (existing->phase) {
    case key_phase::Claimed:
        return existing->holder == holder ? claim_verdict::Granted : claim_verdict::Wait;
    case key_phase::Answered:
        return claim_verdict::Answered;
    default:
        return claim_verdict::Unknown;
    }
}

const key_record* key_table::record(const std::string& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

void key_table::restore(std::map<std::string, key_record> records)
{
    m_records = std::move(records);
    m_claimOrder.clear();
    for (const auto& [key, record] : m_records)
        m_claimOrder.emplace(record.claimedAt, key);
}

bool key_table::isExpired(const key_record& record, wall_milliseconds now) const
{
    return record.claimedAt + m_keyTtl.count() <= now;
}

void key_table::removeExpired(wall_milliseconds now)
{
    while (!m_claimOrder.empty() && m_claimOrder.begin()->first + m_keyTtl.count() <= now) {
        m_records.erase(m_claimOrder.begin()->second);
        m_claimOrder.erase(m_claimOrder.begin());
    }
}

} // namespace camphorsaddle::request_keys
