#include "transport/event_loop.h"

namespace camphorsaddle::transport {

namespace {

    constexpr double toSeconds(utils::milliseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    // After a delay, what has arrived is read before the timers of the same turn decide that it is missing.
    constexpr int ioPriority = EV_MAXPRI;

} // namespace

event_loop::event_loop()
    : m_loop(ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV))
{
    ev_async_init(&m_stopWatcher, &event_loop::onStop);
    ev_async_start(m_loop, &m_stopWatcher);
}

event_loop::~event_loop()
{
    ev_async_stop(m_loop, &m_stopWatcher);
    ev_loop_destroy(m_loop);
}

void event_loop::run()
{
    ev_run(m_loop, 0);
}

void event_loop::stop()
{
    ev_async_send(m_loop, &m_stopWatcher);
}

utils::time_point event_loop::now() const
{
    return std::chrono::steady_clock::now();
}

void event_loop::onStop(struct ev_loop* loop, ev_async*, int)
{
    ev_break(loop, EVBREAK_ALL);
}

timer::timer(event_loop& loop, std::function<void()> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_timer_init(&m_watcher, &timer::onTimeout, 0, 0);
    m_watcher.data = this;
}

timer::~timer()
{
    stop();
}

void timer::startOnce(utils::milliseconds delay)
{
    stop();
    ev_now_update(m_loop.nativeLoop());
    ev_timer_set(&m_watcher, toSeconds(delay), 0);
    ev_timer_start(m_loop.nativeLoop(), &m_watcher);
}

void timer::startRepeating(utils::milliseconds interval)
{
    stop();
    ev_now_update(m_loop.nativeLoop());
    ev_timer_set(&m_watcher, toSeconds(interval), toSeconds(interval));
    ev_timer_start(m_loop.nativeLoop(), &m_watcher);
}

void timer::stop()
{
    ev_timer_stop(m_loop.nativeLoop(), &m_watcher);
}

bool timer::isActive() const
{
    return ev_is_active(&m_watcher);
}

void timer::onTimeout(struct ev_loop*, ev_timer* watcher, int)
{
    static_cast<timer*>(watcher->data)->m_callback();
}

wake_watcher::wake_watcher(event_loop& loop, std::function<void()> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_async_init(&m_watcher, &wake_watcher::onWake);
    m_watcher.data = this;
    ev_async_start(m_loop.nativeLoop(), &m_watcher);
}

wake_watcher::~wake_watcher()
{
    ev_async_stop(m_loop.nativeLoop(), &m_watcher);
}

void wake_watcher::wake()
{
    ev_async_send(m_loop.nativeLoop(), &m_watcher);
}

void wake_watcher::onWake(struct ev_loop*, ev_async* watcher, int)
{
    static_cast<wake_watcher*>(watcher->data)->m_callback();
}

io_watcher::io_watcher(event_loop& loop, std::function<void(int)> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_io_init(&m_watcher, &io_watcher::onEvent, -1, 0);
    ev_set_priority(&m_watcher, ioPriority);
    m_watcher.data = this;
}

io_watcher::~io_watcher()
{
    stop();
}

void io_watcher::start(int descriptor, int events)
{
    stop();
    ev_io_set(&m_watcher, descriptor, events);
    ev_io_start(m_loop.nativeLoop(), &m_watcher);
}

void io_watcher::stop()
{
    ev_io_stop(m_loop.nativeLoop(), &m_watcher);
}

void io_watcher::onEvent(struct ev_loop*, ev_io* watcher, int events)
{
    static_cast<io_watcher*>(watcher->data)->m_callback(events);
}

} // namespace camphorsaddle::transport
