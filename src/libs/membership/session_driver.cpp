#include "membership/session_driver.h"

#include <algorithm>
#include <utility>

#include "utils/hashing.h"

namespace camphorsaddle::membership {

namespace {

    constexpr utils::milliseconds watchWait { 10000 };

} // namespace

class session_driver::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(external::key_value_store& store, utils::executor& loop, member self, session_settings settings, std::uint64_t seed, session_observer observer)
        : m_store(store)
        , m_loop(loop)
        , m_session(std::move(self), settings)
        , m_settings(settings)
        , m_random(seed)
        , m_observer(std::move(observer))
    {
    }

    void run(const session_actions& actions)
    {
        for (const auto& action : actions)
            std::visit([this](const auto& each) { perform(each); }, action);
        arm();
    }

    void start()
    {
        run(m_session.start(m_loop.now(), random()));
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
    //! A callback that hands the answer to the session while this object lives.
    template <typename Answer>
    auto into(session_actions (member_session::*event)(std::uint64_t, const Answer&, utils::time_point, std::uint64_t), std::uint64_t call)
    {
        return [weak = weak_from_this(), event, call](const Answer& answer) {
            if (const auto self = weak.lock())
                self->run((self->m_session.*event)(call, answer, self->m_loop.now(), self->random()));
        };
    }

    void perform(const grant_member_lease& action)
    {
        m_store.grantLease(m_settings.leaseDuration, into(&member_session::leaseGranted, action.call));
    }
    void perform(const renew_member_lease& action)
    {
        m_store.renewLease(action.lease, into(&member_session::leaseRenewed, action.call));
    }
    void perform(const end_member_lease& action)
    {
        m_store.revokeLease(action.lease, [weak = weak_from_this(), call = action.call](const absl::Status&) {
            if (const auto self = weak.lock())
                self->run(self->m_session.leaseEnded(call));
        });
    }
    void perform(const read_member_key& action)
    {
        m_store.read(memberKey(m_session.self().id), into(&member_session::keyRead, action.call));
    }
    void perform(const write_member_key& action)
    {
        m_store.write(action.request, into(&member_session::keyWritten, action.call));
    }
    void perform(const list_members& action)
    {
        m_store.list(memberKey({}), {}, 0, into(&member_session::membersListed, action.call));
    }
    void perform(const watch_members& action)
    {
        m_store.watch(memberKey({}), action.after, watchWait, into(&member_session::membersChanged, action.call));
    }
    void perform(const membership_report& report)
    {
        m_observer.report(report);
    }
    void perform(const send_heartbeat&)
    {
        m_observer.sendHeartbeat();
    }
    void perform(const report_left&)
    {
        m_observer.left();
    }

    //! One wake-up is planned at a time, earlier when the session asks for an earlier one.
    void arm()
    {
        const auto next = m_session.nextWake();
        if (next >= m_wakeAt)
            return;
        m_wakeAt = next;
        const auto delay = std::max(std::chrono::ceil<utils::milliseconds>(next - m_loop.now()), utils::milliseconds(0));
        m_loop.callLater(delay, [weak = weak_from_this(), next] {
            const auto self = weak.lock();
            if (!self || self->m_wakeAt != next)
                return;
            self->m_wakeAt = utils::time_point::max();
            self->run(self->m_session.wake(self->m_loop.now(), self->random()));
        });
    }

    external::key_value_store& m_store;
    utils::executor& m_loop;
    member_session m_session;
    session_settings m_settings;
    std::uint64_t m_random;
    session_observer m_observer;
    utils::time_point m_wakeAt = utils::time_point::max();
};

session_driver::session_driver(external::key_value_store& store, utils::executor& loop, member self, session_settings settings, std::uint64_t seed, session_observer observer)
    : m_implementation(std::make_shared<implementation>(store, loop, std::move(self), settings, seed, std::move(observer)))
{
}

session_driver::~session_driver() = default;

void session_driver::start()
{
    m_implementation->start();
}

void session_driver::heard(const std::string& peer)
{
    m_implementation->session().heard(peer, m_implementation->loop().now());
}

void session_driver::setUnreachable(std::vector<std::string> dataCentres)
{
    auto& state = *m_implementation;
    state.run(state.session().setUnreachable(std::move(dataCentres), state.loop().now()));
}

void session_driver::leave()
{
    m_implementation->run(m_implementation->session().leave());
}

const membership_report& session_driver::report() const
{
    return m_implementation->session().report();
}

} // namespace camphorsaddle::membership
