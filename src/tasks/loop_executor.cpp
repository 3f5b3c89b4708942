#include "tasks/loop_executor.h"

#include <algorithm>

namespace camphorsaddle::tasks {

loop_executor::loop_executor(transport::event_loop& loop)
    : m_loop(loop)
    , m_timer(loop, [this] { runDueCalls(); })
{
}

utils::time_point loop_executor::now() const
{
    return m_loop.now();
}

void loop_executor::callLater(utils::milliseconds delay, std::function<void()> function)
{
    m_pendingCalls.emplace(now() + delay, std::move(function));
    startTimer();
}

void loop_executor::runDueCalls()
{
    const auto currentTime = now();
    while (!m_pendingCalls.empty() && m_pendingCalls.begin()->first <= currentTime) {
        auto next = m_pendingCalls.extract(m_pendingCalls.begin());
        next.mapped()();
    }
    startTimer();
}

void loop_executor::startTimer()
{
    if (m_pendingCalls.empty())
        return;
    const auto delay = std::chrono::ceil<utils::milliseconds>(m_pendingCalls.begin()->first - now());
    m_timer.startOnce(std::max(delay, utils::milliseconds(0)));
}

} // namespace camphorsaddle::tasks
