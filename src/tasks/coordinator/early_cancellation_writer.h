#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "external/transactional_store.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief Stores cancellations of jobs that the store doesn't have, several in one transaction.
//!
//! Such a transaction commits only if the store has none of the jobs, and a job is stored only while the store has no early
//! cancellation of it. So only one of the two is ever stored, in whatever order the store executes the writes.
class early_cancellation_writer {
public:
    //! \a isStored is false if the job exists; a status means the same as for transactional_store::transact().
    using stored_callback = std::function<void(const absl::StatusOr<bool>& isStored)>;

    early_cancellation_writer(transport::event_loop& loop, external::transactional_store& store);
    ~early_cancellation_writer();
    early_cancellation_writer(const early_cancellation_writer&) = delete;
    early_cancellation_writer& operator=(const early_cancellation_writer&) = delete;

    //! \brief Calls \a callback once, later.
    void store(const std::string& job, stored_callback callback);

private:
    struct cancellation {
        std::string job;
        stored_callback callback;
    };
    using batch = std::vector<cancellation>;

    void flush();
    void sendTransaction(batch cancellations);
    void handleConflict(batch& cancellations, const std::vector<external::key_value>& present);

    external::transactional_store& m_store;
    transport::timer m_flushTimer;
    batch m_waiting;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
