#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "access/token_authenticator.h"

namespace camphorsaddle::tasks {

//! \brief Verifies tokens one after another on a separate thread, because a verification would block an event loop.
class token_verifier {
public:
    //! \a onVerified is called on the verifier thread with each verification and whether the token is known.
    explicit token_verifier(std::function<void(const access::token_verification&, bool)> onVerified);

    void submit(access::token_verification verification);

private:
    void run(const std::stop_token& stop);

    std::function<void(const access::token_verification&, bool)> m_onVerified;
    std::mutex m_mutex;
    std::condition_variable_any m_verificationAdded;
    std::deque<access::token_verification> m_queue;
    // Must be the last member, so that the thread is joined before the other members are destroyed.
    std::jthread m_thread;
};

} // namespace camphorsaddle::tasks
