#include "access/token_authenticator.h"

#include <algorithm>

#include "access/token_hash.h"

namespace camphorsaddle::access {

token_authenticator::token_authenticator(token_authenticator_settings settings, digest_key key)
    : m_settings(settings)
    , m_key(key)
{
}

void token_authenticator::setTeams(const std::map<std::string, model::team_configuration>& teams)
{
    std::map<std::string, std::vector<std::string>> hashes;
    for (const auto& [name, team] : teams) {
        if (!team.tokenHashes.empty())
            hashes[name].assign(team.tokenHashes.begin(), team.tokenHashes.end());
    }
    if (hashes == m_hashes)
        return;
    m_hashes = std::move(hashes);
    ++m_generation;
    m_knownDigests.clear();
    m_unknownDigests.clear();
    m_unknownOrder.clear();
    m_queue.clear();
    m_runningDigest.reset();
}

token_verdict token_authenticator::check(const std::string& token, const std::string& address, utils::time_point now)
{
    const auto team = m_hashes.find(teamOfToken(token));
    if (team == m_hashes.end() || token.size() > maximumTokenSize)
        return token_verdict::Unknown;
    const auto tokenDigest = digest(token);
    if (m_knownDigests.count(tokenDigest) > 0)
        return token_verdict::Known;
    if (m_unknownDigests.count(tokenDigest) > 0)
        return token_verdict::Unknown;
    const bool isPending = m_runningDigest == tokenDigest || std::any_of(m_queue.begin(), m_queue.end(), [&](const token_verification& verification) { return verification.digest == tokenDigest; });
    if (isPending)
        return token_verdict::Pending;
    if (m_queue.size() >= m_settings.queueLimit || !consumeAllowance(address, now))
        return token_verdict::Busy;
    m_queue.push_back({ tokenDigest, m_generation, token, team->second });
    return token_verdict::Pending;
}

bool token_authenticator::consumeAllowance(const std::string& address, utils::time_point now)
{
    if (m_allowances.size() >= m_settings.cacheLimit && m_allowances.count(address) == 0) {
        std::erase_if(m_allowances, [&](const auto& entry) { return now - entry.second.refilledAt >= m_settings.refillInterval * m_settings.burst; });
        if (m_allowances.size() >= m_settings.cacheLimit)
            return false;
    }
    auto& addressAllowance = m_allowances.try_emplace(address, allowance { m_settings.burst, now }).first->second;
    const auto refilledCount = (now - addressAllowance.refilledAt) / m_settings.refillInterval;
    if (refilledCount > 0) {
        addressAllowance.remaining = static_cast<int>(std::min<std::int64_t>(m_settings.burst, addressAllowance.remaining + refilledCount));
        addressAllowance.refilledAt += refilledCount * m_settings.refillInterval;
    }
    if (addressAllowance.remaining == 0)
        return false;
    --addressAllowance.remaining;
    return true;
}

std::optional<token_verification> token_authenticator::startNextVerification()
{
    if (m_runningDigest || m_queue.empty())
        return std::nullopt;
    auto verification = std::move(m_queue.front());
    m_queue.pop_front();
    m_runningDigest = verification.digest;
    return verification;
}

void token_authenticator::finishVerification(const keyed_digest& digest, std::uint64_t generation, bool isKnown)
{
    // The hashes have changed since the verification was queued, so its result may be outdated.
    if (generation != m_generation)
        return;
    m_runningDigest.reset();
    cacheResult(digest, isKnown);
}

void token_authenticator::cacheResult(const keyed_digest& digest, bool isKnown)
{
    if (isKnown) {
        m_knownDigests.insert(digest);
        return;
    }
    m_unknownDigests.insert(digest);
    m_unknownOrder.push_back(digest);
    if (m_unknownOrder.size() > m_settings.cacheLimit) {
        m_unknownDigests.erase(m_unknownOrder.front());
        m_unknownOrder.pop_front();
    }
}

} // namespace camphorsaddle::access
