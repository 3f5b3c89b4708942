#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "journal/log.h"
#include "request_keys/key_table.h"

namespace camphorsaddle::request_keys {

//! \brief Answer to a claim.
struct claim_result {
    claim_verdict verdict = claim_verdict::Unavailable;
    //! The stored response; only with claim_verdict::Answered.
    key_answer answer;
};

//! \brief Settings of a shard's owner.
struct key_shard_options {
    //! Name of the shard and of its journal.
    std::string name;
    //! Name of this journal writer, unique among all processes and owners.
    std::string writer;
    //! How long a key is stored after it was claimed.
    utils::milliseconds keyTtl { 3600 * 1000 };
    //! Responses with a larger body are not stored; a repeated request then gets the outcome "unknown".
    std::size_t maximumAnswerBytes = 16 * 1024;
};

//! \brief Owner of one shard of request keys. Grants a claim only after its entry is committed to the shard's journal.
class key_shard_owner : private journal::observer {
public:
    using claim_callback = std::function<void(claim_result)>;
    using wall_clock = std::function<wall_milliseconds()>;

    key_shard_owner(external::key_value_store& store, journal::executor& loop, journal::write_budget& budget, key_shard_options options, wall_clock clock);
    ~key_shard_owner() override;

    //! \brief Opens the journal and takes over the shard from its previous owner.
    void open();
    //! \brief Whether the shard is open and the store is reachable.
    bool isReady() const;
    //! \brief Whether another writer has taken over the journal, or it is closed.
    bool hasLostOwnership() const;

    //! \brief Claims a key for \a holder.
    //!
    //! If another request with this key is running, the callback is called with Wait first and again when that request has
    //! ended. It is called with Unavailable at once if the shard is not open or the store is not reachable; the request
    //! must not be sent then.
    void claim(const std::string& key, const claimant& holder, std::uint64_t fingerprint, claim_callback callback);

    //! \brief Records how the request of a claim ended. Has no effect if \a holder does not hold the key.
    void endClaim(const std::string& key, const claimant& holder, key_phase finalPhase, key_answer answer);

    //! \brief Sets the live processes: the incarnation of each member.
    //!
    //! Open claims of other processes end as unknown, because it cannot be determined any more whether their requests ran.
    void setLiveMembers(const std::map<std::string, std::uint64_t>& incarnations);

    //! \brief Releases the shard by a last journal entry, so that the next owner can take over at once.
    void release(std::function<void()> callback);

    const key_table& table() const
    {
        return m_table;
    }

private:
    void restore(absl::string_view snapshot) override;
    void apply(std::uint64_t epoch, absl::string_view entry) override;
    std::string snapshot() override;
    void ownershipLost(const absl::Status& cause) override;

    void append(const key_entry& change, journal::log::append_callback callback);
    //! Evaluates the claims that wait for \a key again.
    void retryWaitingClaims(const std::string& key);
    //! Answers all waiting claims with Unavailable.
    void rejectWaitingClaims();
    void endClaimsOfLostMembers();

    key_shard_options m_options;
    wall_clock m_clock;
    key_table m_table;
    std::unique_ptr<journal::log> m_log;
    //! Keys whose claim is being committed.
    std::set<std::string> m_pendingClaims;
    //! A claim that waits for the end of another one.
    struct waiting_claim {
        claimant holder;
        std::uint64_t fingerprint = 0;
        claim_callback callback;
    };
    std::map<std::string, std::vector<waiting_claim>> m_waitingClaims;
    std::map<std::string, std::uint64_t> m_liveIncarnations;
};

} // namespace camphorsaddle::request_keys
