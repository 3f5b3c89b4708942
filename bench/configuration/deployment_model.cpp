#include "bench/configuration/deployment_model.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace camphorsaddle::bench {

namespace {

    using configuration::stored_record;
    using utils::milliseconds;
    using utils::time_point;

    constexpr milliseconds storeTimeout { 3000 };
    constexpr milliseconds watchTimeout { 10000 };
    constexpr milliseconds tickInterval { 250 };
    constexpr milliseconds heartbeatInterval { 500 };
    constexpr milliseconds editTimeout { 7000 };

    std::string daemonName(std::size_t daemon)
    {
        return absl::StrCat("daemon-", daemon);
    }

    std::string readBaseConfiguration()
    {
        std::ifstream file(std::string(SOURCE_FOLDER) + "/share/pregon-unido/base.json");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    absl::Status noReplyError()
    {
        return absl::DeadlineExceededError("no reply");
    }

} // namespace

deployment_model::deployment_model(std::size_t daemons, std::uint64_t seed)
    : m_random(seed)
{
    for (std::size_t index = 0; index < daemons; ++index)
        m_daemons.push_back(std::make_unique<daemon>());
    for (std::size_t index = 0; index < daemons; ++index)
        startDaemon(index);
    run(utils::seconds(2));
    submitEdit(0, { "base", readBaseConfiguration(), 0, "operator", "first" });
    run(utils::seconds(10));
}

void deployment_model::setLossRates(double replies, double messages)
{
    m_replyLossRate = replies;
    m_messageLossRate = messages;
}

void deployment_model::schedule(time_point time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

// A paused daemon handles its events, in order, when the pause ends.
void deployment_model::scheduleOnDaemon(std::size_t index, time_point time, std::function<void()> event)
{
    schedule(time, [this, index, startNumber = m_daemons[index]->startNumber, event = std::move(event)] {
        const auto& target = *m_daemons[index];
        if (target.startNumber != startNumber)
            return;
        if (m_now < target.pausedUntil)
            scheduleOnDaemon(index, target.pausedUntil, event);
        else
            event();
    });
}

milliseconds deployment_model::randomDelay(int low, int high)
{
    return milliseconds(std::uniform_int_distribution<int>(low, high)(m_random));
}

void deployment_model::run(milliseconds duration)
{
    const auto end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

void deployment_model::startDaemon(std::size_t index)
{
    auto& target = *m_daemons[index];
    ++target.startNumber;
    target.runningSince = m_now;
    target.activationTimes.clear();
    configuration::replicator_settings settings;
    settings.localDaemonId = daemonName(index);
    target.replicator = std::make_unique<configuration::replicator>(settings, [](const auto&) { return absl::OkStatus(); });
    std::set<std::string> members;
    for (std::size_t member = 0; member < m_daemons.size(); ++member)
        members.insert(daemonName(member));
    target.replicator->setMembers(std::move(members));
    scheduleOnDaemon(index, m_now, [this, index] { tick(index); });
    scheduleOnDaemon(index, m_now + randomDelay(0, 500), [this, index] { sendHeartbeats(index); });
}

void deployment_model::restartDaemon(std::size_t index)
{
    std::erase_if(m_pendingWatches, [index](const auto& entry) { return entry.second.daemon == index; });
    startDaemon(index);
}

void deployment_model::pauseDaemon(std::size_t index, milliseconds duration)
{
    auto& target = *m_daemons[index];
    target.pausedUntil = std::max(target.pausedUntil, m_now + duration);
    target.runningSince = target.pausedUntil;
}

void deployment_model::startStoreOutage(milliseconds duration)
{
    m_storeDownUntil = m_now + duration;
    replyToWatches([](const pending_watch&) { return true; }, absl::UnavailableError("connection lost"), false);
}

void deployment_model::tick(std::size_t index)
{
    executeActions(index, m_daemons[index]->replicator->handleTick(m_now));
    scheduleOnDaemon(index, m_now + tickInterval, [this, index] { tick(index); });
}

void deployment_model::sendHeartbeats(std::size_t index)
{
    const auto revision = activeRecord(index).revision;
    for (std::size_t peer = 0; peer < m_daemons.size(); ++peer) {
        if (peer == index || std::bernoulli_distribution(m_messageLossRate)(m_random))
            continue;
        scheduleOnDaemon(peer, m_now + randomDelay(10, 80), [this, index, peer, revision] {
            m_daemons[peer]->replicator->handleHeartbeat(daemonName(index), revision, m_now);
        });
    }
    scheduleOnDaemon(index, m_now + heartbeatInterval, [this, index] { sendHeartbeats(index); });
}

void deployment_model::executeActions(std::size_t index, const configuration::replicator_actions& actions)
{
    auto& target = *m_daemons[index];
    for (const auto& action : actions) {
        if (std::holds_alternative<configuration::read_record>(action)) {
            readStore(index, [this, index](const absl::StatusOr<stored_record>& stored, external::revision revision) {
                const auto record = stored.ok() ? absl::StatusOr<settings::configuration_record>(stored->record) : stored.status();
                executeActions(index, m_daemons[index]->replicator->handleReadReply(record, revision, m_now));
            });
        } else if (const auto* watch = std::get_if<configuration::watch_record>(&action)) {
            watchStore(index, watch->after);
        } else if (const auto* send = std::get_if<configuration::send_record>(&action)) {
            sendRecord(index, send->receiver);
        } else if (std::holds_alternative<configuration::apply_record>(action)) {
            const auto revision = target.replicator->activeRecord().revision;
            if (!target.activationTimes.empty() && target.activationTimes.rbegin()->first >= revision)
                ++m_orderViolationCount;
            target.activationTimes.emplace(revision, m_now);
        } else if (std::holds_alternative<configuration::report_stalled_watch>(action)) {
            ++m_stalledWatchReportCount;
        }
    }
}

// Calls \a reply with the store's reply or at the timeout, whichever is first; the call may take effect after the timeout.
void deployment_model::callStore(std::size_t index, std::function<void()> effect, reply_callback reply)
{
    const auto hasEnded = std::make_shared<bool>(false);
    const auto finish = [hasEnded, reply = std::move(reply)](const absl::Status& status) {
        if (!std::exchange(*hasEnded, true))
            reply(status);
    };
    const auto requestDelay = std::chrono::duration_cast<milliseconds>(m_storeDelay * std::uniform_real_distribution<double>(0, 1)(m_random));
    const auto arrivalTime = m_now + randomDelay(5, 40) + requestDelay;
    const auto replyDelay = randomDelay(5, 40) + m_storeDelay - requestDelay;
    scheduleOnDaemon(index, m_now + storeTimeout, [finish] { finish(noReplyError()); });
    schedule(arrivalTime, [this, index, replyDelay, finish, effect = std::move(effect)] {
        if (isStoreDown()) {
            scheduleOnDaemon(index, m_now + replyDelay, [finish] { finish(absl::UnavailableError("refused")); });
            return;
        }
        effect();
        if (!std::bernoulli_distribution(m_replyLossRate)(m_random))
            scheduleOnDaemon(index, m_now + replyDelay, [finish] { finish(absl::OkStatus()); });
    });
}

void deployment_model::readStore(std::size_t index, std::function<void(absl::StatusOr<stored_record>, external::revision)> reply)
{
    struct read_result {
        stored_record record;
        external::revision revision = 0;
    };
    const auto readResult = std::make_shared<read_result>();
    callStore(
        index, [this, readResult] {
            ++m_traffic.storeReads;
            m_traffic.storeBytes += recordSize(m_stored.record);
            *readResult = { m_stored, m_storeRevision }; },
        [readResult, reply = std::move(reply)](const absl::Status& status) {
            if (!status.ok())
                reply(status, 0);
            else if (readResult->record.version == 0)
                reply(absl::NotFoundError("no record"), readResult->revision);
            else
                reply(readResult->record, readResult->revision);
        });
}

void deployment_model::watchStore(std::size_t index, external::revision after)
{
    const auto hasEnded = std::make_shared<bool>(false);
    const auto finish = [this, index, hasEnded](const absl::StatusOr<external::revision>& revision, const std::shared_ptr<settings::configuration_record>& changed) {
        if (!std::exchange(*hasEnded, true))
            executeActions(index, m_daemons[index]->replicator->handleWatchReply(revision, changed.get(), m_now));
    };
    scheduleOnDaemon(index, m_now + watchTimeout + storeTimeout, [finish] { finish(noReplyError(), nullptr); });
    schedule(m_now + randomDelay(5, 40) + m_storeDelay / 2, [this, index, after, finish, startNumber = m_daemons[index]->startNumber] {
        if (m_daemons[index]->startNumber != startNumber)
            return;
        registerWatch(index, after, [this, index, finish](const absl::StatusOr<external::revision>& revision, bool hasChange) {
            const auto changed = hasChange ? std::make_shared<settings::configuration_record>(m_stored.record) : nullptr;
            if (hasChange)
                m_traffic.storeBytes += recordSize(m_stored.record);
            scheduleOnDaemon(index, m_now + randomDelay(5, 40) + m_storeDelay / 2, [finish, revision, changed] { finish(revision, changed); });
        });
    });
}

void deployment_model::registerWatch(std::size_t index, external::revision after, const std::function<void(absl::StatusOr<external::revision>, bool)>& reply)
{
    ++m_traffic.watches;
    if (isStoreDown()) {
        reply(absl::UnavailableError("refused"), false);
        return;
    }
    if (m_stored.version > after && !m_daemons[index]->isWatchStalled) {
        reply(m_storeRevision, true);
        return;
    }
    const auto number = m_nextWatchNumber++;
    m_pendingWatches.emplace(number, pending_watch { index, after, reply });
    schedule(m_now + watchTimeout, [this, number] {
        if (const auto found = m_pendingWatches.extract(number); !found.empty())
            found.mapped().reply(m_storeRevision, false);
    });
}

void deployment_model::replyToWatches(const std::function<bool(const pending_watch&)>& isDue, const absl::StatusOr<external::revision>& revision, bool hasChange)
{
    std::vector<pending_watch> due;
    std::erase_if(m_pendingWatches, [&](const auto& entry) {
        if (isDue(entry.second))
            due.push_back(entry.second);
        return isDue(entry.second);
    });
    for (const auto& watch : due)
        watch.reply(revision, hasChange);
}

absl::StatusOr<external::revision> deployment_model::writeStore(const configuration::write_record& request)
{
    ++m_traffic.storeWrites;
    m_traffic.storeBytes += recordSize(request.record);
    if (request.expectedVersion != m_stored.version)
        return absl::AbortedError("another version");
    if (request.record.revision != m_stored.record.revision + 1)
        ++m_orderViolationCount;
    m_stored = { request.record, ++m_storeRevision };
    replyToWatches([this](const pending_watch& watch) { return !m_daemons[watch.daemon]->isWatchStalled; }, m_storeRevision, true);
    return m_storeRevision;
}

void deployment_model::sendRecord(std::size_t from, const std::string& receiver)
{
    const auto record = std::make_shared<const settings::configuration_record>(activeRecord(from));
    m_traffic.peerBytes += recordSize(*record);
    if (std::bernoulli_distribution(m_messageLossRate)(m_random))
        return;
    for (std::size_t peer = 0; peer < m_daemons.size(); ++peer) {
        if (daemonName(peer) != receiver)
            continue;
        scheduleOnDaemon(peer, m_now + randomDelay(10, 80), [this, peer, record] {
            executeActions(peer, m_daemons[peer]->replicator->handleRecord(*record, configuration::record_source::Peer, m_now));
        });
    }
}

std::size_t deployment_model::submitOverlayEdit(std::size_t daemon, std::size_t site, int replicas)
{
    const auto document = absl::StrCat("overlays/site-", site);
    const auto& documents = activeRecord(daemon).documents;
    const auto found = documents.find(document);
    const auto text = absl::StrCat(R"({"services":{"renewals":{"replicas":)", replicas, "}}}");
    return submitEdit(daemon, { document, text, found == documents.end() ? 0 : found->second.revision, "operator", absl::StrCat("change-", m_submissions.size()) });
}

std::size_t deployment_model::submitEdit(std::size_t daemon, settings::configuration_edit edit)
{
    const auto index = m_submissions.size();
    m_submissions.push_back({ daemon, edit, false, {}, {} });
    const auto transaction = std::make_shared<configuration::edit_transaction>(std::move(edit), m_now + editTimeout);
    scheduleOnDaemon(daemon, m_now, [this, index, transaction] { executeEditAction(index, transaction, configuration::read_record {}); });
    return index;
}

void deployment_model::executeEditAction(std::size_t submission, const std::shared_ptr<configuration::edit_transaction>& transaction, const configuration::edit_action& action)
{
    const auto daemon = m_submissions[submission].daemon;
    if (const auto* outcome = std::get_if<configuration::edit_outcome>(&action)) {
        auto& ended = m_submissions[submission];
        ended.hasEnded = true;
        ended.endedAt = m_now;
        ended.outcome = *outcome;
        if (outcome->type == configuration::edit_outcome_type::Accepted)
            executeActions(daemon, m_daemons[daemon]->replicator->handleRecord(outcome->record, configuration::record_source::LocalEdit, m_now));
        return;
    }
    if (const auto* write = std::get_if<configuration::write_record>(&action)) {
        const auto result = std::make_shared<absl::StatusOr<external::revision>>(external::revision { 0 });
        callStore(
            daemon, [this, result, request = *write] { *result = writeStore(request); },
            [this, result, submission, transaction](const absl::Status& status) {
                executeEditAction(submission, transaction, transaction->handleWriteReply(status.ok() ? *result : absl::StatusOr<external::revision>(status), m_now));
            });
        return;
    }
    readStore(daemon, [this, submission, transaction](const absl::StatusOr<stored_record>& stored, external::revision) {
        executeEditAction(submission, transaction, transaction->handleReadReply(stored, m_now, utils::wall_time_point(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()))));
    });
}

time_point deployment_model::activeSince(std::size_t daemon, std::uint64_t revision) const
{
    const auto& activationTimes = m_daemons[daemon]->activationTimes;
    const auto found = activationTimes.lower_bound(revision);
    return found == activationTimes.end() ? time_point::max() : found->second;
}

std::uint64_t deployment_model::recordSize(const settings::configuration_record& record)
{
    const auto [found, isNew] = m_recordSizes.try_emplace(record.revision, 0);
    if (isNew)
        found->second = settings::formatRecord(record).size();
    return found->second;
}

} // namespace camphorsaddle::bench
