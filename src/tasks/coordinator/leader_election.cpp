#include "tasks/coordinator/leader_election.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace store_keys {

    std::string jobPrefix(const std::string& id)
    {
        return absl::StrCat(jobsPrefix, id, "/");
    }

    std::string job(const std::string& id)
    {
        return jobPrefix(id) + "record";
    }

    std::string progress(const std::string& id)
    {
        return jobPrefix(id) + "progress";
    }

    std::string cancellation(const std::string& id)
    {
        return jobPrefix(id) + "cancelled";
    }

    std::string earlyCancellation(const std::string& id)
    {
        return absl::StrCat(earlyCancellationPrefix, id);
    }

} // namespace store_keys

namespace {

    // Delay until a candidacy is repeated after the store granted no lease.
    constexpr utils::milliseconds candidacyRetryDelay { 200 };
    // The orders of earlier leaders have expired long before as many others have led.
    constexpr std::size_t maximumHistorySize = 16;

} // namespace

leader_election::leader_election(transport::event_loop& loop, external::transactional_store& store, leader_election_settings settings, jobs::leader_record ownRecord, change_callback onChanged, const std::mt19937_64& random)
    : m_store(store)
    , m_settings(settings)
    , m_ownRecord(std::move(ownRecord))
    , m_onChanged(std::move(onChanged))
    , m_watch(
          loop, store, store_keys::leaderPrefix, settings.watchTimeout, [this](const auto& key, const auto* value) { onKeyChanged(key, value); }, [this] { onSynced(); }, random)
    , m_renewalTimer(loop, [this] { renewOwnLease(); })
    , m_candidacyTimer(loop, [this] { requestLease(); })
{
}

leader_election::~leader_election() = default;

void leader_election::start()
{
    m_watch.start();
}

void leader_election::onKeyChanged(const std::string& key, const external::key_value* value)
{
    if (key == store_keys::term) {
        std::uint64_t term = 0;
        if (value != nullptr && !absl::SimpleAtoi(value->value, &term))
            utils::logEvent(utils::events::storedValueUnreadable, { { "key", key } });
        m_termKeyVersion = value == nullptr ? 0 : value->version;
        m_lastTerm = term;
        m_highestTerm = std::max(m_highestTerm, term);
        return;
    }
    if (key == store_keys::leaderHistory) {
        m_historyVersion = value == nullptr ? 0 : value->version;
        readHistory(value);
        return;
    }
    if (key != store_keys::leader)
        return;
    m_leader.reset();
    m_leaderKeyVersion = value == nullptr ? 0 : value->version;
    if (value == nullptr) {
        utils::logEvent(utils::events::leaderGone, { { "last_term", std::to_string(m_lastTerm) } });
        if (m_isLeader)
            setLeading(false, "the leader key was deleted");
        return;
    }
    const auto record = jobs::parseLeader(value->value);
    if (!record.ok()) {
        utils::logEvent(utils::events::storedValueUnreadable, { { "key", key }, { "error", utils::describe(record.status()) } });
        return;
    }
    m_leader = *record;
    m_hasGivenUpLead = m_hasGivenUpLead && value->version == m_ownKeyVersion;
    utils::logEvent(utils::events::leaderSeen, { { "leader", record->daemon }, { "term", std::to_string(record->term) }, { "version", std::to_string(value->version) } });
    const bool isThisProcess = record->daemon == m_ownRecord.daemon && record->incarnation == m_ownRecord.incarnation;
    if (m_isLeader && value->version != m_ownKeyVersion)
        setLeading(false, absl::StrCat(record->daemon, " leads"));
    // Revokes the lease of a key that an earlier process of this daemon, or an own candidacy without a reply, has left:
    // waiting for its expiry would only delay the election.
    if ((record->daemon == m_ownRecord.daemon && !isThisProcess) || (isThisProcess && !m_isLeader && !m_isCandidate))
        revokeLease(value->lease);
}

void leader_election::readHistory(const external::key_value* value)
{
    m_history.clear();
    if (value == nullptr)
        return;
    if (auto history = jobs::parseLeaderHistory(value->value); history.ok())
        m_history = *std::move(history);
    else
        utils::logEvent(utils::events::storedValueUnreadable, { { "key", value->key }, { "error", utils::describe(history.status()) } });
}

