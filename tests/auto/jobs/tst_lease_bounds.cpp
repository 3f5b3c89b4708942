#include <gtest/gtest.h>

#include "jobs/simulated_fleet.h"

using namespace camphorsaddle;
using namespace camphorsaddle::jobs;
using namespace camphorsaddle::jobs::test;

namespace {

constexpr utils::milliseconds decisionInterval { 50 };
constexpr utils::milliseconds startTimeout { 5000 };

// A worker whose clock is as slow as the protocol permits, and an engine that talks to it without delay.
class slow_clock_worker {
public:
    slow_clock_worker()
    {
        m_engine.setRules(std::make_shared<deployment_rules>(defaultRules()));
        m_engine.beginTerm({}, m_now);
        m_engine.announceWorker({ "w1", "address:1", "service", "dc", "rack", {}, { 32'000, 128'000, 0 }, false, utils::milliseconds(0), 1 }, m_now);
        m_engine.markRosterStored(m_engine.roster());
    }

    void submit()
    {
        m_engine.add(makeJob("job", { batchStep(1) }), m_now);
    }

    // Runs until the first start and returns how long its lease lasts on the engine's clock.
    std::optional<utils::milliseconds> run(utils::milliseconds duration)
    {
        const auto end = m_now + duration;
        while (m_now < end) {
            m_now += decisionInterval;
            m_engine.confirmDirectory(m_now);
            m_engine.confirmCancellations(m_now);
            for (const auto& command : m_engine.decideCommands(m_now)) {
                if (const auto* observe = std::get_if<observe_command>(&command))
                    m_engine.handleObserveReply("w1", *observe, { external::order_outcome::Accepted, { clock(), 1, {}, {} } }, m_now, m_now);
                if (const auto* start = std::get_if<start_command>(&command))
                    return utils::milliseconds(static_cast<std::int64_t>(static_cast<double>(start->order.leaseEnd - clock()) / m_settings.minimumWorkerClockRate));
            }
        }
        return std::nullopt;
    }

    utils::milliseconds longestLease() const
    {
        return m_settings.maximumLeaseDuration(m_settings.leaseDuration);
    }

private:
    external::worker_time clock() const
    {
        const auto elapsed = std::chrono::duration_cast<utils::milliseconds>(m_now - m_startedAt).count();
        return 1000 + static_cast<external::worker_time>(m_settings.minimumWorkerClockRate * static_cast<double>(elapsed));
    }

    engine_settings m_settings;
    utils::time_point m_startedAt = utils::time_point() + std::chrono::hours(1);
    utils::time_point m_now = m_startedAt;
    job_engine m_engine { m_settings, 1, [](const engine_event&) {
                         } };
};

} // namespace

class start_on_idle_worker : public testing::TestWithParam<int> {
};

// Guards against a lease that outlasts the wait of the next leader, because the worker was idle for the given time, in seconds,
// and its clock was slow.
INSTANTIATE_TEST_SUITE_P(IdleTimes, start_on_idle_worker, testing::Values(1, 10, 60, 120));

TEST_P(start_on_idle_worker, GetsNoLongerLeaseThanTheNextLeaderWaitsFor)
{
    slow_clock_worker worker;
    ASSERT_EQ(worker.run(std::chrono::seconds(GetParam())), std::nullopt);
    worker.submit();
    const auto lease = worker.run(startTimeout);
    ASSERT_TRUE(lease.has_value());
    EXPECT_LE(lease->count(), worker.longestLease().count());
}
