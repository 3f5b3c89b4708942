#include "tasks/coordinator/rules_follower.h"

#include <algorithm>

#include "tasks/coordinator/rules_codec.h"
#include "utils/errors.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // A call that waits is one call however long; a silent one is noticed within this time and a second.
    constexpr utils::milliseconds watchWait { 4000 };
    // The leader's word is at most this old, and the way to the others takes half a second more at most.
    constexpr utils::milliseconds leaderRefresh { 500 };
    // Operators' changes have to be in force within 2.5 s, of which the store may need one.
    constexpr utils::milliseconds longestUnconfirmed { 1200 };

    // Daemons speak up twice a second; changes for one that is gone would pile up in its queue.
    constexpr utils::milliseconds followerSilence { 1300 };

    std::int64_t microsOf(utils::time_point time)
    {
        return std::chrono::duration_cast<utils::microseconds>(time.time_since_epoch()).count();
    }

} // namespace

rules_follower::rules_follower(transport::event_loop& loop, external::key_value_store& store, const jobs::deployment_format& format, change_function changed, send_function send)
    : m_format(format)
    , m_changed(std::move(changed))
    , m_send(std::move(send))
    , m_watch(
          loop, store, format.rulesKey(), watchWait, [this](const auto& key, const auto* value) { onValue(key, value); }, [] {})
{
    m_watch.setWaiting(false);
}

void rules_follower::start()
{
    m_watch.start();
}

void rules_follower::setLeads(bool leads)
{
    m_leads = leads;
    m_followers.clear();
    m_watch.setWaiting(leads);
}

void rules_follower::tick(utils::time_point now)
{
    const bool isDue = m_leads ? now >= m_askedAt + leaderRefresh : now > std::max(confirmedAt(), m_askedAt) + longestUnconfirmed;
    if (!isDue || m_watch.isAsking())
        return;
    m_askedAt = now;
    m_watch.refresh();
}

const std::shared_ptr<const jobs::deployment_rules>& rules_follower::rules() const
{
    return m_history.rules();
}

utils::time_point rules_follower::confirmedAt() const
{
    return std::max(m_toldAt, m_watch.confirmedAt());
}

void rules_follower::onValue(const std::string& key, const external::key_value* value)
{
    if (key != m_format.rulesKey() || value == nullptr)
        return;
    auto rules = m_format.parseRules(value->value);
    if (!rules.ok()) {
        utils::logEvent(utils::events::configurationRejected, { { "revision", std::to_string(value->version) }, { "error", utils::describe(rules.status()) } });
        return;
    }
    if (m_history.replaceRules(*std::move(rules), value->version))
        announce();
}

void rules_follower::announce()
{
    const auto& rules = m_history.rules();
    utils::logEvent(utils::events::configurationApplied, { { "version", std::to_string(rules->version) }, { "revision", std::to_string(m_history.revision()) }, { "queues", std::to_string(rules->queues.size()) } });
    if (m_leads) {
        const auto now = utils::nowIncludingSuspend();
        std::erase_if(m_followers, [&](const auto& entry) { return now > entry.second.heardAt + followerSilence; });
        for (auto& [endpoint, follower] : m_followers)
            sendUpdate(endpoint, follower, 0, now);
    }
    m_changed(rules);
}

void rules_follower::answerHello(const protocol::CarrierHello& hello, utils::time_point now)
{
    if (!m_leads || m_history.rules() == nullptr)
        return;
    auto& follower = m_followers[hello.endpoint()];
    follower = { hello.rules_revision(), now };
    sendUpdate(hello.endpoint(), follower, hello.sent_us(), now);
}

void rules_follower::sendUpdate(const std::string& endpoint, known_follower& follower, std::int64_t helloMicros, utils::time_point now)
{
    // A daemon that is too far behind, or ahead, asks the store itself.
    const auto change = m_history.changesSince(follower.revision);
    if (!change)
        return;
    protocol::CoordinatorEnvelope envelope;
    auto& update = *envelope.mutable_rules();
    writeRulesChange(*change, update);
    update.set_store_revision(m_watch.at());
    update.set_age_ms(std::chrono::duration_cast<utils::milliseconds>(now - m_watch.confirmedAt()).count());
    update.set_hello_us(helloMicros);
    m_send(endpoint, envelope);
    follower.revision = change->to;
}

void rules_follower::fillHello(protocol::CarrierHello& hello, utils::time_point now) const
{
    hello.set_rules_revision(m_history.revision());
    hello.set_sent_us(microsOf(now));
}

void rules_follower::takeUpdate(const protocol::RulesUpdate& update)
{
    const auto change = readRulesChange(update);
    const bool isNew = change.to != m_history.revision();
    if (isNew && !m_history.applyChange(change)) {
        // The rules have moved on since the hello; the next one says what is needed.
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "rules change from another revision" }, { "from", std::to_string(change.from) }, { "revision", std::to_string(m_history.revision()) } });
        return;
    }
    m_watch.assume(m_format.rulesKey(), change.to, update.store_revision());
    // The leader wrote its answer after the hello, so that its word is at most as old as the hello and what it says.
    if (update.hello_us() != 0)
        m_toldAt = std::max(m_toldAt, utils::time_point(utils::microseconds(update.hello_us()) - utils::milliseconds(update.age_ms())));
    if (isNew)
        announce();
}

} // namespace camphorsaddle::tasks
