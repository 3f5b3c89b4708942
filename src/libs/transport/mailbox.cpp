#include "transport/mailbox.h"

namespace camphorsaddle::transport {

namespace {

    // Limits how long a busy socket delays the other watchers of the event loop.
    constexpr int maximumMessagesPerWakeup = 256;
    constexpr int heartbeatIntervalMs = 1000;
    constexpr int heartbeatTimeoutMs = 3000;

} // namespace

zmq::context_t& zmqContext()
{
    static zmq::context_t s_context(1);
    return s_context;
}

message_receiver::message_receiver(event_loop& loop, const std::string& endpoint, std::function<void(zmq::message_t)> callback)
    : m_socket(zmqContext(), zmq::socket_type::pull)
    , m_callback(std::make_shared<const std::function<void(zmq::message_t)>>(std::move(callback)))
    , m_watcher(loop, [this](int) { receiveMessages(); })
    , m_continueTimer(loop, [this] { receiveMessages(); })
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::rcvhwm, 0);
    m_socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
    m_socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
    m_socket.bind(endpoint);
    m_watcher.start(m_socket.get(zmq::sockopt::fd), EV_READ);
    m_continueTimer.startOnce(utils::milliseconds(0));
}

std::string message_receiver::endpoint() const
{
    return m_socket.get(zmq::sockopt::last_endpoint);
}

utils::time_point message_receiver::emptiedAt() const
{
    return m_emptiedAt;
}

// The descriptor is edge-triggered, so messages are read until the socket is empty; the rest of a large batch is read on a
// zero timeout.
void message_receiver::receiveMessages()
{
    const auto callback = m_callback;
    for (int count = 0; count < maximumMessagesPerWakeup; ++count) {
        zmq::message_t message;
        const auto checkedAt = utils::nowIncludingSuspend();
        if (!m_socket.recv(message, zmq::recv_flags::dontwait)) {
            m_emptiedAt = checkedAt;
            return;
        }
        (*callback)(std::move(message));
        if (callback.use_count() == 1)
            return;
    }
    m_continueTimer.startOnce(utils::milliseconds(0));
}

message_sender::message_sender(const std::string& endpoint, int queueLimit)
    : m_socket(zmqContext(), zmq::socket_type::push)
{
    m_socket.set(zmq::sockopt::linger, 0);
    m_socket.set(zmq::sockopt::sndhwm, queueLimit);
    m_socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
    m_socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
    m_socket.connect(endpoint);
}

bool message_sender::send(zmq::message_t message)
{
    return m_socket.send(message, zmq::send_flags::dontwait).has_value();
}

} // namespace camphorsaddle::transport
