#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <zmq.hpp>

#include "transport/event_loop.h"

namespace camphorsaddle::transport {

//! \brief The process-wide ZeroMQ context.
zmq::context_t& zmqContext();

//! \brief Receives raw ZeroMQ messages from a bound PULL socket on an event loop.
class message_receiver {
public:
    message_receiver(event_loop& loop, const std::string& endpoint, std::function<void(zmq::message_t)> callback);

    //! \brief The endpoint with the actual port.
    std::string endpoint() const;

    //! \brief Reads waiting messages, at most as many as in one turn of the loop.
    void receiveMessages();
    //! \brief Time up to which every message that had arrived has been passed to the callback.
    //!
    //! Advances only when messages are looked for: after each arrival and by receiveMessages().
    utils::time_point emptiedAt() const;

private:
    zmq::socket_t m_socket;
    //! receiveMessages() holds a reference while it runs, because the callback may destroy the receiver.
    std::shared_ptr<const std::function<void(zmq::message_t)>> m_callback;
    io_watcher m_watcher;
    timer m_continueTimer;
    utils::time_point m_emptiedAt;
};

//! \brief Sends raw messages to a message_receiver without blocking. Not thread-safe.
class message_sender {
public:
    //! \a queueLimit is the maximum number of messages that wait to be sent; 0 means no limit.
    explicit message_sender(const std::string& endpoint, int queueLimit = 1000);

    //! \brief Queues a message; returns false when the queue is full.
    bool send(zmq::message_t message);

private:
    zmq::socket_t m_socket;
};

//! \brief Delivers typed messages to the task that owns the mailbox, by pointer over an inproc socket.
template <typename Message>
class mailbox {
public:
    explicit mailbox(std::string name)
        : m_endpoint("inproc://" + std::move(name))
    {
    }

    //! \brief Starts delivery on the owner's event loop; must be called once, before any thread posts.
    void open(event_loop& loop, std::function<void(Message)> callback)
    {
        m_receiver = std::make_unique<message_receiver>(loop, m_endpoint, [callback = std::move(callback)](zmq::message_t raw) {
            const std::unique_ptr<Message> message(*raw.data<Message*>());
            callback(std::move(*message));
        });
        m_sender = std::make_unique<message_sender>(m_endpoint, 0);
    }

    //! \brief Ends delivery and discards undelivered messages. May be called by the callback.
    void close()
    {
        m_receiver.reset();
    }

    //! \brief Sends a message to the owner; may be called from any thread.
    void post(Message message)
    {
        auto owned = std::make_unique<Message>(std::move(message));
        zmq::message_t raw(sizeof(void*));
        *raw.data<Message*>() = owned.get();
        const std::lock_guard lock(m_mutex);
        if (m_sender->send(std::move(raw)))
            static_cast<void>(owned.release());
    }

private:
    std::string m_endpoint;
    std::mutex m_mutex;
    std::unique_ptr<message_receiver> m_receiver;
    std::unique_ptr<message_sender> m_sender;
};

} // namespace camphorsaddle::transport
