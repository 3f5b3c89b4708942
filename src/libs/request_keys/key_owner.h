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

struct claim_result {
    claim_verdict verdict = claim_verdict::Unavailable;
    key_answer answer;
};

struct owner_settings {
    //! Name of the shard's journal.
    std::string name;
    //! Unique among all processes and owners.
    std::string writer;
    //! A key is remembered that long after its claim.
    utils::milliseconds lifetime { 3600 * 1000 };
    //! Greater answers are not kept; a repetition gets "unknown".
    std::size_t largestAnswer = 16 * 1024;
};

//! \brief Owns one shard of request keys: answers claims after their entry is committed.
class key_owner : private journal::observer {
public:
    using claim_callback = std::function<void(claim_result)>;
    using wall_clock = std::function<wall_milliseconds()>;

    key_owner(external::key_value_store& store, journal::executor& loop, journal::write_budget& budget, owner_settings settings, wall_clock clock);
    ~key_owner() override;

    //! \brief Takes the shard over.
    void open();
    bool isReady() const;
    bool isDeposed() const;

    //! \brief Claims a key. Wait may come first; then the callback runs again when the first request has ended.
    //!
    //! Unavailable at once while the shard is not open or the store does not answer: then nothing may be sent.
    void claim(const std::string& key, const claimant& holder, std::uint64_t fingerprint, claim_callback callback);

    //! \brief Records how a claimed request ended.
    void settle(const std::string& key, const claimant& holder, key_phase end, key_answer answer);

    //! \brief Claims of processes other than \a live ones end as unknown.
    void setLive(const std::map<std::string, std::uint64_t>& live);

    //! \brief Gives the shard up by an entry.
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
    void answerWaiting(const std::string& key);
    void refuseWaiting();
    void endDeadClaims();

    owner_settings m_settings;
    wall_clock m_clock;
    key_table m_table;
    std::unique_ptr<journal::log> m_log;
    //! Keys with a claim on its way into the journal.
    std::set<std::string> m_claiming;
    struct waiting_claim {
        claimant holder;
        std::uint64_t fingerprint = 0;
        claim_callback callback;
    };
    std::map<std::string, std::vector<waiting_claim>> m_waiting;
    std::map<std::string, std::uint64_t> m_live;
};

} // namespace camphorsaddle::request_keys
