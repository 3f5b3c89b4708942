#include "tasks/coordinator/rules_follower.h"

#include <algorithm>

#include "tasks/coordinator/rules_codec.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // A long poll costs one call however long it waits; a lost one is noticed after this time plus one second.
    constexpr utils::milliseconds watchTimeout { 4000 };
    // Bounds the age of the leader's confirmation; sending it to the others takes at most half a second more.
    constexpr utils::milliseconds leaderRefreshInterval { 500 };
    // Operators' changes have to be in force within 2.5 s; reading the store may take one second of it.
    constexpr utils::milliseconds maximumUnconfirmedTime { 1200 };

    // Longer than a refresh that is due and times out.
    constexpr utils::milliseconds unconfirmedWarningTime { 2250 };

    // Daemons send a hello twice a second; updates for a daemon that is gone would accumulate in its message queue.
    constexpr utils::milliseconds followerSilenceTimeout { 1300 };

    // Rate at which a change arrives at least. The daemons of a region get it at the same time over one link.
    constexpr std::size_t changeBytesPerMillisecond = 125;

    utils::milliseconds transferTimeOf(const protocol::CoordinatorEnvelope& envelope)
    {
        return utils::milliseconds(static_cast<std::int64_t>(envelope.ByteSizeLong() / changeBytesPerMillisecond));
    }

    std::int64_t toMicroseconds(utils::time_point time)
    {
        return std::chrono::duration_cast<utils::microseconds>(time.time_since_epoch()).count();
    }

} // namespace

rules_follower::rules_follower(transport::event_loop& loop, external::key_value_store& store, const jobs::deployment_format& format, change_callback onChanged, send_function send, const std::mt19937_64& random)
    : m_format(format)
    , m_onChanged(std::move(onChanged))
    , m_send(std::move(send))
    , m_watch(
          loop, store, format.rulesKey(), watchTimeout, [this](const auto& key, const auto* value) { onRulesKey(key, value); }, [] {}, random)
{
    m_watch.setLongPolling(false);
}

void rules_follower::start()
{
    m_watch.start();
}

void rules_follower::setLeading(bool isLeader)
{
    m_isLeader = isLeader;
    m_followers.clear();
    m_watch.setLongPolling(isLeader);
}

void rules_follower::tick(utils::time_point now)
{
    reportAge(now);
    const bool isDue = m_isLeader ? now >= m_lastRefreshAt + leaderRefreshInterval : now > std::max(confirmedAt(), m_lastRefreshAt) + maximumUnconfirmedTime;
    if (isDue)
        requestConfirmation(now);
}

void rules_follower::requestConfirmation(utils::time_point now)
{
    if (m_watch.isRequestPending())
        return;
    m_lastRefreshAt = now;
    m_watch.refresh();
}

const std::shared_ptr<const jobs::deployment_rules>& rules_follower::rules() const
{
    return m_history.rules();
}

utils::time_point rules_follower::confirmedAt() const
{
    return std::max(m_leaderConfirmedAt, m_watch.confirmedAt());
}

rules_state rules_follower::state() const
{
    const auto at = confirmedAt();
    const auto source = at == utils::time_point() ? rules_source::None : at == m_leaderConfirmedAt ? rules_source::Leader
                                                                                                   : rules_source::Store;
    return { rules(), at, source, !m_watch.isSynced() };
}

void rules_follower::reportAge(utils::time_point now)
{
    const auto state = this->state();
    const bool isUnconfirmed = state.rules != nullptr && now > state.confirmedAt + unconfirmedWarningTime;
    if (isUnconfirmed == m_isReportedAsUnconfirmed)
        return;
    m_isReportedAsUnconfirmed = isUnconfirmed;
    utils::logEvent(isUnconfirmed ? utils::events::rulesUnconfirmed : utils::events::rulesConfirmed, { { "version", std::to_string(state.rules->version) }, { "revision", std::to_string(m_history.revision()) }, { "age_ms", std::to_string(std::chrono::duration_cast<utils::milliseconds>(now - state.confirmedAt).count()) }, { "confirmed_by", std::string(toString(state.confirmedBy)) }, { "store_failing", state.isStoreFailing ? "true" : "false" } });
}

