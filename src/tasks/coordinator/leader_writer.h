#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "external/transactional_store.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

enum class write_outcome {
    Committed,
    //! The key had another version; nothing was written.
    Conflict,
    //! The key that must not exist does; nothing was written.
    Excluded,
    //! The leader key has changed, so another daemon may lead; the write did not take effect.
    Deposed,
    //! The write did not take effect.
    NotWritten,
    //! No reply before the deadline; the write may have taken effect.
    Indeterminate,
};

//! \brief Change of one key that is valid only while this daemon is the leader.
struct leader_write {
    std::string key;
    //! Value to store; nullopt erases the key.
    std::optional<std::string> value;
    //! Version that the key must have; 0 if it must not exist.
    external::revision expectedVersion = 0;
    //! The write is not retried after this time.
    utils::time_point deadline;
    //! Ends the write with NotWritten when the store refuses it, instead of retrying, because a caller waits.
    bool failsWhenRefused = false;
    //! Called once with the outcome. \a at is the version of the key after a commit. \a present is the current value after
    //! a conflict, null if the key does not exist.
    std::function<void(write_outcome outcome, external::revision at, const external::key_value* present)> done;
    //! Another key that must not exist; empty for none.
    std::string excludingKey {};
};

//! \brief Batches the leader's writes into transactions that commit only while the leader key is unchanged.
//!
//! Retries transactions without a reply. Each write expects a version of its key, so a retried write takes effect at
//! most once; if a retry conflicts, comparing the values shows whether the earlier attempt took effect.
class leader_writer {
public:
    leader_writer(transport::event_loop& loop, external::transactional_store& store, std::string leaderKey, external::revision leaderKeyVersion);
    ~leader_writer();
    leader_writer(const leader_writer&) = delete;
    leader_writer& operator=(const leader_writer&) = delete;

    //! \brief Queues a write; urgent writes are sent first and without delay.
    void enqueue(leader_write write, bool isUrgent);
    //! \brief Ends all queued and in-flight writes because the leader's term is over: in-flight writes and those that may
    //! have taken effect as Indeterminate, the others as Deposed.
    void abandonAll();
    //! \brief Number of further ordinary writes that will be sent without a long wait.
    std::size_t freeCapacity() const;
    //! \brief Whether the last transaction was refused or got no reply.
    bool isStoreFailing() const;

private:
    struct queued_write {
        leader_write write;
        //! An earlier attempt got no reply, so it may have taken effect.
        bool mayBeWritten = false;
    };
    using batch = std::vector<queued_write>;

    void flush();
    void sendTransaction(batch writes);
    void processResult(batch& writes, const absl::StatusOr<external::transaction_result>& result);
    void processConflict(batch& writes, const std::vector<external::key_value>& present);
    void requeue(batch& writes);
    //! \brief Number of entries that a transaction has for its writes, beside the expectation of the leader key.
    std::size_t entriesForWrites() const;

    external::transactional_store& m_store;
    std::string m_leaderKey;
    external::revision m_leaderKeyVersion;
    transport::timer m_flushTimer;
    std::deque<queued_write> m_urgentWrites;
    std::deque<queued_write> m_ordinaryWrites;
    std::vector<std::shared_ptr<batch>> m_inFlight;
    bool m_isStoreFailing = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
