#include "configuration/spread.h"

#include <algorithm>
#include <utility>

namespace camphorsaddle::configuration {

spread::spread(spread_settings settings, record_check check)
    : m_settings(std::move(settings))
    , m_check(std::move(check))
{
}

std::uint64_t spread::revisionOf(const std::string& member) const
{
    if (member == m_settings.self)
        return m_record.revision;
    const auto found = m_peers.find(member);
    return found == m_peers.end() ? 0 : found->second.reported;
}

spread_actions spread::onTick(utils::time_point now)
{
    spread_actions actions;
    if (!m_isReading && now >= m_readAgain) {
        m_isReading = true;
        actions.emplace_back(read_record {});
    }
    if (m_wasRead && !m_isWatching && now >= m_watchAgain) {
        m_isWatching = true;
        actions.emplace_back(watch_record { m_watchedRevision });
    }
    for (const auto& [member, peer] : m_peers) {
        if (isSendDue(member, peer, now))
            send(member, now, actions);
    }
    return actions;
}

spread_actions spread::onRead(const absl::StatusOr<settings::configuration_record>& stored, external::revision at, utils::time_point now)
{
    spread_actions actions;
    m_isReading = false;
    // A record that can't be read stays until an operator writes a new one.
    const bool isAnswer = stored.ok() || absl::IsNotFound(stored.status()) || absl::IsDataLoss(stored.status());
    m_lastRead = now;
    m_readAgain = now + (isAnswer ? m_settings.rereadInterval : m_settings.retryDelay);
    if (!isAnswer)
        return actions;
    if (absl::IsDataLoss(stored.status()) && !m_isStoredCorrupt)
        actions.emplace_back(reject_record { 0, stored.status() });
    m_isStoredCorrupt = absl::IsDataLoss(stored.status());
    const bool wasRead = std::exchange(m_wasRead, true);
    if (!m_isWatching)
        m_watchedRevision = std::max(m_watchedRevision, at);
    if (stored.ok()) {
        if (wasRead)
            noteRead(stored->revision, actions);
        offer(*stored, record_source::Read, now, actions);
    }
    if (!m_isWatching && now >= m_watchAgain) {
        m_isWatching = true;
        actions.emplace_back(watch_record { m_watchedRevision });
    }
    return actions;
}

void spread::noteRead(std::uint64_t revision, spread_actions& actions)
{
    if (m_unreported != 0)
        actions.emplace_back(report_silent_watch { std::exchange(m_unreported, 0) });
    if (m_isWatching && revision > m_record.revision && revision != m_rejected)
        m_unreported = revision;
}

spread_actions spread::onWatched(const absl::StatusOr<external::revision>& at, const settings::configuration_record* changed, utils::time_point now)
{
    spread_actions actions;
    m_isWatching = false;
    if (!at.ok()) {
        m_watchAgain = now + m_settings.retryDelay;
        m_readAgain = std::min(m_readAgain, m_watchAgain);
        // A forgotten revision is replaced by that of the next read.
        m_wasRead = m_wasRead && !absl::IsOutOfRange(at.status());
        return actions;
    }
    m_watchedRevision = std::max(m_watchedRevision, *at);
    if (changed != nullptr && changed->revision >= m_unreported)
        m_unreported = 0;
    if (changed != nullptr)
        offer(*changed, record_source::Watch, now, actions);
    m_isWatching = true;
    actions.emplace_back(watch_record { m_watchedRevision });
    return actions;
}

spread_actions spread::onRecord(const settings::configuration_record& record, record_source source, utils::time_point now)
{
    spread_actions actions;
    offer(record, source, now, actions);
    return actions;
}

void spread::offer(const settings::configuration_record& record, record_source source, utils::time_point now, spread_actions& actions)
{
    if (source == record_source::OwnEdit && record.revision == m_record.revision)
        announce(now, actions);
    if (record.revision <= m_record.revision || record.revision == m_rejected)
        return;
    if (auto status = m_check(record); !status.ok()) {
        m_rejected = record.revision;
        actions.emplace_back(reject_record { record.revision, std::move(status) });
        return;
    }
    m_record = record;
    if (m_isWatching)
        m_readAgain = std::max(m_readAgain, m_lastRead + m_settings.rereadInterval);
    actions.emplace_back(apply_record {});
    for (auto& [member, peer] : m_peers) {
        if (peer.reported < m_record.revision && !peer.isLagging) {
            peer.isLagging = true;
            peer.lagsSince = now;
        }
    }
    if (source == record_source::OwnEdit)
        announce(now, actions);
}

void spread::announce(utils::time_point now, spread_actions& actions)
{
    for (const auto& member : m_members) {
        if (member != m_settings.self && revisionOf(member) < m_record.revision && m_peers[member].sent != m_record.revision)
            send(member, now, actions);
    }
}

void spread::onMembers(std::set<std::string> members)
{
    m_members = std::move(members);
    std::erase_if(m_peers, [this](const auto& entry) { return m_members.count(entry.first) == 0; });
}

void spread::onHeartbeat(const std::string& sender, std::uint64_t revision, utils::time_point now)
{
    if (sender == m_settings.self)
        return;
    auto& peer = m_peers[sender];
    peer.reported = revision;
    peer.lastHeard = now;
    // The peer's own message is mostly on its way; the read is for the case that it is not.
    if (revision > m_record.revision && revision != m_rejected)
        m_readAgain = std::min(m_readAgain, std::max(now + m_settings.grace, m_lastRead + m_settings.pullInterval));
    const bool isLagging = revision < m_record.revision;
    if (isLagging && !peer.isLagging)
        peer.lagsSince = now;
    peer.isLagging = isLagging;
}

bool spread::isSendDue(const std::string& name, const peer_state& peer, utils::time_point now) const
{
    if (!peer.isLagging || peer.reported >= m_record.revision || now - peer.lastHeard > m_settings.silenceLimit)
        return false;
    if (peer.sent == m_record.revision)
        return now >= peer.sendAgain;
    // A daemon without any configuration serves nothing: it isn't made to wait for its own read.
    const auto grace = peer.reported == 0 ? utils::milliseconds(0) : m_settings.grace;
    return now >= peer.lagsSince + grace + rankFor(name) * m_settings.rankDelay;
}

// The members after the laggard, in order and around, send one after another, so that mostly one does.
std::size_t spread::rankFor(const std::string& laggard) const
{
    std::size_t rank = 0;
    auto place = m_members.upper_bound(laggard);
    for (; rank < m_members.size(); ++rank, ++place) {
        if (place == m_members.end())
            place = m_members.begin();
        if (*place == m_settings.self)
            break;
    }
    return rank;
}

void spread::send(const std::string& receiver, utils::time_point now, spread_actions& actions)
{
    auto& peer = m_peers[receiver];
    peer.pause = peer.sent == m_record.revision ? std::min(peer.pause * 2, m_settings.resendLimit) : m_settings.resendDelay;
    peer.sent = m_record.revision;
    peer.sendAgain = now + peer.pause;
    actions.emplace_back(send_record { receiver });
}

} // namespace camphorsaddle::configuration
