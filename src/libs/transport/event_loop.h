#pragma once

#include <ev.h>

#include <functional>

#include "utils/clock.h"

namespace camphorsaddle::transport {

//! \brief A libev event loop. All methods except stop() must be called on the thread that runs the loop.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    struct ev_loop* nativeLoop() const
    {
        return m_loop;
    }

    //! \brief Runs the loop until stop() is called.
    void run();

    //! \brief Ends run(); may be called from any thread.
    void stop();

    utils::time_point now() const;

private:
    static void onStop(struct ev_loop* loop, ev_async* watcher, int events);

    struct ev_loop* m_loop;
    ev_async m_stopWatcher {};
};

//! \brief A timer on an event loop; calls a function once or repeatedly.
//!
//! In each turn of the loop, timers run after the io_watchers.
class timer {
public:
    timer(event_loop& loop, std::function<void()> callback);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    void startOnce(utils::milliseconds delay);
    void startRepeating(utils::milliseconds interval);
    void stop();
    bool isActive() const;

private:
    static void onTimeout(struct ev_loop* loop, ev_timer* watcher, int events);

    event_loop& m_loop;
    std::function<void()> m_callback;
    ev_timer m_watcher {};
};

//! \brief Calls a function on the thread of an event loop after another thread has asked for it.
class wake_watcher {
public:
    wake_watcher(event_loop& loop, std::function<void()> callback);
    ~wake_watcher();
    wake_watcher(const wake_watcher&) = delete;
    wake_watcher& operator=(const wake_watcher&) = delete;

    //! \brief May be called from any thread; calls before the function runs are combined.
    void wake();

private:
    static void onWake(struct ev_loop* loop, ev_async* watcher, int events);

    event_loop& m_loop;
    std::function<void()> m_callback;
    ev_async m_watcher {};
};

//! \brief Calls a function when a file descriptor becomes readable or writable.
class io_watcher {
public:
    io_watcher(event_loop& loop, std::function<void(int events)> callback);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;

    //! \brief Watches \a descriptor; \a events is a combination of EV_READ and EV_WRITE.
    void start(int descriptor, int events);
    void stop();

private:
    static void onEvent(struct ev_loop* loop, ev_io* watcher, int events);

    event_loop& m_loop;
    std::function<void(int)> m_callback;
    ev_io m_watcher {};
};

} // namespace camphorsaddle::transport
