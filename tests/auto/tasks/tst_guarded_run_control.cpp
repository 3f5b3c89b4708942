#include <gtest/gtest.h>

#include <vector>

#include "tasks/coordinator/guarded_run_control.h"
#include "tasks/memory_store.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;
using utils::milliseconds;

namespace {

constexpr std::uint64_t fence = 7;
constexpr milliseconds turnTime { 100 };
constexpr int longestTurns = 100;
const external::worker_address worker { "worker", "10.0.0.1:1" };
const external::run_id serviceRun { { "service", 0, 0, 0 }, 1 };
const external::run_id effortRun { { "effort", 0, 0, 0 }, 1 };

struct ordered_pace {
    external::run_id run;
    int percent = 0;
    std::uint64_t fence = 0;

    auto operator<=>(const ordered_pace&) const = default;
};

//! A worker whose service task always misses its target.
class disturbed_worker final : public external::run_control {
public:
    explicit disturbed_worker(transport::event_loop& loop)
        : m_answerTimer(loop, [this] { answer(); })
    {
        m_answerTimer.startRepeating(milliseconds(5));
    }

    void start(const external::worker_address&, const external::run_order&, std::function<void(external::order_reply)> callback) override
    {
        m_answers.push_back([callback] { callback({ external::order_outcome::Accepted, clock() }); });
    }
    void stop(const external::worker_address&, const external::run_id&, std::uint64_t, std::function<void(external::order_reply)>) override { }
    void pace(const external::worker_address&, const external::run_id& run, int percent, std::uint64_t paceFence, std::function<void(external::order_reply)> callback) override
    {
        paces.push_back({ run, percent, paceFence });
        m_answers.push_back([callback] { callback({ external::order_outcome::Accepted, clock() }); });
    }
    void observe(const external::worker_address&, const external::observe_order& order, std::function<void(external::observe_reply)> callback) override
    {
        observations.push_back(order);
        m_answers.push_back([this, callback] {
            external::observe_reply reply { external::order_outcome::Accepted, { clock(), 1, {}, {} } };
            reply.workerState.running = { { serviceRun, "", 100, 400, {} }, { effortRun, "", 10, paces.empty() ? 2000 : 0, {} } };
            callback(reply);
        });
    }

    std::vector<ordered_pace> paces;
    std::vector<external::observe_order> observations;

private:
    static external::worker_time clock()
    {
        return std::chrono::duration_cast<milliseconds>(utils::nowIncludingSuspend().time_since_epoch()).count();
    }

    void answer()
    {
        for (const auto& next : std::exchange(m_answers, {}))
            next();
    }

    transport::timer m_answerTimer;
    std::vector<std::function<void()>> m_answers;
};

} // namespace

// Guards against service tasks that stay over their target because the leader doesn't handle reports in time: it observes the
// worker once and sends no further order.
TEST(GuardedRunControl, PausesBestEffortWorkAlthoughTheLeaderIsSilent)
{
    transport::event_loop loop;
    auto owned = std::make_unique<disturbed_worker>(loop);
    auto& orders = *owned;
    guarded_run_control control(loop, std::move(owned));
    unsigned replies = 0;
    control.start(worker, { serviceRun, "", "", 1, fence, { milliseconds(150), false } }, [&](const external::order_reply&) { ++replies; });
    control.start(worker, { effortRun, "", "", 1, fence, { milliseconds(0), true } }, [&](const external::order_reply&) { ++replies; });
    control.observe(worker, { 5, fence, 1000, milliseconds(500), {} }, [&](const external::observe_reply& reply) {
        ++replies;
        EXPECT_FALSE(reply.needsDescriptions);
        EXPECT_EQ(reply.workerState.running.at(1).pace, 100);
    });
    for (int turn = 0; turn < longestTurns && orders.paces.empty(); ++turn)
        runLoop(loop, turnTime);
    runLoop(loop, turnTime);
    EXPECT_EQ(replies, 3u);
    EXPECT_EQ(orders.paces, (std::vector<ordered_pace> { { effortRun, 0, fence } }));
    ASSERT_GE(orders.observations.size(), 3u);
    // Its own observations neither acknowledge ends nor renew the lease.
    for (std::size_t index = 1; index < orders.observations.size(); ++index) {
        EXPECT_EQ(orders.observations[index].acknowledgedEnd, 0u);
        EXPECT_EQ(orders.observations[index].leaseEnd, 0);
        EXPECT_EQ(orders.observations[index].fence, fence);
    }
}
