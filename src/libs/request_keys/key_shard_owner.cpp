#include "request_keys/key_shard_owner.h"

#include <utility>

#include "request_keys/key_codec.h"
#include "utils/events.h"

namespace camphorsaddle::request_keys {

key_shard_owner::key_shard_owner(external::key_value_store& store, journal::executor& loop, journal::write_budget& budget, key_shard_options options, wall_clock clock)
    : m_options(std::move(options))
    , m_clock(std::move(clock))
    , m_table(m_options.keyTtl)
{
    journal::options logOptions;
    logOptions.name = m_options.name;
    logOptions.writer = m_options.writer;
    journal::observer& self = *this;
    m_log = std::make_unique<journal::log>(store, loop, budget, std::move(logOptions), self);
}

key_shard_owner::~key_shard_owner()
{
    // Destroys the log first: the callbacks of pending appends still use the other members.
    m_log.reset();
    rejectWaitingClaims();
}

void key_shard_owner::open()
{
    m_log->open(1, [this](const absl::StatusOr<std::uint64_t>& epoch) {
        if (epoch.ok())
            endClaimsOfLostMembers();
    });
}

bool key_shard_owner::isReady() const
{
    return m_log != nullptr && m_log->state() == journal::log_state::Open && m_log->isStoreReachable();
}

bool key_shard_owner::hasLostOwnership() const
{
    return m_log->state() == journal::log_state::OwnershipLost || m_log->state() == journal::log_state::Closed;
}

void key_shard_owner::claim(const std::string& key, const claimant& holder, std::uint64_t fingerprint, claim_callback callback)
{
    if (!isReady()) {
        callback({ claim_verdict::Unavailable, {} });
        return;
    }
    if (m_pendingClaims.contains(key)) {
        callback({ claim_verdict::Wait, {} });
        m_waitingClaims[key].push_back({ holder, fingerprint, std::move(callback) });
        return;
    }
    const auto now = m_clock();
    const auto verdict = m_table.checkClaim(key, holder, fingerprint, now);
    const auto* existing = m_table.record(key);
    const bool isRepeatedClaim = verdict == claim_verdict::Granted && existing != nullptr && existing->holder == holder;
    if (verdict == claim_verdict::Wait) {
        callback({ verdict, {} });
        m_waitingClaims[key].push_back({ holder, fingerprint, std::move(callback) });
        return;
    }
    if (verdict != claim_verdict::Granted || isRepeatedClaim) {
        callback({ verdict, verdict == claim_verdict::Answered ? existing->answer : key_answer {} });
        return;
    }
    m_pendingClaims.insert(key);
    append({ key, now, { key_phase::Claimed, holder, fingerprint, now, {} } }, [this, key, callback = std::move(callback)](const absl::Status& status) {
        m_pendingClaims.erase(key);
        callback({ status.ok() ? claim_verdict::Granted : claim_verdict::Unavailable, {} });
        retryWaitingClaims(key);
    });
}

void key_shard_owner::endClaim(const std::string& key, const claimant& holder, key_phase finalPhase, key_answer answer)
{
    if (finalPhase == key_phase::Answered && answer.body.size() > m_options.maximumAnswerBytes)
        finalPhase = key_phase::Unknown;
    const key_entry change { key, m_clock(), { finalPhase, holder, 0, 0, finalPhase == key_phase::Answered ? std::move(answer) : key_answer {} } };
    append(change, [this, key](const absl::Status&) { retryWaitingClaims(key); });
}

void key_shard_owner::setLiveMembers(const std::map<std::string, std::uint64_t>& incarnations)
{
    m_liveIncarnations = incarnations;
    if (m_log->state() == journal::log_state::Open)
        endClaimsOfLostMembers();
}

void key_shard_owner::endClaimsOfLostMembers()
{
    if (m_liveIncarnations.empty())
        return;
    std::vector<std::pair<std::string, claimant>> lostClaims;
    for (const auto& [key, record] : m_table.records()) {
        const auto found = m_liveIncarnations.find(record.holder.member);
        if (record.phase == key_phase::Claimed && (found == m_liveIncarnations.end() || found->second != record.holder.incarnation))
            lostClaims.emplace_back(key, record.holder);
    }
    for (const auto& [key, holder] : lostClaims)
        endClaim(key, holder, key_phase::Unknown, {});
}

void key_shard_owner::release(std::function<void()> callback)
{
    rejectWaitingClaims();
    m_log->release([callback = std::move(callback)](const absl::Status&) { callback(); });
}

void key_shard_owner::append(const key_entry& change, journal::log::append_callback callback)
{
    m_log->append(encodeEntry(change), std::move(callback));
}

// A waiting claim gets the stored response, or the key itself if the first request was not sent.
void key_shard_owner::retryWaitingClaims(const std::string& key)
{
    const auto found = m_waitingClaims.find(key);
    if (found == m_waitingClaims.end() || m_log == nullptr)
        return;
    auto claims = std::move(found->second);
    m_waitingClaims.erase(found);
    for (auto& waitingClaim : claims)
        claim(key, waitingClaim.holder, waitingClaim.fingerprint, std::move(waitingClaim.callback));
}

void key_shard_owner::rejectWaitingClaims()
{
    for (auto& [key, claims] : std::exchange(m_waitingClaims, {})) {
        for (auto& waitingClaim : claims)
            waitingClaim.callback({ claim_verdict::Unavailable, {} });
    }
}

void key_shard_owner::restore(absl::string_view snapshot)
{
    auto records = decodeSnapshot(snapshot);
    if (records.ok())
        m_table.restore(*std::move(records));
    else
        utils::logEvent(utils::events::journalCorrupt, { { "journal", m_options.name }, { "cause", std::string(records.status().message()) } });
}

void key_shard_owner::apply(std::uint64_t, absl::string_view entry)
{
    if (const auto change = decodeEntry(entry); change.ok())
        m_table.apply(*change);
    else
        utils::logEvent(utils::events::journalCorrupt, { { "journal", m_options.name }, { "cause", std::string(change.status().message()) } });
}

std::string key_shard_owner::snapshot()
{
    return encodeSnapshot(m_table);
}

void key_shard_owner::ownershipLost(const absl::Status&)
{
    rejectWaitingClaims();
}

} // namespace camphorsaddle::request_keys