void rules_follower::onRulesKey(const std::string& key, const external::key_value* value)
{
    if (key != m_format.rulesKey() || value == nullptr)
        return;
    auto rules = m_format.parseRules(value->value);
    if (!rules.ok()) {
        utils::logEvent(utils::events::configurationRejected, { { "revision", std::to_string(value->version) }, { "error", utils::describe(rules.status()) } });
        return;
    }
    if (m_history.replaceRules(*std::move(rules), value->version))
        publishRules();
}

void rules_follower::publishRules()
{
    const auto& rules = m_history.rules();
    utils::logEvent(utils::events::configurationApplied, { { "version", std::to_string(rules->version) }, { "revision", std::to_string(m_history.revision()) }, { "queues", std::to_string(rules->queues.size()) } });
    if (m_isLeader) {
        const auto now = utils::nowIncludingSuspend();
        std::erase_if(m_followers, [&](const auto& entry) { return now > entry.second.lastHeardAt + followerSilenceTimeout; });
        for (auto& [endpoint, follower] : m_followers)
            sendUpdate(endpoint, follower, 0, now);
    }
    m_onChanged(rules);
}

void rules_follower::replyToHello(const protocol::CarrierHello& hello, utils::time_point now, const admission_update& admission)
{
    if (!m_isLeader || m_history.rules() == nullptr)
        return;
    auto& follower = m_followers[hello.endpoint()];
    follower.lastHeardAt = now;
    const bool isChanged = follower.revision != hello.rules_revision();
    if (isChanged && now < follower.changeArrivesUntil)
        return;
    follower.revision = hello.rules_revision();
    if (isChanged && !m_history.changesSince(follower.revision))
        utils::logEvent(utils::events::followerRevisionUnknown, { { "peer", hello.endpoint() }, { "peer_revision", std::to_string(follower.revision) }, { "revision", std::to_string(m_history.revision()) } });
    sendUpdate(hello.endpoint(), follower, hello.sent_us(), now, admission);
}

void rules_follower::sendUpdate(const std::string& endpoint, known_follower& follower, std::int64_t helloMicroseconds, utils::time_point now, const admission_update& admission)
{
    // A daemon whose revision is not in the history, too old or newer than the leader's, reads the store itself.
    const auto change = m_history.changesSince(follower.revision);
    if (!change)
        return;
    protocol::CoordinatorEnvelope envelope;
    auto& update = *envelope.mutable_rules();
    writeRulesChange(*change, update);
    update.set_store_revision(m_watch.revision());
    update.set_age_ms(std::chrono::duration_cast<utils::milliseconds>(now - m_watch.confirmedAt()).count());
    update.set_hello_us(helloMicroseconds);
    if (admission.forecast)
        writeForecast(*admission.forecast, now, update);
    if (admission.memoryWithoutLeader)
        update.set_job_memory_without_leader(*admission.memoryWithoutLeader);
    m_send(endpoint, envelope);
    if (change->from != change->to)
        follower.changeArrivesUntil = now + transferTimeOf(envelope);
    follower.revision = change->to;
}

void rules_follower::fillHello(protocol::CarrierHello& hello, utils::time_point now) const
{
    hello.set_rules_revision(m_history.revision());
    hello.set_sent_us(toMicroseconds(now));
}

void rules_follower::applyUpdate(const protocol::RulesUpdate& update)
{
    if (const auto status = checkRulesUpdate(update); !status.ok()) {
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "rules out of bounds" }, { "error", utils::describe(status) } });
        return;
    }
    const auto change = readRulesChange(update);
    const bool isNew = change.to != m_history.revision();
    if (isNew && !m_history.applyChange(change)) {
        // The rules have changed since the hello; the next hello requests the right change.
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "rules change from another revision" }, { "from", std::to_string(change.from) }, { "revision", std::to_string(m_history.revision()) } });
        return;
    }
    m_watch.assumeVersion(m_format.rulesKey(), change.to, update.store_revision());
    // The leader replied after the hello was sent, so its confirmation is at most as old as the hello plus the age that
    // the update states.
    if (update.hello_us() != 0)
        m_leaderConfirmedAt = std::max(m_leaderConfirmedAt, utils::time_point(utils::microseconds(update.hello_us()) - utils::milliseconds(update.age_ms())));
    if (isNew)
        publishRules();
}

} // namespace camphorsaddle::tasks
