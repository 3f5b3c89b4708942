#include "tasks/coordinator/guarded_run_control.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    constexpr utils::milliseconds reviewInterval { 200 };

    std::string describe(const external::run_id& run)
    {
        return absl::StrCat(run.task.job, ".", run.task.step, ".", run.task.index, "/", run.number);
    }

} // namespace

guarded_run_control::guarded_run_control(transport::event_loop& loop, std::unique_ptr<external::run_control> control)
    : m_control(std::move(control))
    , m_reviewTimer(loop, [this] { reviewWorkers(); })
{
}

guarded_run_control::~guarded_run_control() = default;

void guarded_run_control::start(const external::worker_address& worker, const external::run_order& order, std::function<void(external::order_reply)> callback)
{
    m_guard.describeStart(worker.id, { order.run, order.traits }, order.fence, utils::nowIncludingSuspend());
    m_control->start(worker, order, [this, alive = std::weak_ptr(m_alive), worker, run = order.run, fence = order.fence, callback = std::move(callback)](const external::order_reply& reply) {
        if (!alive.expired() && m_guard.handleStartReply(worker.id, run, reply))
            pause(worker, run, fence);
        callback(reply);
    });
}

void guarded_run_control::stop(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence, std::function<void(external::order_reply)> callback)
{
    m_control->stop(worker, run, fence, std::move(callback));
}

void guarded_run_control::pace(const external::worker_address& worker, const external::run_id& run, int percent, std::uint64_t fence, std::function<void(external::order_reply)> callback)
{
    m_control->pace(worker, run, percent, fence, [this, alive = std::weak_ptr(m_alive), worker = worker.id, run, percent, callback = std::move(callback)](const external::order_reply& reply) {
        if (!alive.expired())
            m_guard.handlePaceReply(worker, run, percent, reply);
        callback(reply);
    });
}

void guarded_run_control::observe(const external::worker_address& worker, const external::observe_order& order, std::function<void(external::observe_reply)> callback)
{
    const auto now = utils::nowIncludingSuspend();
    for (const auto& run : order.described)
        m_guard.describeRun(worker.id, run, order.fence, now);
    auto& observed = m_observedWorkers[worker.id];
    observed = { worker, order.fence, observed.pendingObservations + 1 };
    m_control->observe(worker, order, [this, alive = std::weak_ptr(m_alive), worker, fence = order.fence, callback = std::move(callback)](external::observe_reply reply) {
        if (!alive.expired())
            reviewReport(worker, reply, fence);
        callback(std::move(reply));
    });
}

void guarded_run_control::reviewReport(const external::worker_address& worker, external::observe_reply& reply, std::uint64_t fence)
{
    if (const auto observed = m_observedWorkers.find(worker.id); observed != m_observedWorkers.end())
        --observed->second.pendingObservations;
    if (!m_reviewTimer.isActive())
        m_reviewTimer.startOnce(reviewInterval);
    const auto decision = m_guard.review(worker.id, reply, fence, utils::nowIncludingSuspend());
    if (decision.heldFor)
        utils::logEvent(utils::events::bestEffortHeld, { { "worker", worker.id }, { "run", describe(*decision.heldFor) }, { "missed_ms", std::to_string(decision.missedTime.count()) }, { "clock", std::to_string(reply.workerState.clock) }, { "paused", std::to_string(decision.runsToPause.size()) }, { "term", std::to_string(fence) } });
    for (const auto& run : decision.runsToPause)
        pause(worker, run, fence);
}

void guarded_run_control::pause(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence)
{
    m_control->pace(worker, run, 0, fence, [this, alive = std::weak_ptr(m_alive), worker = worker.id, run](const external::order_reply& reply) {
        if (alive.expired())
            return;
        m_guard.handlePaceReply(worker, run, 0, reply);
        if (reply.outcome != external::order_outcome::Accepted)
            utils::logEvent(utils::events::pauseFailed, { { "worker", worker }, { "run", describe(run) }, { "outcome", std::string(toString(reply.outcome)) } });
    });
}

void guarded_run_control::reviewWorkers()
{
    const auto now = utils::nowIncludingSuspend();
    for (const auto& id : m_guard.overdueWorkers(now)) {
        const auto found = m_observedWorkers.find(id);
        if (found == m_observedWorkers.end() || found->second.pendingObservations > 0)
            continue;
        auto& observed = found->second;
        ++observed.pendingObservations;
        // Acknowledges nothing, since the ends may be those of a new process.
        m_control->observe(observed.address, { 0, observed.fence, 0, utils::milliseconds(0), {} }, [this, alive = std::weak_ptr(m_alive), worker = observed.address, fence = observed.fence](external::observe_reply reply) {
            if (!alive.expired())
                reviewReport(worker, reply, fence);
        });
    }
    m_guard.forgetUnobservedWorkers(now);
    std::erase_if(m_observedWorkers, [this](const auto& entry) { return entry.second.pendingObservations == 0 && !m_guard.knows(entry.first); });
    if (!m_observedWorkers.empty())
        m_reviewTimer.startOnce(reviewInterval);
}

} // namespace camphorsaddle::tasks
