#include "tasks/coordinator/leadership.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace store_keys {

    std::string jobPrefix(const std::string& id)
    {
        return absl::StrCat(jobs, id, "/");
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

} // namespace store_keys

namespace {

    // A candidacy that failed is repeated after this time.
    constexpr utils::milliseconds candidacyPause { 200 };

} // namespace

leadership::leadership(transport::event_loop& loop, external::transactional_store& store, leadership_settings settings, jobs::leader_record self, change_function changed)
    : m_store(store)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_changed(std::move(changed))
    , m_watch(
          loop, store, store_keys::leaderPrefix, settings.watchWait, [this](const auto& key, const auto* value) { onChange(key, value); }, [this] { onSynced(); })
    , m_renewal(loop, [this] { renew(); })
    , m_candidacy(loop, [this] { seek(); })
{
}

leadership::~leadership() = default;

void leadership::start()
{
    m_watch.start();
}

void leadership::onChange(const std::string& key, const external::key_value* value)
{
    if (key == store_keys::term) {
        std::uint64_t term = 0;
        if (value != nullptr && !absl::SimpleAtoi(value->value, &term))
            utils::logEvent(utils::events::storedValueUnreadable, { { "key", key } });
        m_termVersion = value == nullptr ? 0 : value->version;
        m_lastTerm = term;
        return;
    }
    if (key != store_keys::leader)
        return;
    m_leader.reset();
    m_leaderVersion = value == nullptr ? 0 : value->version;
    if (value == nullptr) {
        utils::logEvent(utils::events::leaderGone, { { "last_term", std::to_string(m_lastTerm) } });
        if (m_isLeader)
            step(false, "its key is gone");
        return;
    }
    const auto record = jobs::parseLeader(value->value);
    if (!record.ok()) {
        utils::logEvent(utils::events::storedValueUnreadable, { { "key", key }, { "error", utils::describe(record.status()) } });
        return;
    }
    m_leader = *record;
    utils::logEvent(utils::events::leaderSeen, { { "leader", record->daemon }, { "term", std::to_string(record->term) }, { "version", std::to_string(value->version) } });
    const bool isThisLife = record->daemon == m_self.daemon && record->incarnation == m_self.incarnation;
    if (m_isLeader && value->version != m_version)
        step(false, absl::StrCat(record->daemon, " leads"));
    // What an earlier life of this daemon, or a candidacy without an answer, left behind would only cost time.
    if ((record->daemon == m_self.daemon && !isThisLife) || (isThisLife && !m_isLeader && !m_isStanding))
        revokeLease(value->lease);
}

void leadership::onSynced()
{
    if (!m_leader && m_leaderVersion == 0 && !m_candidacy.isActive())
        m_candidacy.startOnce(m_settings.candidacyDelay);
}

void leadership::revokeLease(external::lease_id lease)
{
    if (lease == 0)
        return;
    m_store.revokeLease(lease, [](const absl::Status& status) {
        if (!status.ok())
            utils::logEvent(utils::events::leaseNotEnded, { { "error", utils::describe(status) } });
    });
}

void leadership::seek()
{
    if (m_isLeader || m_isStanding || m_hasResigned || m_leaderVersion != 0 || !m_watch.isSynced())
        return;
    m_isStanding = true;
    const auto grantedAt = utils::nowIncludingSuspend();
    m_store.grantLease(m_settings.term, [this, grantedAt, alive = std::weak_ptr(m_alive)](absl::StatusOr<external::lease_id> lease) {
        if (alive.expired())
            return;
        if (!lease.ok()) {
            m_isStanding = false;
            m_candidacy.startOnce(candidacyPause);
            return;
        }
        stand(*lease, grantedAt);
    });
}

void leadership::stand(external::lease_id lease, utils::time_point grantedAt)
{
    auto record = m_self;
    record.term = m_lastTerm + 1;
    external::transaction change;
    change.expected = { { store_keys::leader, 0 }, { store_keys::term, m_termVersion } };
    change.puts = { { store_keys::leader, jobs::encodeLeader(record), lease }, { store_keys::term, std::to_string(record.term), 0 } };
    m_store.transact(change, [this, lease, grantedAt, record, alive = std::weak_ptr(m_alive)](absl::StatusOr<external::transaction_result> result) {
        if (alive.expired())
            return;
        m_isStanding = false;
        if (result.ok() && result->isCommitted && !m_hasResigned) {
            m_lease = lease;
            m_version = result->at;
            m_leaderVersion = result->at;
            m_self.term = record.term;
            m_lastTerm = record.term;
            m_leader = record;
            m_validUntil = grantedAt + m_settings.term;
            step(true, "its candidacy was stored");
            return;
        }
        revokeLease(lease);
        if (result.ok() && !result->isCommitted)
            utils::logEvent(utils::events::candidacyLost, { { "term", std::to_string(record.term) } });
        m_watch.relist();
    });
}

void leadership::renew()
{
    const auto now = utils::nowIncludingSuspend();
    if (!m_isLeader || m_isRenewing) {
        if (m_isLeader && now > m_validUntil + m_settings.reach)
            step(false, "its lease could not be renewed");
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
            m_validUntil = now + m_settings.term;
            return;
        }
        if (status.code() == absl::StatusCode::kFailedPrecondition) {
            step(false, "its lease has ended");
            m_watch.relist();
            return;
        }
        utils::logEvent(utils::events::leaseNotRenewed, { { "valid_for_ms", std::to_string(std::chrono::duration_cast<utils::milliseconds>(m_validUntil - utils::nowIncludingSuspend()).count()) }, { "error", utils::describe(status) } });
        if (utils::nowIncludingSuspend() > m_validUntil + m_settings.reach)
            step(false, "its lease could not be renewed");
    });
}

void leadership::step(bool leads, const std::string& why)
{
    if (m_isLeader == leads)
        return;
    m_isLeader = leads;
    if (leads) {
        m_renewal.startRepeating(m_settings.renewal);
        utils::logEvent(utils::events::leadTaken, { { "daemon", m_self.daemon }, { "term", std::to_string(m_self.term) }, { "version", std::to_string(m_version) }, { "why", why } });
    } else {
        m_renewal.stop();
        if (m_leader && m_leader->daemon == m_self.daemon && m_leader->incarnation == m_self.incarnation)
            m_leader.reset();
        utils::logEvent(utils::events::leadLost, { { "daemon", m_self.daemon }, { "term", std::to_string(m_self.term) }, { "why", why } });
    }
    m_changed();
}

void leadership::resign()
{
    m_hasResigned = true;
    if (!m_isLeader)
        return;
    step(false, "a planned stop");
    revokeLease(m_lease);
}

void leadership::deposed(const std::string& why)
{
    if (!m_isLeader)
        return;
    step(false, why);
    m_watch.relist();
}

void leadership::suspectLeader()
{
    m_watch.relist();
}

bool leadership::isLeader() const
{
    return m_isLeader;
}

bool leadership::mayOrder(utils::time_point now) const
{
    return m_isLeader && now < m_validUntil + m_settings.reach;
}

bool leadership::isLeaseFresh(utils::time_point now) const
{
    return m_isLeader && now + m_settings.term < m_validUntil + 2 * m_settings.renewal;
}

std::uint64_t leadership::term() const
{
    return m_self.term;
}

external::revision leadership::version() const
{
    return m_version;
}

const std::optional<jobs::leader_record>& leadership::leader() const
{
    return m_leader;
}

bool leadership::isStoreReached() const
{
    return m_watch.isSynced();
}

} // namespace camphorsaddle::tasks
