#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "transport/event_loop.h"

namespace camphorsaddle::standins {

//! \brief Calls functions after a delay; one timer serves all pending calls.
class delay_queue {
public:
    explicit delay_queue(transport::event_loop& loop)
        : m_loop(loop)
        , m_timer(loop, [this] { runDueCalls(); })
    {
    }

    void callAfter(utils::milliseconds delay, std::function<void()> call)
    {
        const auto added = m_calls.emplace(now() + delay, std::move(call));
        if (added == m_calls.begin())
            startTimer();
    }

    utils::time_point now() const
    {
        return m_loop.now();
    }

private:
    void runDueCalls()
    {
        while (!m_calls.empty() && m_calls.begin()->first <= now())
            m_calls.extract(m_calls.begin()).mapped()();
        startTimer();
    }

    void startTimer()
    {
        m_timer.stop();
        if (!m_calls.empty())
            m_timer.startOnce(std::max(std::chrono::ceil<utils::milliseconds>(m_calls.begin()->first - now()), utils::milliseconds(0)));
    }

    transport::event_loop& m_loop;
    std::multimap<utils::time_point, std::function<void()>> m_calls;
    transport::timer m_timer;
};

} // namespace camphorsaddle::standins
