#pragma once

#include <functional>
#include <map>
#include <utility>

#include "journal/executor.h"

namespace camphorsaddle::standins {

//! \brief Executor for tests: its time advances only in \a runFor.
class virtual_clock final : public journal::executor {
public:
    utils::time_point now() const override
    {
        return m_now;
    }

    void callLater(utils::milliseconds delay, std::function<void()> function) override
    {
        m_queue.emplace(m_now + delay, std::move(function));
    }

    //! \brief Advances the time by \a duration and runs the functions that come due, ordered by due time, then by insertion.
    void runFor(utils::milliseconds duration)
    {
        const auto end = m_now + duration;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            auto next = m_queue.extract(m_queue.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = end;
    }

private:
    utils::time_point m_now { utils::seconds(1000) };
    std::multimap<utils::time_point, std::function<void()>> m_queue;
};

} // namespace camphorsaddle::standins
