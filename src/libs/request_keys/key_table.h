#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "utils/clock.h"

namespace camphorsaddle::request_keys {

//! \brief Wall-clock time in milliseconds. Steady clocks can't be used because other hosts read the entries.
using wall_milliseconds = std::int64_t;

//! \brief Stored response to the request of a key.
struct key_answer {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    auto operator<=>(const key_answer&) const = default;
};

//! \brief Claim of a gateway process to send the request of a key.
struct claimant {
    //! Member id of the gateway's daemon.
    std::string member;
    //! Distinguishes the processes of one member.
    std::uint64_t incarnation = 0;
    //! Number of the claim, unique in the process.
    std::uint64_t ticket = 0;

    auto operator<=>(const claimant&) const = default;
};

//! \brief State of a key.
enum class key_phase {
    //! A claim is committed; its holder may have sent the request.
    Claimed,
    //! A minion ran the request and the response is stored.
    Answered,
    //! The request may have run and no response is stored.
    Unknown,
    //! The request was certainly not sent and the key is free. Occurs only in entries.
    Withdrawn,
};

//! \brief Stored state of a key.
struct key_record {
    key_phase phase = key_phase::Claimed;
    claimant holder;
    //! Hash of method, path and body; detects a key that is reused for another request.
    std::uint64_t fingerprint = 0;
    wall_milliseconds claimedAt = 0;
    key_answer answer;

    auto operator<=>(const key_record&) const = default;
};

//! \brief Journal entry: a change of one key.
struct key_entry {
    std::string key;
    wall_milliseconds createdAt = 0;
    key_record record;

    auto operator<=>(const key_entry&) const = default;
};

//! \brief What a gateway may do with a request that has a key.
enum class claim_verdict {
    //! Send the request.
    Granted,
    //! Wait: another request with this key is running.
    Wait,
    //! Return the stored response of the first request.
    Answered,
    //! The first request may have run, but its response is not stored.
    Unknown,
    //! The key was used for a different request.
    Mismatch,
    //! The claim could not be committed in time; the request must not be sent.
    Unavailable,
};

//! \brief State of a request-key shard, built by applying its committed entries in order.
//!
//! A key changes from claimed to answered or unknown and never back; a withdrawn entry removes it. Entries that do not
//! apply to the current state are ignored, so that a late result from a previous holder of the key has no effect.
class key_table {
public:
    explicit key_table(utils::milliseconds keyTtl)
        : m_keyTtl(keyTtl)
    {
    }

    //! \brief Applies a committed entry and removes the keys that expired before it was created.
    void apply(const key_entry& change);
    //! \brief Whether \a change would modify the key.
    bool isApplicable(const key_entry& change) const;

    //! \brief Verdict on a claim of \a key. Granted if the key is free or \a holder has claimed it already.
    claim_verdict checkClaim(const std::string& key, const claimant& holder, std::uint64_t fingerprint, wall_milliseconds now) const;
    //! \brief State of \a key; null if it is not stored.
    const key_record* record(const std::string& key) const;
    const std::map<std::string, key_record>& records() const
    {
        return m_records;
    }

    //! \brief Replaces the state by that of a snapshot.
    void restore(std::map<std::string, key_record> records);

private:
    bool isExpired(const key_record& record, wall_milliseconds now) const;
    void removeExpired(wall_milliseconds now);

    utils::milliseconds m_keyTtl;
    std::map<std::string, key_record> m_records;
    //! Keys by the time of their claim, to find the expired ones.
    std::set<std::pair<wall_milliseconds, std::string>> m_claimOrder;
};

} // namespace camphorsaddle::request_keys
