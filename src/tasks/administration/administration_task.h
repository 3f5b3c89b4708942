#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "access/access_policy.h"
#include "access/token_authenticator.h"
#include "tasks/administration/token_verifier.h"
#include "tasks/task.h"
#include "transport/http_server.h"

namespace camphorsaddle::tasks {

//! \brief The HTTP interface for operators and job submitters; passes calls to the scheduler and configurator tasks.
class administration_task : public task {
public:
    explicit administration_task(daemon_context& context);
    ~administration_task() override;

    absl::Status open() override;

protected:
    void close() override;

private:
    //! A call that was passed to another task or daemon and waits for its response.
    struct pending_call {
        transport::http_request request;
        //! Empty when another daemon forwarded the call.
        std::optional<transport::http_responder> responder;
        //! Daemon that forwarded the call, and its ticket for the call.
        std::string forwarder;
        std::uint64_t forwarderTicket = 0;
        utils::time_point deadline;
    };

    //! A call that waits for the verification of its token or for the first configuration.
    struct deferred_call {
        transport::http_request request;
        transport::http_responder responder;
        utils::time_point deadline;
    };

    void handleMessage(administration_message message);
    void handleRequest(transport::http_request request, const transport::http_responder& responder);
    void authorizeCall(deferred_call call);
    void retryDeferredCalls();
    void deferCall(deferred_call call);
    void executeCall(transport::http_request request, const transport::http_responder& responder, const std::string& team);
    void refuseCall(const deferred_call& call, access::administration_refusal reason);
    void submitNextVerification();
    void applyConfiguration(const configuration_applied& change);
    void expireDeferredCalls();
    void dispatchCall(pending_call call);
    void handlePeerMessage(const protocol::PeerEnvelope& envelope);
    void forwardCall(std::uint64_t ticket, const std::string& member);
    void finishCall(std::uint64_t ticket, transport::http_response response);
    void expireCalls();
    transport::http_response readyResponse() const;
    transport::http_response statusResponse() const;

    utils::reason_counters<access::administration_refusal, access::administrationRefusalCount> m_refusals;
    access::token_authenticator m_authenticator;
    std::unique_ptr<token_verifier> m_verifier;
    std::vector<deferred_call> m_deferredCalls;
    //! The configuration in effect; null before the first one is applied.
    std::shared_ptr<const model::configuration> m_configuration;
    bool m_isConfigurationKnown = false;
    std::unique_ptr<transport::http_server> m_server;
    transport::timer m_expiryTimer;
    std::map<std::uint64_t, pending_call> m_pendingCalls;
    std::uint64_t m_nextTicket = 1;
    membership_changed m_membership;
    std::uint64_t m_configurationRevision = 0;
    std::map<std::string, std::string> m_statusSections;
    bool m_isDraining = false;
};

} // namespace camphorsaddle::tasks
