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
    constexpr milliseconds watchWait { 10000 };
    constexpr milliseconds tickInterval { 250 };
    constexpr milliseconds heartbeatInterval { 500 };
    constexpr milliseconds editTime { 7000 };

    std::string nameOf(std::size_t daemon)
    {
        return absl::StrCat("daemon-", daemon);
    }

    std::string baseText()
    {
        std::ifstream file(std::string(SOURCE_FOLDER) + "/share/pregon-unido/base.json");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    absl::Status unanswered()
    {
        return absl::DeadlineExceededError("no answer");
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
    submitEdit(0, { "base", baseText(), 0, "operator", "first" });
    run(utils::seconds(10));
}

void deployment_model::setLoss(double answers, double messages)
{
    m_answerLoss = answers;
    m_messageLoss = messages;
}

void deployment_model::at(time_point time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

// A paused daemon handles its events, in order, when it goes on.
void deployment_model::atDaemon(std::size_t index, time_point time, std::function<void()> event)
{
    at(time, [this, index, start = m_daemons[index]->start, event = std::move(event)] {
        const auto& target = *m_daemons[index];
        if (target.start != start)
            return;
        if (m_now < target.pausedUntil)
            atDaemon(index, target.pausedUntil, event);
        else
            event();
    });
}

milliseconds deployment_model::between(int low, int high)
{
    return milliseconds(std::uniform_int_distribution<int>(low, high)(m_random));
}

void deployment_model::run(milliseconds span)
{
    const auto end = m_now + span;
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
    ++target.start;
    target.liveSince = m_now;
    target.applied.clear();
    configuration::spread_settings settings;
    settings.self = nameOf(index);
    target.decisions = std::make_unique<configuration::spread>(settings, [](const auto&) { return absl::OkStatus(); });
    std::set<std::string> members;
    for (std::size_t member = 0; member < m_daemons.size(); ++member)
        members.insert(nameOf(member));
    target.decisions->onMembers(std::move(members));
    atDaemon(index, m_now, [this, index] { tick(index); });
    atDaemon(index, m_now + between(0, 500), [this, index] { beat(index); });
}

void deployment_model::restartDaemon(std::size_t index)
{
    std::erase_if(m_waiters, [index](const auto& entry) { return entry.second.daemon == index; });
    startDaemon(index);
}

void deployment_model::pauseDaemon(std::size_t index, milliseconds span)
{
    auto& target = *m_daemons[index];
    target.pausedUntil = std::max(target.pausedUntil, m_now + span);
    target.liveSince = target.pausedUntil;
}

void deployment_model::stopStore(milliseconds span)
{
    m_storeDownUntil = m_now + span;
    answerWaiters([](const waiter&) { return true; }, absl::UnavailableError("connection lost"), false);
}

void deployment_model::tick(std::size_t index)
{
    perform(index, m_daemons[index]->decisions->onTick(m_now));
    atDaemon(index, m_now + tickInterval, [this, index] { tick(index); });
}

void deployment_model::beat(std::size_t index)
{
    const auto revision = inForce(index).revision;
    for (std::size_t peer = 0; peer < m_daemons.size(); ++peer) {
        if (peer == index || std::bernoulli_distribution(m_messageLoss)(m_random))
            continue;
        atDaemon(peer, m_now + between(10, 80), [this, index, peer, revision] {
            m_daemons[peer]->decisions->onHeartbeat(nameOf(index), revision, m_now);
        });
    }
    atDaemon(index, m_now + heartbeatInterval, [this, index] { beat(index); });
}

void deployment_model::perform(std::size_t index, const configuration::spread_actions& actions)
{
    auto& target = *m_daemons[index];
    for (const auto& action : actions) {
        if (std::holds_alternative<configuration::read_record>(action)) {
            readStore(index, [this, index](const absl::StatusOr<stored_record>& stored, external::revision revision) {
                const auto record = stored.ok() ? absl::StatusOr<settings::configuration_record>(stored->record) : stored.status();
                perform(index, m_daemons[index]->decisions->onRead(record, revision, m_now));
            });
        } else if (const auto* watch = std::get_if<configuration::watch_record>(&action)) {
            watchStore(index, watch->after);
        } else if (const auto* send = std::get_if<configuration::send_record>(&action)) {
            sendRecord(index, send->receiver);
        } else if (std::holds_alternative<configuration::apply_record>(action)) {
            const auto revision = target.decisions->record().revision;
            if (!target.applied.empty() && target.applied.rbegin()->first >= revision)
                ++m_reversals;
            target.applied.emplace(revision, m_now);
        } else if (std::holds_alternative<configuration::report_silent_watch>(action)) {
            ++m_silentWatches;
        }
    }
}

// The answer or the time limit comes, whichever is first; the effect may come after the limit.
void deployment_model::callStore(std::size_t index, std::function<void()> effect, store_answer answer)
{
    const auto hasEnded = std::make_shared<bool>(false);
    const auto finish = [hasEnded, answer = std::move(answer)](const absl::Status& status) {
        if (!std::exchange(*hasEnded, true))
            answer(status);
    };
    const auto slowBefore = std::chrono::duration_cast<milliseconds>(m_storeDelay * std::uniform_real_distribution<double>(0, 1)(m_random));
    const auto arrival = m_now + between(5, 40) + slowBefore;
    const auto way = between(5, 40) + m_storeDelay - slowBefore;
    atDaemon(index, m_now + storeTimeout, [finish] { finish(unanswered()); });
    at(arrival, [this, index, way, finish, effect = std::move(effect)] {
        if (isStoreDown()) {
            atDaemon(index, m_now + way, [finish] { finish(absl::UnavailableError("refused")); });
            return;
        }
        effect();
        if (!std::bernoulli_distribution(m_answerLoss)(m_random))
            atDaemon(index, m_now + way, [finish] { finish(absl::OkStatus()); });
    });
}

void deployment_model::readStore(std::size_t index, std::function<void(absl::StatusOr<stored_record>, external::revision)> answer)
{
    struct reading {
        stored_record record;
        external::revision at = 0;
    };
    const auto seen = std::make_shared<reading>();
    callStore(
        index, [this, seen] {
            ++m_traffic.storeReads;
            m_traffic.storeBytes += sizeOf(m_stored.record);
            *seen = { m_stored, m_storeRevision }; },
        [seen, answer = std::move(answer)](const absl::Status& status) {
            if (!status.ok())
                answer(status, 0);
            else if (seen->record.version == 0)
                answer(absl::NotFoundError("no record"), seen->at);
            else
                answer(seen->record, seen->at);
        });
}

void deployment_model::watchStore(std::size_t index, external::revision after)
{
    const auto hasEnded = std::make_shared<bool>(false);
    const auto finish = [this, index, hasEnded](const absl::StatusOr<external::revision>& revision, const std::shared_ptr<settings::configuration_record>& changed) {
        if (!std::exchange(*hasEnded, true))
            perform(index, m_daemons[index]->decisions->onWatched(revision, changed.get(), m_now));
    };
    atDaemon(index, m_now + watchWait + storeTimeout, [finish] { finish(unanswered(), nullptr); });
    at(m_now + between(5, 40) + m_storeDelay / 2, [this, index, after, finish, start = m_daemons[index]->start] {
        if (m_daemons[index]->start != start)
            return;
        registerWatch(index, after, [this, index, finish](const absl::StatusOr<external::revision>& revision, bool hasChange) {
            const auto changed = hasChange ? std::make_shared<settings::configuration_record>(m_stored.record) : nullptr;
            if (hasChange)
                m_traffic.storeBytes += sizeOf(m_stored.record);
            atDaemon(index, m_now + between(5, 40) + m_storeDelay / 2, [finish, revision, changed] { finish(revision, changed); });
        });
    });
}

void deployment_model::registerWatch(std::size_t index, external::revision after, const std::function<void(absl::StatusOr<external::revision>, bool)>& answer)
{
    ++m_traffic.watches;
    if (isStoreDown()) {
        answer(absl::UnavailableError("refused"), false);
        return;
    }
    if (m_stored.version > after && !m_daemons[index]->isWatchSilent) {
        answer(m_storeRevision, true);
        return;
    }
    const auto number = m_nextWaiter++;
    m_waiters.emplace(number, waiter { index, after, answer });
    at(m_now + watchWait, [this, number] {
        if (const auto found = m_waiters.extract(number); !found.empty())
            found.mapped().answer(m_storeRevision, false);
    });
}

void deployment_model::answerWaiters(const std::function<bool(const waiter&)>& isDue, const absl::StatusOr<external::revision>& revision, bool hasChange)
{
    std::vector<waiter> due;
    std::erase_if(m_waiters, [&](const auto& entry) {
        if (isDue(entry.second))
            due.push_back(entry.second);
        return isDue(entry.second);
    });
    for (const auto& one : due)
        one.answer(revision, hasChange);
}

absl::StatusOr<external::revision> deployment_model::writeStore(const configuration::write_record& request)
{
    ++m_traffic.storeWrites;
    m_traffic.storeBytes += sizeOf(request.record);
    if (request.expectedVersion != m_stored.version)
        return absl::AbortedError("another version");
    if (request.record.revision != m_stored.record.revision + 1)
        ++m_reversals;
    m_stored = { request.record, ++m_storeRevision };
    answerWaiters([this](const waiter& one) { return !m_daemons[one.daemon]->isWatchSilent; }, m_storeRevision, true);
    return m_storeRevision;
}

void deployment_model::sendRecord(std::size_t from, const std::string& receiver)
{
    const auto record = std::make_shared<const settings::configuration_record>(inForce(from));
    m_traffic.peerBytes += sizeOf(*record);
    if (std::bernoulli_distribution(m_messageLoss)(m_random))
        return;
    for (std::size_t peer = 0; peer < m_daemons.size(); ++peer) {
        if (nameOf(peer) != receiver)
            continue;
        atDaemon(peer, m_now + between(10, 80), [this, peer, record] {
            perform(peer, m_daemons[peer]->decisions->onRecord(*record, configuration::record_source::Peer, m_now));
        });
    }
}

std::size_t deployment_model::submit(std::size_t daemon, std::size_t site, int replicas)
{
    const auto document = absl::StrCat("overlays/site-", site);
    const auto& documents = inForce(daemon).documents;
    const auto found = documents.find(document);
    const auto text = absl::StrCat(R"({"services":{"renewals":{"replicas":)", replicas, "}}}");
    return submitEdit(daemon, { document, text, found == documents.end() ? 0 : found->second.revision, "operator", absl::StrCat("change-", m_submissions.size()) });
}

std::size_t deployment_model::submitEdit(std::size_t daemon, settings::configuration_edit edit)
{
    const auto index = m_submissions.size();
    m_submissions.push_back({ daemon, edit, false, {}, {} });
    const auto process = std::make_shared<configuration::edit_process>(std::move(edit), m_now + editTime);
    atDaemon(daemon, m_now, [this, index, process] { performEdit(index, process, configuration::read_record {}); });
    return index;
}

void deployment_model::performEdit(std::size_t submission, const std::shared_ptr<configuration::edit_process>& process, const configuration::edit_step& step)
{
    const auto daemon = m_submissions[submission].daemon;
    if (const auto* outcome = std::get_if<configuration::edit_outcome>(&step)) {
        auto& ended = m_submissions[submission];
        ended.hasEnded = true;
        ended.endedAt = m_now;
        ended.outcome = *outcome;
        if (outcome->end == configuration::edit_end::Accepted)
            perform(daemon, m_daemons[daemon]->decisions->onRecord(outcome->record, configuration::record_source::OwnEdit, m_now));
        return;
    }
    if (const auto* write = std::get_if<configuration::write_record>(&step)) {
        const auto result = std::make_shared<absl::StatusOr<external::revision>>(external::revision { 0 });
        callStore(
            daemon, [this, result, request = *write] { *result = writeStore(request); },
            [this, result, submission, process](const absl::Status& status) {
                performEdit(submission, process, process->onWritten(status.ok() ? *result : absl::StatusOr<external::revision>(status), m_now));
            });
        return;
    }
    readStore(daemon, [this, submission, process](const absl::StatusOr<stored_record>& stored, external::revision) {
        performEdit(submission, process, process->onRead(stored, m_now, utils::wall_time_point(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()))));
    });
}

time_point deployment_model::inForceSince(std::size_t daemon, std::uint64_t revision) const
{
    const auto& applied = m_daemons[daemon]->applied;
    const auto found = applied.lower_bound(revision);
    return found == applied.end() ? time_point::max() : found->second;
}

std::uint64_t deployment_model::sizeOf(const settings::configuration_record& record)
{
    const auto [found, isNew] = m_sizes.try_emplace(record.revision, 0);
    if (isNew)
        found->second = settings::formatRecord(record).size();
    return found->second;
}

} // namespace camphorsaddle::bench
