#include "tasks/administration/token_verifier.h"

#include <algorithm>

#include "access/token_hash.h"

namespace camphorsaddle::tasks {

token_verifier::token_verifier(std::function<void(const access::token_verification&, bool)> onVerified)
    : m_onVerified(std::move(onVerified))
    , m_thread([this](const std::stop_token& stop) { run(stop); })
{
}

void token_verifier::submit(access::token_verification verification)
{
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(verification));
    m_verificationAdded.notify_one();
}

void token_verifier::run(const std::stop_token& stop)
{
    while (true) {
        access::token_verification verification;
        {
            std::unique_lock lock(m_mutex);
            if (!m_verificationAdded.wait(lock, stop, [this] { return !m_queue.empty(); }))
                return;
            verification = std::move(m_queue.front());
            m_queue.pop_front();
        }
        const bool isKnown = std::any_of(verification.hashes.begin(), verification.hashes.end(), [&](const std::string& hash) { return access::verifyToken(hash, verification.token); });
        m_onVerified(verification, isKnown);
    }
}

} // namespace camphorsaddle::tasks
