#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "tasks/daemon_context.h"
#include "transport/http_message.h"

namespace camphorsaddle::tasks {

//! \brief Claims of request keys by the requests of this gateway.
class key_claims {
public:
    explicit key_claims(task_mailboxes& mailboxes)
        : m_mailboxes(mailboxes)
    {
    }

    //! \brief Requests a claim if the request has a key and is not repeatable.
    //!
    //! Returns whether it did; the request must not be sent before the claim is granted.
    bool requestClaim(std::uint64_t number, const transport::http_request& request, const std::string& service, bool isRepeatable);

    //! \brief Handles the reply to a claim; returns whether it is the final verdict on a pending claim.
    bool onReply(const key_claim_reply& reply);

    //! \brief Whether the request has a claim that is not granted yet.
    bool isPending(std::uint64_t number) const;
    //! \brief Whether the request waits for another one with the same key, which may be running.
    bool isWaitingForDuplicate(std::uint64_t number) const;

    //! \brief Reports to the owner of the key how the request ended. Does nothing for a request without a claim.
    void endClaim(std::uint64_t number, request_keys::key_phase finalPhase, const request_keys::key_answer& answer = {});

private:
    enum class claim_state {
        //! No reply yet.
        Requested,
        //! Another request with the same key is running.
        WaitingForDuplicate,
        Granted,
    };

    struct claim {
        std::string key;
        claim_state state = claim_state::Requested;
    };

    task_mailboxes& m_mailboxes;
    //! Claims by request number.
    std::map<std::uint64_t, claim> m_claims;
};

} // namespace camphorsaddle::tasks
