#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorsaddle::callers {

struct address {
    std::string ip;
    std::uint16_t port = 0;
};

//! \brief What a client sends: a beginning, then a piece that is repeated. Nothing is read from the connection.
struct client_script {
    std::string beginning;
    std::string piece;
    std::size_t pieceCount = 0;
};

//! \brief Clients that each open a connection, send the same script and leave the connection open.
class crowd {
public:
    //! The clients connect to \a servers in turn.
    crowd(const std::vector<address>& servers, const std::string& ownIp, client_script script, std::size_t clientCount);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    //! \brief Sends until every client has sent all, was disconnected, or can't send any more; calls \a afterRound now and then.
    void send(const std::function<void()>& afterRound);

    //! \brief Number of clients whose connection could be opened.
    std::size_t connectedCount() const
    {
        return m_connectedCount;
    }

private:
    struct client {
        int descriptor = -1;
        std::size_t sent = 0;
    };

    bool sendSome(client& sender) const;

    client_script m_script;
    std::vector<client> m_clients;
    std::size_t m_connectedCount = 0;
};

//! \brief Opens a connection from \a ownIp, whose calls fail after a minute; returns -1 if that fails.
int openConnection(const address& server, const std::string& ownIp);

//! \brief Sends all of \a data; returns false if the connection fails.
bool sendAll(int descriptor, const std::string& data);

//! \brief Sends \a request on a connection of its own and returns all that is received; empty if there is no complete response head.
std::string exchange(const address& server, const std::string& ownIp, const std::string& request);

} // namespace camphorsaddle::callers
