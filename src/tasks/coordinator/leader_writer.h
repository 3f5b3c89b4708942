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
    //! Another leader is at work; nothing was written by a decided attempt.
    Deposed,
    //! Surely not written.
    NotWritten,
    //! No answer within the time; it may be written.
    Unsettled,
};

//! \brief One key's change under a leader's right.
struct leader_write {
    std::string key;
    //! None erases the key.
    std::optional<std::string> value;
    external::revision expectedVersion = 0;
    utils::time_point deadline;
    //! A caller waits: a refusal by the store ends the write instead of a repetition.
    bool endsWhenRefused = false;
    //! \a present is the key's present value in a conflict, null when the key does not exist.
    std::function<void(write_outcome outcome, external::revision at, const external::key_value* present)> done;
};

//! \brief Groups a leader's writes into transactions that hold only while its key stands.
//!
//! A transaction without an answer is repeated; since each write expects its key's version, a repetition takes effect
//! at most once, and the conflict of a repetition is settled by comparing values.
class leader_writer {
public:
    leader_writer(transport::event_loop& loop, external::transactional_store& store, std::string leaderKey, external::revision leaderVersion);
    ~leader_writer();
    leader_writer(const leader_writer&) = delete;
    leader_writer& operator=(const leader_writer&) = delete;

    //! \brief Queues a write; \a isUrgent ones go before the others and at once.
    void submit(leader_write write, bool isUrgent);
    //! \brief Tells all writes that are queued or under way that their leader's term is over.
    void abandon();
    //! \brief Whether the last transaction was not answered or refused.
    bool isTroubled() const;

private:
    struct queued_write {
        leader_write write;
        //! An attempt had no answer, so that it may have been written.
        bool mayBeWritten = false;
    };
    using batch = std::vector<queued_write>;

    void flush();
    void send(batch writes);
    void take(batch& writes, const absl::StatusOr<external::transaction_result>& result);
    void takeConflict(batch& writes, const std::vector<external::key_value>& present);
    void requeue(batch& writes);
    std::size_t batchLimit() const;

    external::transactional_store& m_store;
    std::string m_leaderKey;
    external::revision m_leaderVersion;
    transport::timer m_flush;
    std::deque<queued_write> m_urgent;
    std::deque<queued_write> m_ordinary;
    std::vector<std::shared_ptr<batch>> m_underWay;
    bool m_isTroubled = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
