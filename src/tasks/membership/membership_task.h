#pragma once

#include <map>
#include <memory>
#include <string>

#include "external/guarded_store.h"
#include "external/http_key_value_store.h"
#include "membership/session_driver.h"
#include "tasks/loop_executor.h"
#include "tasks/task.h"

namespace camphorsaddle::tasks {

//! \brief Maintains this daemon's leased member key, watches those of the other daemons and owns the sockets between daemons.
class membership_task : public task {
public:
    explicit membership_task(daemon_context& context);
    ~membership_task() override;

    absl::Status open() override;

private:
    struct peer {
        membership::member member;
        std::unique_ptr<transport::message_sender> sender;
    };

    void handleMessage(membership_message message);
    void receive(const zmq::message_t& raw);
    void dispatch(protocol::PeerEnvelope envelope);
    void send(const std::string& receiver, protocol::PeerEnvelope envelope);
    void sendHeartbeat();
    void publishReport(const membership::membership_report& report);
    void updatePeers(const membership::member_view& view);

    membership::member m_self;
    std::unique_ptr<transport::http_client> m_client;
    external::http_key_value_store m_httpStore;
    loop_executor m_executor;
    external::guarded_store m_store;
    std::unique_ptr<transport::message_receiver> m_receiver;
    membership::session_driver m_session;

    bool m_isLeaving = false;
    std::uint64_t m_configurationRevision = 0;
    std::map<std::string, peer> m_peers;
};

} // namespace camphorsaddle::tasks
