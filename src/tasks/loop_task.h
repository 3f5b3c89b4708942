#pragma once

#include <thread>

#include "absl/status/status.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief A thread that runs one event loop, owns its sockets and state, and receives messages from a mailbox.
class loop_task {
public:
    loop_task() = default;
    virtual ~loop_task() = default;
    loop_task(const loop_task&) = delete;
    loop_task& operator=(const loop_task&) = delete;

    //! \brief Opens sockets; called on the main thread before any task starts.
    virtual absl::Status open() = 0;

    void start()
    {
        m_thread = std::thread([this] {
            m_loop.run();
            close();
        });
    }

    void join()
    {
        if (m_thread.joinable())
            m_thread.join();
    }

protected:
    //! \brief Closes sockets; called on the thread of the task after its event loop has ended.
    virtual void close()
    {
    }

    transport::event_loop& loop()
    {
        return m_loop;
    }

private:
    transport::event_loop m_loop;
    std::thread m_thread;
};

} // namespace camphorsaddle::tasks
