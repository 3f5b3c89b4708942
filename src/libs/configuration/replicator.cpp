#include "configuration/replicator.h"

#include <algorithm>
#include <utility>

namespace camphorsaddle::configuration {

replicator::replicator(replicator_settings settings, record_check check)
    : m_settings(std::move(settings))
    , m_check(std::move(check))
{
}

std::uint64_t replicator::lastReportedRevision(const std::string& member) const
{
    if (member == m_settings.localDaemonId)
        return m_activeRecord.revision;
    const auto found = m_peers.find(member);
    return found == m_peers.end() ? 0 : found->second.reportedRevision;
}

replicator_actions replicator::handleTick(utils::time_point now)
{
    replicator_actions actions;
    if (!m_isReading && now >= m_nextReadTime) {
        m_isReading = true;
        actions.emplace_back(read_record {});
    }
    if (m_hasReadStore && !m_isWatching && now >= m_nextWatchTime) {
        m_isWatching = true;
        actions.emplace_back(watch_record { m_watchedRevision });
    }
    for (const auto& [member, peer] : m_peers) {
        if (isSendDue(member, peer, now))
            queueSend(member, now, actions);
    }
    return actions;
}

replicator_actions replicator::handleReadReply(const absl::StatusOr<settings::configuration_record>& stored, external::revision storeRevision, utils::time_point now)
{
    replicator_actions actions;
    m_isReading = false;
    // A corrupt record stays in the store until an operator writes a new one, so it isn't read again early.
    const bool isStoreReply = stored.ok() || absl::IsNotFound(stored.status()) || absl::IsDataLoss(stored.status());
    m_lastReadTime = now;
    m_nextReadTime = now + (isStoreReply ? m_settings.rereadInterval : m_settings.retryDelay);
    if (!isStoreReply)
        return actions;
    if (absl::IsDataLoss(stored.status()) && !m_isStoredRecordCorrupt)
        actions.emplace_back(reject_record { 0, stored.status() });
    m_isStoredRecordCorrupt = absl::IsDataLoss(stored.status());
    const bool hadReadStore = std::exchange(m_hasReadStore, true);
    if (!m_isWatching)
        m_watchedRevision = std::max(m_watchedRevision, storeRevision);
    if (stored.ok()) {
        if (hadReadStore)
            detectStalledWatch(stored->revision, actions);
        considerRecord(*stored, record_source::Read, now, actions);
    }
    if (!m_isWatching && now >= m_nextWatchTime) {
        m_isWatching = true;
        actions.emplace_back(watch_record { m_watchedRevision });
    }
    return actions;
}

void replicator::detectStalledWatch(std::uint64_t revision, replicator_actions& actions)
{
    if (m_unreportedRevision != 0)
        actions.emplace_back(report_stalled_watch { std::exchange(m_unreportedRevision, 0) });
    if (m_isWatching && revision > m_activeRecord.revision && revision != m_rejectedRevision)
        m_unreportedRevision = revision;
}

replicator_actions replicator::handleWatchReply(const absl::StatusOr<external::revision>& storeRevision, const settings::configuration_record* latestRecord, utils::time_point now)
{
    replicator_actions actions;
    m_isWatching = false;
    if (!storeRevision.ok()) {
        m_nextWatchTime = now + m_settings.retryDelay;
        m_nextReadTime = std::min(m_nextReadTime, m_nextWatchTime);
        // The store no longer has the history since the watched revision: watch from the revision of the next read.
        m_hasReadStore = m_hasReadStore && !absl::IsOutOfRange(storeRevision.status());
        return actions;
    }
    m_watchedRevision = std::max(m_watchedRevision, *storeRevision);
    if (latestRecord != nullptr && latestRecord->revision >= m_unreportedRevision)
        m_unreportedRevision = 0;
    if (latestRecord != nullptr)
        considerRecord(*latestRecord, record_source::Watch, now, actions);
    m_isWatching = true;
    actions.emplace_back(watch_record { m_watchedRevision });
    return actions;
}

replicator_actions replicator::handleRecord(const settings::configuration_record& record, record_source source, utils::time_point now)
{
    replicator_actions actions;
    considerRecord(record, source, now, actions);
    return actions;
}

void replicator::considerRecord(const settings::configuration_record& record, record_source source, utils::time_point now, replicator_actions& actions)
{
    if (source == record_source::LocalEdit && record.revision == m_activeRecord.revision)
        sendToOutdatedPeers(now, actions);
    if (record.revision <= m_activeRecord.revision || record.revision == m_rejectedRevision)
        return;
    if (auto status = m_check(record); !status.ok()) {
        m_rejectedRevision = record.revision;
        actions.emplace_back(reject_record { record.revision, std::move(status) });
        return;
    }
    m_activeRecord = record;
    if (m_isWatching)
        m_nextReadTime = std::max(m_nextReadTime, m_lastReadTime + m_settings.rereadInterval);
    actions.emplace_back(apply_record {});
    for (auto& [member, peer] : m_peers) {
        if (peer.reportedRevision < m_activeRecord.revision && !peer.isLagging) {
            peer.isLagging = true;
            peer.laggingSince = now;
        }
    }
    if (source == record_source::LocalEdit)
        sendToOutdatedPeers(now, actions);
}

void replicator::sendToOutdatedPeers(utils::time_point now, replicator_actions& actions)
{
    for (const auto& member : m_members) {
        if (member != m_settings.localDaemonId && lastReportedRevision(member) < m_activeRecord.revision && m_peers[member].sentRevision != m_activeRecord.revision)
            queueSend(member, now, actions);
    }
}

void replicator::setMembers(std::set<std::string> members)
{
    m_members = std::move(members);
    std::erase_if(m_peers, [this](const auto& entry) { return m_members.count(entry.first) == 0; });
}

void replicator::handleHeartbeat(const std::string& sender, std::uint64_t revision, utils::time_point now)
{
    if (sender == m_settings.localDaemonId)
        return;
    auto& peer = m_peers[sender];
    peer.reportedRevision = revision;
    peer.lastHeard = now;
    // The peer usually sends the record itself. The read covers the case that it doesn't or that the message is lost.
    if (revision > m_activeRecord.revision && revision != m_rejectedRevision)
        m_nextReadTime = std::min(m_nextReadTime, std::max(now + m_settings.lagGracePeriod, m_lastReadTime + m_settings.catchUpReadInterval));
    const bool isLagging = revision < m_activeRecord.revision;
    if (isLagging && !peer.isLagging)
        peer.laggingSince = now;
    peer.isLagging = isLagging;
}

bool replicator::isSendDue(const std::string& name, const peer_state& peer, utils::time_point now) const
{
    if (!peer.isLagging || peer.reportedRevision >= m_activeRecord.revision || now - peer.lastHeard > m_settings.peerTimeout)
        return false;
    if (peer.sentRevision == m_activeRecord.revision)
        return now >= peer.nextSendTime;
    // A daemon without any configuration can't serve requests, so it is sent one without the grace period
    // instead of having to wait until it can read the store itself.
    const auto lagGracePeriod = peer.reportedRevision == 0 ? utils::milliseconds(0) : m_settings.lagGracePeriod;
    return now >= peer.laggingSince + lagGracePeriod + sendRank(name) * m_settings.delayPerRank;
}

// Number of members that are due to send to the lagging peer before this daemon. The order of the ids, starting after the
// peer and wrapping around, staggers the sends, so that usually only one member sends the record.
std::size_t replicator::sendRank(const std::string& laggingPeer) const
{
    std::size_t rank = 0;
    auto position = m_members.upper_bound(laggingPeer);
    for (; rank < m_members.size(); ++rank, ++position) {
        if (position == m_members.end())
            position = m_members.begin();
        if (*position == m_settings.localDaemonId)
            break;
    }
    return rank;
}

void replicator::queueSend(const std::string& receiver, utils::time_point now, replicator_actions& actions)
{
    auto& peer = m_peers[receiver];
    peer.currentResendDelay = peer.sentRevision == m_activeRecord.revision ? std::min(peer.currentResendDelay * 2, m_settings.maximumResendDelay) : m_settings.initialResendDelay;
    peer.sentRevision = m_activeRecord.revision;
    peer.nextSendTime = now + peer.currentResendDelay;
    actions.emplace_back(send_record { receiver });
}

} // namespace camphorsaddle::configuration