void leader_election::onSynced()
{
    if (m_leader || m_leaderKeyVersion != 0 || m_candidacyTimer.isActive())
        return;
    const bool hasGivenUpLead = std::exchange(m_hasGivenUpLead, false);
    m_candidacyTimer.startOnce(hasGivenUpLead ? m_settings.candidacyDelayAfterTransfer : m_settings.candidacyDelay);
}

void leader_election::revokeLease(external::lease_id lease)
{
    if (lease == 0)
        return;
    m_store.revokeLease(lease, [](const absl::Status& status) {
        if (!status.ok())
            utils::logEvent(utils::events::leaseNotEnded, { { "error", utils::describe(status) } });
    });
}

void leader_election::requestLease()
{
    if (m_isLeader || m_isCandidate || m_hasResigned || m_leaderKeyVersion != 0 || !m_watch.isSynced())
        return;
    m_isCandidate = true;
    const auto grantedAt = utils::nowIncludingSuspend();
    m_store.grantLease(m_settings.leaseDuration, [this, grantedAt, alive = std::weak_ptr(m_alive)](absl::StatusOr<external::lease_id> lease) {
        if (alive.expired())
            return;
        if (!lease.ok()) {
            m_isCandidate = false;
            m_candidacyTimer.startOnce(candidacyRetryDelay);
            return;
        }
        writeLeaderKey(*lease, grantedAt);
    });
}

void leader_election::writeLeaderKey(external::lease_id lease, utils::time_point grantedAt)
{
    auto record = m_ownRecord;
    record.term = m_lastTerm + jobs::fencesPerTerm;
    auto history = m_history;
    history.push_back(record);
    if (history.size() > maximumHistorySize)
        history.erase(history.begin());
    external::transaction change;
    change.expected = { { store_keys::leader, 0 }, { store_keys::term, m_termKeyVersion }, { store_keys::leaderHistory, m_historyVersion } };
    change.puts = { { store_keys::leader, jobs::encodeLeader(record), lease }, { store_keys::term, std::to_string(record.term), 0 }, { store_keys::leaderHistory, jobs::encodeLeaderHistory(history), 0 } };
    m_store.transact(change, [this, lease, grantedAt, record, formerLeaders = m_history, alive = std::weak_ptr(m_alive)](absl::StatusOr<external::transaction_result> result) {
        if (alive.expired())
            return;
        m_isCandidate = false;
        // The reply may be handled after this daemon has learned of a later term.
        const bool isOutdated = record.term < m_highestTerm;
        if (result.ok() && result->isCommitted && !m_hasResigned && !isOutdated) {
            m_lease = lease;
            m_ownKeyVersion = result->at;
            m_leaderKeyVersion = result->at;
            m_ownRecord.term = record.term;
            m_lastTerm = record.term;
            m_highestTerm = std::max(m_highestTerm, record.term);
            m_leader = record;
            m_leaseExpiresAt = grantedAt + m_settings.leaseDuration;
            // The store has ended the former leader's lease, so that it was renewed no later than its duration before, or the former
            // leader has revoked it after its last order.
            m_lastFormerRenewal = utils::nowIncludingSuspend() - m_settings.leaseDuration;
            m_formerLeaders = formerLeaders;
            m_history = formerLeaders;
            m_history.push_back(record);
            m_historyVersion = result->at;
            setLeading(true, "the leader key was written");
            return;
        }
        revokeLease(lease);
        if (result.ok() && !result->isCommitted)
            utils::logEvent(utils::events::candidacyLost, { { "term", std::to_string(record.term) } });
        m_watch.relist();
    });
}

