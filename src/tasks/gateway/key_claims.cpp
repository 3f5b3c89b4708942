#include "tasks/gateway/key_claims.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "utils/hashing.h"

namespace camphorsaddle::tasks {

using request_keys::claim_verdict;

bool key_claims::requestClaim(std::uint64_t number, const transport::http_request& request, const std::string& service, bool isRepeatable)
{
    const std::string key = request.header("idempotency-key");
    if (key.empty() || isRepeatable)
        return false;
    // Keys are scoped by service and caller.
    claim newClaim { absl::StrCat(service, "\n", request.header("camphorsaddle-caller"), "\n", key) };
    const auto fingerprint = utils::stableHash(request.body, utils::stableHash(absl::StrCat(request.method, " ", request.path)));
    m_mailboxes.keys.post(key_claim { number, newClaim.key, fingerprint });
    m_claims[number] = std::move(newClaim);
    return true;
}

bool key_claims::onReply(const key_claim_reply& reply)
{
    const auto found = m_claims.find(reply.ticket);
    if (found == m_claims.end() || found->second.state == claim_state::Granted)
        return false;
    switch (reply.result.verdict) {
    case claim_verdict::Wait:
        found->second.state = claim_state::WaitingForDuplicate;
        return false;
    case claim_verdict::Granted:
        found->second.state = claim_state::Granted;
        return true;
    case claim_verdict::Unavailable:
        // The claim may still be committed to the journal; the withdrawal then removes it.
        endClaim(reply.ticket, request_keys::key_phase::Withdrawn);
        return true;
    default:
        m_claims.erase(found);
        return true;
    }
}

bool key_claims::isPending(std::uint64_t number) const
{
    const auto found = m_claims.find(number);
    return found != m_claims.end() && found->second.state != claim_state::Granted;
}

bool key_claims::isWaitingForDuplicate(std::uint64_t number) const
{
    const auto found = m_claims.find(number);
    return found != m_claims.end() && found->second.state == claim_state::WaitingForDuplicate;
}

void key_claims::endClaim(std::uint64_t number, request_keys::key_phase finalPhase, const request_keys::key_answer& answer)
{
    const auto node = m_claims.extract(number);
    if (!node.empty())
        m_mailboxes.keys.post(key_settlement { number, node.mapped().key, finalPhase, answer });
}

} // namespace camphorsaddle::tasks
