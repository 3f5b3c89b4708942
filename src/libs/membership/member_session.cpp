#include "membership/member_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::membership {

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
    m_joinAt = now;
    m_listAt = now;
    m_heartbeatAt = now;
    return wake(now, random);
}

utils::time_point member_session::nextWake() const
{
    const auto leaseEnd = m_isMember ? m_leaseEnd : utils::time_point::max();
    return std::min({ m_joinAt, m_renewAt, m_listAt, m_heartbeatAt, leaseEnd });
}

session_actions member_session::wake(utils::time_point now, std::uint64_t)
{
    session_actions actions;
    checkLease(now, actions);
    if (now >= m_joinAt)
        join(now, actions);
    if (now >= m_renewAt)
        renew(now, actions);
    if (now >= m_listAt) {
        m_listAt = utils::time_point::max();
        m_viewCall = ++m_lastCall;
        actions.emplace_back(list_members { m_viewCall });
    }
    if (now >= m_heartbeatAt)
        checkPeers(now, actions);
    return actions;
}

void member_session::join(utils::time_point now, session_actions& actions)
{
    m_joinAt = utils::time_point::max();
    if (m_phase == phase::Left)
        return;
    if (m_isMember) {
        m_phase = phase::Reading;
        m_joinCall = ++m_lastCall;
        actions.emplace_back(read_member_key { m_joinCall });
        return;
    }
    m_phase = phase::Granting;
    m_asked = now;
    m_joinCall = ++m_lastCall;
    actions.emplace_back(grant_member_lease { m_joinCall });
}

session_actions member_session::leaseGranted(std::uint64_t call, const absl::StatusOr<external::lease_id>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    if (call != m_joinCall || m_phase != phase::Granting)
        return actions;
    if (!answer.ok()) {
        retryJoin(now, random);
        return actions;
    }
    m_lease = *answer;
    // The store counts from a later moment than the asking.
    m_leaseEnd = m_asked + m_settings.leaseDuration;
    m_phase = phase::Reading;
    m_joinCall = ++m_lastCall;
    actions.emplace_back(read_member_key { m_joinCall });
    return actions;
}

session_actions member_session::keyRead(std::uint64_t call, const absl::StatusOr<external::key_value>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    if (call != m_joinCall || m_phase != phase::Reading)
        return actions;
    const bool isAbsent = absl::IsNotFound(answer.status());
    const bool isTooLate = now >= m_leaseEnd;
    if ((!answer.ok() && !isAbsent) || isTooLate) {
        retryJoin(now, random);
        return actions;
    }
    if (answer.ok()) {
        const auto holder = parseMember(answer->value, answer->key);
        if (holder.ok() && holder->incarnation > m_self.incarnation) {
            // A later process has this id.
            m_joinFailures = std::max(m_joinFailures, 8U);
            retryJoin(now, random);
            return actions;
        }
    }
    m_phase = phase::Writing;
    m_joinCall = ++m_lastCall;
    const external::revision version = answer.ok() ? answer->version : 0;
    actions.emplace_back(write_member_key { m_joinCall, { .key = memberKey(m_self.id), .value = formatMember(m_self), .expectedVersion = version, .lease = m_lease } });
    return actions;
}

session_actions member_session::keyWritten(std::uint64_t call, const absl::StatusOr<external::revision>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (call != m_joinCall || m_phase != phase::Writing)
        return actions;
    if (!answer.ok() || now >= m_leaseEnd) {
        retryJoin(now, random);
        return actions;
    }
    m_phase = phase::Joined;
    m_isMember = true;
    m_joinFailures = 0;
    m_members[memberKey(m_self.id)] = m_self;
    m_renewAt = std::min(m_asked, m_leaseEnd) + m_settings.leaseDuration / m_settings.renewalsPerTerm;
    publish(actions);
    return actions;
}

void member_session::renew(utils::time_point now, session_actions& actions)
{
    m_renewAt = utils::time_point::max();
    if (!m_isMember)
        return;
    m_asked = now;
    m_renewCall = ++m_lastCall;
    actions.emplace_back(renew_member_lease { m_renewCall, m_lease });
}

session_actions member_session::leaseRenewed(std::uint64_t call, const absl::Status& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (call != m_renewCall || !m_isMember)
        return actions;
    if (answer.ok()) {
        m_leaseEnd = m_asked + m_settings.leaseDuration;
        m_renewAt = m_asked + m_settings.leaseDuration / m_settings.renewalsPerTerm;
    } else if (absl::IsFailedPrecondition(answer) || absl::IsNotFound(answer)) {
        loseLease(actions, utils::describe(answer));
        m_joinAt = now;
    } else {
        m_renewAt = now + retryDelay(0, random);
    }
    return actions;
}

void member_session::checkLease(utils::time_point now, session_actions& actions)
{
    if (!m_isMember || now < m_leaseEnd)
        return;
    loseLease(actions, "no renewal within the term");
    m_joinAt = now;
}

