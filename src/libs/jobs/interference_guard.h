#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "external/run_control.h"

namespace camphorsaddle::jobs {

//! \brief What a guard has decided by a report of a worker.
struct guard_decision {
    //! Best-effort runs to pause.
    std::vector<external::run_id> runsToPause;
    //! Service task whose target has been missed for too long; set when the guard starts to hold the worker.
    std::optional<external::run_id> heldFor;
    //! For how long, by the worker's clock.
    utils::milliseconds missedTime { 0 };
};

//! \brief Pauses all best-effort runs of a worker when one of its service tasks has missed its latency target for too long.
//!
//! A guard belongs to the daemon that executes the orders to a worker and sees its reports first. It therefore works however
//! late the leader handles them. Everything else about paces is decided by the leader, which learns them from the reports.
//! A state machine without input or output: the caller sends the orders.
class interference_guard {
public:
    //! \brief Records what the leader of \a term says of a run.
    void describeRun(const std::string& worker, const external::described_run& described, std::uint64_t term, utils::time_point now);
    //! \brief Records a start that is about to be ordered.
    void describeStart(const std::string& worker, const external::described_run& described, std::uint64_t term, utils::time_point now);
    //! \brief Returns whether the started run has to be paused at once.
    bool handleStartReply(const std::string& worker, const external::run_id& run, const external::order_reply& reply);
    //! \brief Records the reply to an order to change a pace.
    void handlePaceReply(const std::string& worker, const external::run_id& run, int percent, const external::order_reply& reply);
    //! \brief Decides by a report. Adds to it the paces in force, and whether a run is listed that the leader has not described.
    guard_decision review(const std::string& worker, external::observe_reply& report, std::uint64_t term, utils::time_point now);
    //! \brief Workers on which a target is missed and whose last report is too old, although no other observation of them is
    //! under way.
    std::vector<std::string> overdueWorkers(utils::time_point now) const;
    bool knows(const std::string& worker) const;
    //! \brief Forgets workers without reports for some time.
    void forgetUnobservedWorkers(utils::time_point now);

private:
    struct guarded_run {
        external::run_traits traits;
        std::uint64_t term = 0;
        utils::time_point describedAt;
        bool isListed = false;
        //! Share of its speed that it is limited to, percent; nullopt if unknown.
        std::optional<int> pace;
        //! The worker's clock when it set the pace.
        external::worker_time paceClock = 0;
        bool isPauseOrdered = false;
        //! The worker's clock in the first report of the present miss of its target, and in the first report since then in which
        //! the target was met; 0 for none.
        external::worker_time missedSince = 0;
        external::worker_time metSince = 0;
    };
    struct guarded_worker {
        std::int64_t incarnation = 0;
        external::worker_time clock = 0;
        utils::time_point reviewedAt;
        //! All best-effort runs have to be paused, also those that start.
        bool isHeld = false;
        bool isTargetMissed = false;
        std::map<external::run_id, guarded_run> runs;
    };

    guarded_run* findRun(const std::string& worker, const external::run_id& id);
    //! \brief Updates since when the run's target is missed; returns for how long.
    static utils::milliseconds updateMiss(guarded_run& run, const external::run_report& report, external::worker_time clock);
    static bool needsPause(const guarded_run& run, const external::run_report& report, external::worker_time clock);

    std::map<std::string, guarded_worker> m_workers;
};

} // namespace camphorsaddle::jobs
