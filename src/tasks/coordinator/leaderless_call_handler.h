#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>

#include "external/transactional_store.h"
#include "tasks/coordinator/coordinator_messages.h"
#include "tasks/coordinator/early_cancellation_settings.h"
#include "tasks/coordinator/early_cancellation_writer.h"
#include "transport/event_loop.h"
#include "utils/token_bucket.h"

namespace camphorsaddle::tasks {

//! \brief Handles callers' calls with the store alone, for daemons that reach no leader.
//!
//! Writes an inbox entry for each job and cancellation that it stores, so that the leader adopts it.
class leaderless_call_handler {
public:
    using reply_callback = std::function<void(job_reply)>;

    //! \a jobMemory: see setJobMemory(), as long as no leader has told.
    leaderless_call_handler(transport::event_loop& loop, external::transactional_store& store, const early_cancellation_settings& settings = {}, std::uint64_t jobMemory = std::numeric_limits<std::uint64_t>::max());
    ~leaderless_call_handler();
    leaderless_call_handler(const leaderless_call_handler&) = delete;
    leaderless_call_handler& operator=(const leaderless_call_handler&) = delete;

    //! \brief Sets how many bytes the jobs may take that are stored from now on; the leader counts those that were stored before.
    void setJobMemory(std::uint64_t bytes);
    //! \brief Calls \a reply once, before the caller's timeout.
    void handle(const job_call& call, reply_callback reply);

private:
    struct call_attempt;

    void submitJob(const std::shared_ptr<call_attempt>& attempt);
    //! \brief Answers the submission of a job for which there is no memory.
    void refuseForMemory(const std::shared_ptr<call_attempt>& attempt);
    //! \brief Has the leader adopt a job that the store has already.
    void announceKnownJob(const std::shared_ptr<call_attempt>& attempt);
    void readStatus(const std::shared_ptr<call_attempt>& attempt);
    void cancelJob(const std::shared_ptr<call_attempt>& attempt);
    void storeCancellation(const std::shared_ptr<call_attempt>& attempt);
    //! \brief Keeps a job that the store doesn't have from being stored, since its submission may be under way.
    void storeEarlyCancellation(const std::shared_ptr<call_attempt>& attempt);
    void retryOrFail(const std::shared_ptr<call_attempt>& attempt, const absl::Status& status, void (leaderless_call_handler::*step)(const std::shared_ptr<call_attempt>&));

    transport::event_loop& m_loop;
    external::transactional_store& m_store;
    early_cancellation_writer m_earlyCancellations;
    utils::token_bucket m_earlyCancellationBudget;
    std::uint64_t m_jobMemory;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