void member_session::loseLease(session_actions& actions, const std::string& cause)
{
    utils::logEvent(utils::events::memberLeaseLost, { { "daemon", m_self.id }, { "cause", cause } });
    m_phase = phase::Absent;
    m_isMember = false;
    m_renewAt = utils::time_point::max();
    publish(actions);
}

session_actions member_session::leave()
{
    session_actions actions;
    const bool wasMember = std::exchange(m_isMember, false);
    m_phase = phase::Left;
    m_joinAt = utils::time_point::max();
    m_renewAt = utils::time_point::max();
    m_joinCall = ++m_lastCall;
    publish(actions);
    if (wasMember)
        actions.emplace_back(end_member_lease { m_joinCall, m_lease });
    else
        actions.emplace_back(report_left {});
    return actions;
}

session_actions member_session::leaseEnded(std::uint64_t call)
{
    if (call != m_joinCall || m_phase != phase::Left)
        return {};
    return { report_left {} };
}

session_actions member_session::setUnreachable(std::vector<std::string> dataCentres, utils::time_point now)
{
    session_actions actions;
    std::sort(dataCentres.begin(), dataCentres.end());
    if (dataCentres == m_self.unreachable)
        return actions;
    m_self.unreachable = std::move(dataCentres);
    checkLease(now, actions);
    if (m_isMember)
        m_joinAt = now;
    return actions;
}

session_actions member_session::membersListed(std::uint64_t call, const absl::StatusOr<external::key_listing>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (call != m_viewCall)
        return actions;
    if (!answer.ok()) {
        retryView(now, random);
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
    publish(actions);
    m_viewCall = ++m_lastCall;
    actions.emplace_back(watch_members { m_viewCall, answer->at });
    return actions;
}

session_actions member_session::membersChanged(std::uint64_t call, const absl::StatusOr<external::watch_result>& answer, utils::time_point now, std::uint64_t random)
{
    session_actions actions;
    checkLease(now, actions);
    if (call != m_viewCall)
        return actions;
    if (!answer.ok()) {
        retryView(now, random);
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
        publish(actions);
    }
    m_viewCall = ++m_lastCall;
    actions.emplace_back(watch_members { m_viewCall, answer->at });
    return actions;
}

// A later process with the same id has replaced the key: this one must not fight it.
void member_session::checkOwnKey(session_actions& actions)
{
    const auto own = m_members.find(memberKey(m_self.id));
    if (!m_isMember || own == m_members.end() || own->second.incarnation <= m_self.incarnation)
        return;
    loseLease(actions, "another process has this daemon id");
    m_joinAt = m_leaseEnd;
}

void member_session::heard(const std::string& peer, utils::time_point now)
{
    if (const auto found = m_lastHeard.find(peer); found != m_lastHeard.end())
        found->second = now;
}

void member_session::checkPeers(utils::time_point now, session_actions& actions)
{
    // After a stop of this process itself the silence of the others tells nothing.
    const bool wasStopped = now > m_heartbeatAt + m_settings.heartbeatInterval;
    m_heartbeatAt = now + m_settings.heartbeatInterval;
    actions.emplace_back(send_heartbeat {});
    std::set<std::string> silent;
    for (auto& [id, last] : m_lastHeard) {
        if (wasStopped)
            last = now;
        if (now - last > m_settings.heartbeatInterval * m_settings.missedHeartbeats)
            silent.insert(id);
    }
    if (silent == m_report.silent)
        return;
    m_report.silent = std::move(silent);
    actions.emplace_back(m_report);
}

void member_session::publish(session_actions& actions)
{
    m_report.isMember = m_isMember;
    std::vector<member> members;
    std::map<std::string, utils::time_point> lastHeard;
    for (const auto& [key, each] : m_members) {
        if (each.id == m_self.id) {
            if (m_report.isMember)
                members.push_back(m_self);
            continue;
        }
        members.push_back(each);
        const auto known = m_lastHeard.find(each.id);
        // A new peer counts as heard of at the last heartbeat.
        lastHeard[each.id] = known == m_lastHeard.end() ? m_heartbeatAt : known->second;
    }
    m_lastHeard = std::move(lastHeard);
    std::erase_if(m_report.silent, [this](const std::string& id) { return !m_lastHeard.contains(id); });
    m_report.view = makeView(m_revision, std::move(members));
    actions.emplace_back(m_report);
}

void member_session::retryJoin(utils::time_point now, std::uint64_t random)
{
    m_phase = phase::Absent;
    m_joinAt = now + retryDelay(m_joinFailures++, random);
}

void member_session::retryView(utils::time_point now, std::uint64_t random)
{
    m_listAt = now + retryDelay(m_viewFailures++, random);
}

utils::milliseconds member_session::retryDelay(unsigned failures, std::uint64_t random) const
{
    constexpr unsigned doublings = 16;
    const auto step = std::min(m_settings.longestRetry, m_settings.firstRetry * (1U << std::min(failures, doublings)));
    const auto half = std::max<std::int64_t>(step.count() / 2, 1);
    return utils::milliseconds(half + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half)));
}

} // namespace camphorsaddle::membership
