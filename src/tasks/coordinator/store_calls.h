#pragma once

#include <functional>
#include <memory>

#include "external/transactional_store.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief Settles callers' calls by the store alone, for daemons that reach no leader.
//!
//! What it stores is marked in the inbox of the leader, who takes it up.
class store_calls {
public:
    using reply_function = std::function<void(job_reply)>;

    store_calls(transport::event_loop& loop, external::transactional_store& store);
    ~store_calls();
    store_calls(const store_calls&) = delete;
    store_calls& operator=(const store_calls&) = delete;

    void settle(const job_call& call, reply_function reply);

private:
    struct attempt;

    void submit(const std::shared_ptr<attempt>& current);
    void status(const std::shared_ptr<attempt>& current);
    void cancel(const std::shared_ptr<attempt>& current);
    void storeCancellation(const std::shared_ptr<attempt>& current);
    void repeat(const std::shared_ptr<attempt>& current, const absl::Status& status, void (store_calls::*step)(const std::shared_ptr<attempt>&));

    transport::event_loop& m_loop;
    external::transactional_store& m_store;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
