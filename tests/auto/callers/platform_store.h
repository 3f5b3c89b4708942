#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "nlohmann/json.hpp"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace camphorsaddle::callers {

//! \brief Stand-in for the platform's store, on a thread of its own: keys, transactions, leases and long polls.
class platform_store {
public:
    explicit platform_store(const std::string& ip);
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    //! \brief Address of the store as the daemons' settings name it.
    std::string address() const;

    //! \brief While false, the store refuses to grant leases, so that no daemon can be elected.
    void setGrantsLeases(bool isGranting);

    void put(const std::string& key, const std::string& value);
    bool contains(const std::string& key) const;
    //! \brief Value of the key; empty if it doesn't exist.
    std::string value(const std::string& key) const;

private:
    using clock = std::chrono::steady_clock;

    struct item {
        //! In base64.
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct lease_state {
        std::chrono::milliseconds term { 0 };
        clock::time_point expiresAt;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool isRemoval = false;
    };
    struct open_watch {
        transport::http_responder responder;
        std::string prefix;
        std::uint64_t after = 0;
        clock::time_point until;
    };

    void serve(const transport::http_request& request, const transport::http_responder& responder);
    transport::http_response respond(const transport::http_request& request);
    transport::http_response list(const transport::http_request& request) const;
    transport::http_response transact(const nlohmann::json& body);
    transport::http_response grantLease(const nlohmann::json& body);
    void putItem(const std::string& key, const std::string& value, std::uint64_t lease);
    void removeItem(const std::string& key);
    void endLease(std::uint64_t lease);
    void onTick();
    //! \brief Answers the watch if there is a change for it or its time is over.
    bool answerWatch(const open_watch& watch, clock::time_point now) const;
    nlohmann::json render(const std::string& key, const item& stored) const;

    mutable std::mutex m_mutex;
    std::map<std::string, item> m_items;
    std::vector<change> m_changes;
    std::map<std::uint64_t, lease_state> m_leases;
    std::vector<open_watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::atomic<bool> m_grantsLeases { true };
    std::string m_ip;
    transport::event_loop m_loop;
    transport::timer m_tickTimer;
    std::unique_ptr<transport::http_server> m_server;
    std::thread m_thread;
};

} // namespace camphorsaddle::callers
