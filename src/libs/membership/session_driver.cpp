#include "membership/session_driver.h"

#include <algorithm>
#include <utility>

#include "utils/hashing.h"

namespace camphorsaddle::membership {

namespace {

    constexpr utils::milliseconds watchTimeout { 10000 };

} // namespace

class session_driver::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(external::key_value_store& store, utils::executor& loop, member self, session_settings settings, std::uint64_t seed, session_callbacks callbacks)
        : m_store(store)
        , m_loop(loop)
        , m_session(std::move(self), settings)
        , m_settings(settings)
        , m_random(seed)
        , m_callbacks(std::move(callbacks))
    {
    }

    void performActions(const session_actions& actions)
    {
        for (const auto& action : actions)
            std::visit([this](const auto& each) { perform(each); }, action);
        scheduleWakeUp();
    }

    void start()
    {
        performActions(m_session.start(m_loop.now(), random()));
    }

    std::uint64_t random()
    {
        return m_random = utils::stableHash("session", m_random);
    }

    member_session& session()
    {
        return m_session;
    }

    utils::executor& loop()
    {
        return m_loop;
    }

private:
    //! Returns a callback that passes the answer to the session, unless this object has been destroyed.
    template <typename Answer>
    auto answerHandler(session_actions (member_session::*event)(std::uint64_t, const Answer&, utils::time_point, std::uint64_t), std::uint64_t callId)
    {
        return [weak = weak_from_this(), event, callId](const Answer& answer) {
            if (const auto self = weak.lock())
                self->performActions((self->m_session.*event)(callId, answer, self->m_loop.now(), self->random()));
        };
    }

    void perform(const grant_member_lease& action)
    {
        m_store.grantLease(m_settings.leaseDuration, answerHandler(&member_session::handleLeaseGranted, action.callId));
    }
    void perform(const renew_member_lease& action)
    {
        m_store.renewLease(action.lease, answerHandler(&member_session::handleLeaseRenewed, action.callId));
    }
    void perform(const revoke_member_lease& action)
    {
        m_store.revokeLease(action.lease, [weak = weak_from_this(), callId = action.callId](const absl::Status&) {
            if (const auto self = weak.lock())
                self->performActions(self->m_session.handleLeaseRevoked(callId));
        });
    }
    void perform(const read_member_key& action)
    {
        m_store.read(memberKey(m_session.self().id), answerHandler(&member_session::handleKeyRead, action.callId));
    }
    void perform(const write_member_key& action)
    {
        m_store.write(action.request, answerHandler(&member_session::handleKeyWritten, action.callId));
    }
    void perform(const list_members& action)
    {
        m_store.list(memberKey({}), {}, 0, answerHandler(&member_session::handleMembersListed, action.callId));
    }
    void perform(const watch_members& action)
    {
        m_store.watch(memberKey({}), action.after, watchTimeout, answerHandler(&member_session::handleMembersChanged, action.callId));
    }
    void perform(const membership_report& report)
    {
        m_callbacks.publishReport(report);
    }
    void perform(const send_heartbeat&)
    {
        m_callbacks.sendHeartbeat();
    }
    void perform(const report_leave_completed&)
    {
        m_callbacks.leaveCompleted();
    }

    //! Schedules the next wake-up unless an earlier one is already scheduled.
    void scheduleWakeUp()
    {
        const auto next = m_session.nextDueTime();
        if (next >= m_scheduledWakeUp)
            return;
        m_scheduledWakeUp = next;
        const auto delay = std::max(std::chrono::ceil<utils::milliseconds>(next - m_loop.now()), utils::milliseconds(0));
        m_loop.callLater(delay, [weak = weak_from_this(), next] {
            const auto self = weak.lock();
            if (!self || self->m_scheduledWakeUp != next)
                return;
            self->m_scheduledWakeUp = utils::time_point::max();
            self->performActions(self->m_session.runDueActions(self->m_loop.now(), self->random()));
        });
    }

    external::key_value_store& m_store;
    utils::executor& m_loop;
    member_session m_session;
    session_settings m_settings;
    std::uint64_t m_random;
    session_callbacks m_callbacks;
    utils::time_point m_scheduledWakeUp = utils::time_point::max();
};

session_driver::session_driver(external::key_value_store& store, utils::executor& loop, member self, session_settings settings, std::uint64_t seed, session_callbacks callbacks)
    : m_implementation(std::make_shared<implementation>(store, loop, std::move(self), settings, seed, std::move(callbacks)))
{
}

session_driver::~session_driver() = default;

void session_driver::start()
{
    m_implementation->start();
}

void session_driver::recordPeerMessage(const std::string& peer)
{
    m_implementation->session().recordPeerMessage(peer, m_implementation->loop().now());
}

void session_driver::setUnreachableDataCentres(std::vector<std::string> dataCentres)
{
    auto& state = *m_implementation;
    state.performActions(state.session().setUnreachableDataCentres(std::move(dataCentres), state.loop().now()));
}

void session_driver::leave()
{
    m_implementation->performActions(m_implementation->session().leave());
}

const membership_report& session_driver::report() const
{
    return m_implementation->session().report();
}

} // namespace camphorsaddle::membership
