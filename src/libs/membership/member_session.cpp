#include "membership/member_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::membership {

namespace {

    //! Number of failures after which the retry delay has reached its maximum.
    constexpr unsigned failuresForMaximumDelay = 8;

} // namespace

std::string memberKey(const std::string& id)
{
    return absl::StrCat("members/", id);
}

member_session::member_session(member self, session_settings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

session_actions member_session::start(utils::time_point now, std::uint64_t random)
{
    m_nextJoin = now;
    m_nextListing = now;
    m_nextHeartbeat = now;
    return runDueActions(now, random);
}

utils::time_point member_session::nextDueTime() const
{
    const auto leaseEnd = m_isMember ? m_leaseEnd : utils::time_point::max();
    return std::min({ m_nextJoin, m_nextRenewal, m_nextListing, m_nextHeartbeat, leaseEnd });
}

session_actions member_session::runDueActions(utils::time_point now, std::uint64_t)
{
    session_actions actions;
    checkLease(now, actions);
    if (now >= m_nextJoin)
        join(now, actions);
    if (now >= m_nextRenewal)
        renew(now, actions);
    if (now >= m_nextListing) {
        m_nextListing = utils::time_point::max();
        m_viewCallId = ++m_lastCallId;
        actions.emplace_back(list_members { m_viewCallId });
    }
    if (now >= m_nextHeartbeat)
        sendHeartbeatAndCheckPeers(now, actions);
    return actions;
}

void member_session::join(utils::time_point now, session_actions& actions)
{
    m_nextJoin = utils::time_point::max();
    if (m_phase == phase::Left)
        return;
    if (m_isMember) {
        m_phase = phase::Reading;
        m_joinCallId = ++m_lastCallId;
        actions.emplace_back(read_member_key { m_joinCallId });
        return;
    }
    m_phase = phase::Granting;
    m_leaseRequestTime = now;
    m_joinCallId = ++m_lastCallId;
    actions.emplace_back(grant_member_lease { m_joinCallId });
}

session_actions member_session::handleLeaseGranted(std::uint64_t callId, const absl::StatusOr<external::lease_id>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    if (callId != m_joinCallId || m_phase != phase::Granting)
        return actions;
    if (!answer.ok()) {
        retryJoin(now, random);
        return actions;
    }
    m_lease = *answer;
    // The store starts the term after the request was sent, so the lease ends no earlier than this.
    m_leaseEnd = m_leaseRequestTime + m_settings.leaseDuration;
    m_phase = phase::Reading;
    m_joinCallId = ++m_lastCallId;
    actions.emplace_back(read_member_key { m_joinCallId });
    return actions;
}

session_actions member_session::handleKeyRead(std::uint64_t callId, const absl::StatusOr<external::key_value>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    if (callId != m_joinCallId || m_phase != phase::Reading)
        return actions;
    const bool isAbsent = absl::IsNotFound(answer.status());
    const bool isLeaseExpired = now >= m_leaseEnd;
    if ((!answer.ok() && !isAbsent) || isLeaseExpired) {
        retryJoin(now, random);
        return actions;
    }
    if (answer.ok()) {
        const auto currentMember = parseMember(answer->value, answer->key);
        if (currentMember.ok() && currentMember->incarnation > m_self.incarnation) {
            // A later process uses this id, so wait for the maximum retry delay.
            m_joinFailures = std::max(m_joinFailures, failuresForMaximumDelay);
            retryJoin(now, random);
            return actions;
        }
    }
    m_phase = phase::Writing;
    m_joinCallId = ++m_lastCallId;
    const external::revision version = answer.ok() ? answer->version : 0;
    actions.emplace_back(write_member_key { m_joinCallId, { .key = memberKey(m_self.id), .value = formatMember(m_self), .expectedVersion = version, .lease = m_lease } });
    return actions;
}

session_actions member_session::handleKeyWritten(std::uint64_t callId, const absl::StatusOr<external::revision>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (callId != m_joinCallId || m_phase != phase::Writing)
        return actions;
    if (!answer.ok() || now >= m_leaseEnd) {
        retryJoin(now, random);
        return actions;
    }
    m_phase = phase::Joined;
    m_isMember = true;
    m_joinFailures = 0;
    m_members[memberKey(m_self.id)] = m_self;
    m_nextRenewal = std::min(m_leaseRequestTime, m_leaseEnd) + m_settings.leaseDuration / m_settings.renewalsPerTerm;
    appendReport(actions);
    return actions;
}

void member_session::renew(utils::time_point now, session_actions& actions)
{
    m_nextRenewal = utils::time_point::max();
    if (!m_isMember)
        return;
    m_leaseRequestTime = now;
    m_renewCallId = ++m_lastCallId;
    actions.emplace_back(renew_member_lease { m_renewCallId, m_lease });
}

session_actions member_session::handleLeaseRenewed(std::uint64_t callId, const absl::Status& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (callId != m_renewCallId || !m_isMember)
        return actions;
    if (answer.ok()) {
        m_leaseEnd = m_leaseRequestTime + m_settings.leaseDuration;
        m_nextRenewal = m_leaseRequestTime + m_settings.leaseDuration / m_settings.renewalsPerTerm;
    } else if (absl::IsFailedPrecondition(answer) || absl::IsNotFound(answer)) {
        loseLease(actions, utils::describe(answer));
        m_nextJoin = now;
    } else {
        m_nextRenewal = now + retryDelay(0, random);
    }
    return actions;
}

void member_session::checkLease(utils::time_point now, session_actions& actions)
{
    if (!m_isMember || now < m_leaseEnd)
        return;
    loseLease(actions, "the lease was not renewed within its term");
    m_nextJoin = now;
}

void member_session::loseLease(session_actions& actions, const std::string& cause)
{
    utils::logEvent(utils::events::memberLeaseLost, { { "daemon", m_self.id }, { "cause", cause } });
    m_phase = phase::NotJoined;
    m_isMember = false;
    m_nextRenewal = utils::time_point::max();
    appendReport(actions);
}

session_actions member_session::leave()
{
    session_actions actions;
    const bool wasMember = std::exchange(m_isMember, false);
    m_phase = phase::Left;
    m_nextJoin = utils::time_point::max();
    m_nextRenewal = utils::time_point::max();
    m_joinCallId = ++m_lastCallId;
    appendReport(actions);
    if (wasMember)
        actions.emplace_back(revoke_member_lease { m_joinCallId, m_lease });
    else
        actions.emplace_back(report_leave_completed {});
    return actions;
}

session_actions member_session::handleLeaseRevoked(std::uint64_t callId)
{
    if (callId != m_joinCallId || m_phase != phase::Left)
        return {};
    return { report_leave_completed {} };
}

session_actions member_session::setUnreachableDataCentres(std::vector<std::string> dataCentres, utils::time_point now)
{
    session_actions actions;
    std::sort(dataCentres.begin(), dataCentres.end());
    if (dataCentres == m_self.unreachableDataCentres)
        return actions;
    m_self.unreachableDataCentres = std::move(dataCentres);
    checkLease(now, actions);
    if (m_isMember)
        m_nextJoin = now;
    return actions;
}

session_actions member_session::handleMembersListed(std::uint64_t callId, const absl::StatusOr<external::key_listing>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (callId != m_viewCallId)
        return actions;
    if (!answer.ok()) {
        retryListing(now, random);
        return actions;
    }
    m_viewFailures = 0;
    m_members.clear();
    for (const auto& entry : answer->entries) {
        if (auto parsed = parseMember(entry.value, entry.key); parsed.ok())
            m_members[entry.key] = *std::move(parsed);
    }
    m_revision = std::max(m_revision, answer->at);
    checkOwnKey(actions);
    appendReport(actions);
    m_viewCallId = ++m_lastCallId;
    actions.emplace_back(watch_members { m_viewCallId, answer->at });
    return actions;
}

session_actions member_session::handleMembersChanged(std::uint64_t callId, const absl::StatusOr<external::watch_result>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (callId != m_viewCallId)
        return actions;
    if (!answer.ok()) {
        retryListing(now, random);
        return actions;
    }
    m_viewFailures = 0;
    for (const auto& change : answer->changes) {
        absl::StatusOr<member> parsed = absl::NotFoundError("deleted");
        if (!change.deleted)
            parsed = parseMember(change.value, change.key);
        if (parsed.ok())
            m_members[change.key] = *std::move(parsed);
        else
            m_members.erase(change.key);
    }
    m_revision = std::max(m_revision, answer->at);
    if (!answer->changes.empty()) {
        checkOwnKey(actions);
        appendReport(actions);
    }
    m_viewCallId = ++m_lastCallId;
    actions.emplace_back(watch_members { m_viewCallId, answer->at });
    return actions;
}

// A later process with the same id has replaced the key, so this one must not overwrite it.
void member_session::checkOwnKey(session_actions& actions)
{
    const auto own = m_members.find(memberKey(m_self.id));
    if (!m_isMember || own == m_members.end() || own->second.incarnation <= m_self.incarnation)
        return;
    loseLease(actions, "another process uses this daemon id");
    m_nextJoin = m_leaseEnd;
}

void member_session::recordPeerMessage(const std::string& peer, utils::time_point now)
{
    if (const auto found = m_lastMessageTimes.find(peer); found != m_lastMessageTimes.end())
        found->second = now;
}

void member_session::sendHeartbeatAndCheckPeers(utils::time_point now, session_actions& actions)
{
    // If this process itself was suspended, missing messages do not show that the peers are silent.
    const bool wasSuspended = now > m_nextHeartbeat + m_settings.heartbeatInterval;
    m_nextHeartbeat = now + m_settings.heartbeatInterval;
    actions.emplace_back(send_heartbeat {});
    std::set<std::string> silent;
    for (auto& [id, last] : m_lastMessageTimes) {
        if (wasSuspended)
            last = now;
        if (now - last > m_settings.heartbeatInterval * m_settings.maximumMissedHeartbeats)
            silent.insert(id);
    }
    if (silent == m_report.silent)
        return;
    m_report.silent = std::move(silent);
    actions.emplace_back(m_report);
}

void member_session::appendReport(session_actions& actions)
{
    m_report.isMember = m_isMember;
    std::vector<member> members;
    std::map<std::string, utils::time_point> lastMessageTimes;
    for (const auto& [key, each] : m_members) {
        if (each.id == m_self.id) {
            if (m_report.isMember)
                members.push_back(m_self);
            continue;
        }
        members.push_back(each);
        const auto known = m_lastMessageTimes.find(each.id);
        // A new peer starts with the time of the next heartbeat as its last contact.
        lastMessageTimes[each.id] = known == m_lastMessageTimes.end() ? m_nextHeartbeat : known->second;
    }
    m_lastMessageTimes = std::move(lastMessageTimes);
    std::erase_if(m_report.silent, [this](const std::string& id) { return !m_lastMessageTimes.contains(id); });
    m_report.view = makeView(m_revision, std::move(members));
    actions.emplace_back(m_report);
}

void member_session::retryJoin(utils::time_point now, std::uint64_t random)
{
    m_phase = phase::NotJoined;
    m_nextJoin = now + retryDelay(m_joinFailures++, random);
}

void member_session::retryListing(utils::time_point now, std::uint64_t random)
{
    m_nextListing = now + retryDelay(m_viewFailures++, random);
}

utils::milliseconds member_session::retryDelay(unsigned failures, std::uint64_t random) const
{
    constexpr unsigned maximumDoublings = 16;
    const auto delay = std::min(m_settings.maximumRetryDelay, m_settings.initialRetryDelay * (1U << std::min(failures, maximumDoublings)));
    const auto halfDelay = std::max<std::int64_t>(delay.count() / 2, 1);
    return utils::milliseconds(halfDelay + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(halfDelay)));
}

} // namespace camphorsaddle::membership
