#pragma once

#include <functional>
#include <map>
#include <memory>

#include "journal/executor.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief Runs delayed function calls on the event loop of a task.
class loop_executor : public journal::executor {
public:
    explicit loop_executor(transport::event_loop& loop);

    utils::time_point now() const override;
    void callLater(utils::milliseconds delay, std::function<void()> function) override;

private:
    void runDueCalls();
    void startTimer();

    transport::event_loop& m_loop;
    transport::timer m_timer;
    std::multimap<utils::time_point, std::function<void()>> m_pendingCalls;
};

} // namespace camphorsaddle::tasks