void leader_election::renewOwnLease()
{
    const auto now = utils::nowIncludingSuspend();
    if (!m_isLeader || m_isRenewing) {
        if (m_isLeader && now > m_leaseExpiresAt + m_settings.leaseGracePeriod)
            setLeading(false, "the lease could not be renewed");
        return;
    }
    m_isRenewing = true;
    m_store.renewLease(m_lease, [this, now, lease = m_lease, alive = std::weak_ptr(m_alive)](const absl::Status& status) {
        if (alive.expired())
            return;
        m_isRenewing = false;
        if (!m_isLeader || lease != m_lease)
            return;
        if (status.ok()) {
            m_leaseExpiresAt = now + m_settings.leaseDuration;
            return;
        }
        if (status.code() == absl::StatusCode::kFailedPrecondition) {
            setLeading(false, "the lease has ended");
            m_watch.relist();
            return;
        }
        utils::logEvent(utils::events::leaseNotRenewed, { { "valid_for_ms", std::to_string(std::chrono::duration_cast<utils::milliseconds>(m_leaseExpiresAt - utils::nowIncludingSuspend()).count()) }, { "error", utils::describe(status) } });
        if (utils::nowIncludingSuspend() > m_leaseExpiresAt + m_settings.leaseGracePeriod)
            setLeading(false, "the lease could not be renewed");
    });
}

void leader_election::setLeading(bool becomesLeader, const std::string& why)
{
    if (m_isLeader == becomesLeader)
        return;
    m_isLeader = becomesLeader;
    if (becomesLeader) {
        m_renewalTimer.startRepeating(m_settings.renewalInterval);
        utils::logEvent(utils::events::leadTaken, { { "daemon", m_ownRecord.daemon }, { "term", std::to_string(m_ownRecord.term) }, { "version", std::to_string(m_ownKeyVersion) }, { "why", why } });
    } else {
        m_renewalTimer.stop();
        if (m_leader && m_leader->daemon == m_ownRecord.daemon && m_leader->incarnation == m_ownRecord.incarnation)
            m_leader.reset();
        utils::logEvent(utils::events::leadLost, { { "daemon", m_ownRecord.daemon }, { "term", std::to_string(m_ownRecord.term) }, { "why", why } });
    }
    m_onChanged();
}

void leader_election::resign()
{
    m_hasResigned = true;
    if (!m_isLeader)
        return;
    setLeading(false, "planned shutdown");
    revokeLease(m_lease);
}

void leader_election::giveUpLead(const std::string& why)
{
    if (!m_isLeader)
        return;
    m_hasGivenUpLead = true;
    setLeading(false, why);
    revokeLease(m_lease);
}

void leader_election::stepDown(const std::string& why)
{
    if (!m_isLeader)
        return;
    setLeading(false, why);
    m_watch.relist();
}

void leader_election::noteLaterTerm(std::uint64_t term)
{
    m_highestTerm = std::max(m_highestTerm, term);
    if (m_isLeader && m_ownRecord.term < term)
        stepDown("a later leader has announced its term");
}

void leader_election::checkLeader()
{
    m_watch.relist();
}

bool leader_election::isLeader() const
{
    return m_isLeader;
}

bool leader_election::maySendOrders(utils::time_point now) const
{
    return m_isLeader && now < m_leaseExpiresAt + m_settings.leaseGracePeriod;
}

utils::time_point leader_election::leaseExpiresAt() const
{
    return m_leaseExpiresAt;
}

bool leader_election::isLeaseRecentlyRenewed(utils::time_point now) const
{
    return m_isLeader && now + m_settings.leaseDuration < m_leaseExpiresAt + 2 * m_settings.renewalInterval;
}

std::uint64_t leader_election::term() const
{
    return m_ownRecord.term;
}

std::uint64_t leader_election::highestTerm() const
{
    return m_highestTerm;
}

utils::time_point leader_election::lastFormerRenewal() const
{
    return m_lastFormerRenewal;
}

const std::vector<jobs::leader_record>& leader_election::formerLeaders() const
{
    return m_formerLeaders;
}

const jobs::leader_record& leader_election::ownRecord() const
{
    return m_ownRecord;
}

external::revision leader_election::leaderKeyVersion() const
{
    return m_ownKeyVersion;
}

const std::optional<jobs::leader_record>& leader_election::leader() const
{
    return m_leader;
}

bool leader_election::isStoreReachable() const
{
    return m_watch.isSynced();
}

} // namespace camphorsaddle::tasks
