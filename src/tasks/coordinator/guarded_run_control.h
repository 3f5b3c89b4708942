#pragma once

#include <map>
#include <memory>
#include <string>

#include "external/run_control.h"
#include "jobs/interference_guard.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

//! \brief Executes orders to workers, and pauses best-effort runs beside service tasks that miss their latency target for too long.
//!
//! Needs no leader for that: while a target is missed and no order observes the worker, it observes the worker itself, without renewing
//! the lease of the runs.
class guarded_run_control final : public external::run_control {
public:
    guarded_run_control(transport::event_loop& loop, std::unique_ptr<external::run_control> control);
    ~guarded_run_control() override;

    void start(const external::worker_address& worker, const external::run_order& order, std::function<void(external::order_reply)> callback) override;
    void stop(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence, std::function<void(external::order_reply)> callback) override;
    void pace(const external::worker_address& worker, const external::run_id& run, int percent, std::uint64_t fence, std::function<void(external::order_reply)> callback) override;
    void observe(const external::worker_address& worker, const external::observe_order& order, std::function<void(external::observe_reply)> callback) override;

private:
    struct observed_worker {
        external::worker_address address;
        //! Fencing token of the last observation that the leader ordered.
        std::uint64_t fence = 0;
        unsigned pendingObservations = 0;
    };

    void reviewReport(const external::worker_address& worker, external::observe_reply& reply, std::uint64_t fence);
    void pause(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence);
    void reviewWorkers();

    std::unique_ptr<external::run_control> m_control;
    jobs::interference_guard m_guard;
    std::map<std::string, observed_worker> m_observedWorkers;
    transport::timer m_reviewTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
