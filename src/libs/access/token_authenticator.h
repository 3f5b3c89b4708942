#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "access/keyed_digest.h"
#include "model/configuration.h"
#include "utils/clock.h"

namespace camphorsaddle::access {

struct token_authenticator_settings {
    //! Maximum number of queued verifications; one runs at a time.
    std::size_t queueLimit = 16;
    //! Token bucket of each client address: verifications that it may request at once, and the interval after which it may
    //! request one more.
    int burst = 8;
    utils::milliseconds refillInterval { 500 };
    //! Maximum number of cached unknown tokens, and of client addresses with an allowance.
    std::size_t cacheLimit = 1024;
};

enum class token_verdict {
    Known,
    Unknown,
    //! A verification is queued or running; call check() again when it has finished.
    Pending,
    //! Too many verifications are queued or were requested by the address; try again later.
    Busy,
};

//! \brief A token and the hashes to verify it against, processed on another thread.
struct token_verification {
    keyed_digest digest;
    std::uint64_t generation = 0;
    std::string token;
    std::vector<std::string> hashes;
};

//! \brief Decides whether a token is in the configuration; limits the number of slow hash verifications.
//!
//! The result of a verification is cached under a keyed digest of the token until the configured hashes change.
class token_authenticator {
public:
    token_authenticator(token_authenticator_settings settings, digest_key key);

    void setTeams(const std::map<std::string, model::team_configuration>& teams);
    //! \brief Whether no token is configured; every call is then allowed without a token.
    bool allowsAnonymousAccess() const
    {
        return m_hashes.empty();
    }
    //! \brief Looks \a token up in the cache, or queues its verification; \a address is the client that the limit applies to.
    token_verdict check(const std::string& token, const std::string& address, utils::time_point now);
    keyed_digest digest(const std::string& token) const
    {
        return computeDigest(m_key, token);
    }

    //! \brief Takes the next verification from the queue; nothing while another one runs.
    std::optional<token_verification> startNextVerification();
    //! \brief Caches the result of a verification; ignored if the hashes have changed since it was queued.
    void finishVerification(const keyed_digest& digest, std::uint64_t generation, bool isKnown);

private:
    struct allowance {
        int remaining = 0;
        utils::time_point refilledAt;
    };

    bool consumeAllowance(const std::string& address, utils::time_point now);
    void cacheResult(const keyed_digest& digest, bool isKnown);

    token_authenticator_settings m_settings;
    digest_key m_key;
    std::map<std::string, std::vector<std::string>> m_hashes;
    std::uint64_t m_generation = 0;
    std::set<keyed_digest> m_knownDigests;
    std::set<keyed_digest> m_unknownDigests;
    std::deque<keyed_digest> m_unknownOrder;
    std::deque<token_verification> m_queue;
    std::optional<keyed_digest> m_runningDigest;
    std::map<std::string, allowance> m_allowances;
};

} // namespace camphorsaddle::access
