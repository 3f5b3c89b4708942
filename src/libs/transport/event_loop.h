#pragma once

#include <ev.h>

#include <functional>

#include "utils/clock.h"

namespace camphorsaddle::transport {

//! \brief One libev loop. Every method but \a stop is for the thread that runs it.
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

    //! \brief Runs until \a stop is called.
    void run();

    //! \brief Ends \a run; safe from any thread.
    void stop();

    utils::time_point now() const;

private:
    static void onStop(struct ev_loop* loop, ev_async* watcher, int events);

    struct ev_loop* m_loop;
    ev_async m_stop {};
};

//! \brief A timer that calls a function once or repeatedly.
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

//! \brief Calls a function when a file descriptor becomes readable or writable.
class io_watcher {
public:
    io_watcher(event_loop& loop, std::function<void(int events)> callback);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;

    //! \a events is a combination of EV_READ and EV_WRITE.
    void start(int descriptor, int events);
    void stop();

private:
    static void onEvent(struct ev_loop* loop, ev_io* watcher, int events);

    event_loop& m_loop;
    std::function<void(int)> m_callback;
    ev_io m_watcher {};
};

} // namespace camphorsaddle::transport
