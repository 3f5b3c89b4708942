#pragma once

#include <functional>
#include <memory>

#include "external/key_value_store.h"
#include "membership/member_session.h"
#include "utils/executor.h"

namespace camphorsaddle::membership {

//! \brief Callbacks of a session to the task that owns it.
struct session_callbacks {
    std::function<void(const membership_report&)> publishReport;
    std::function<void()> sendHeartbeat;
    std::function<void()> leaveCompleted;
};

//! \brief Performs the actions of a session, such as calls to the store, and passes the answers back to it.
class session_driver {
public:
    session_driver(external::key_value_store& store, utils::executor& loop, member self, session_settings settings, std::uint64_t seed, session_callbacks callbacks);
    ~session_driver();
    session_driver(const session_driver&) = delete;
    session_driver& operator=(const session_driver&) = delete;

    void start();
    void recordPeerMessage(const std::string& peer);
    void setUnreachableDataCentres(std::vector<std::string> dataCentres);
    void leave();

    const membership_report& report() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace camphorsaddle::membership
