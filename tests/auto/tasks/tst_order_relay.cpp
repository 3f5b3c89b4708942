#include <gtest/gtest.h>

#include <map>

#include "tasks/coordinator/relayed_run_control.h"
#include "tasks/memory_store.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;

namespace {

constexpr utils::milliseconds replyTime { 100 };
const std::string formerLeader = "former leader";
const std::string newLeader = "new leader";

// Accepts every order and counts them by fencing token.
class accepting_run_control final : public external::run_control {
public:
    std::map<std::uint64_t, unsigned> ordersByFence;

    void start(const external::worker_address&, const external::run_order& order, std::function<void(external::order_reply)> callback) override
    {
        ++ordersByFence[order.fence];
        callback({ external::order_outcome::Accepted, 1 });
    }

    void stop(const external::worker_address&, const external::run_id&, std::uint64_t fence, std::function<void(external::order_reply)> callback) override
    {
        ++ordersByFence[fence];
        callback({ external::order_outcome::Accepted, 1 });
    }

    void pace(const external::worker_address&, const external::run_id&, int, std::uint64_t fence, std::function<void(external::order_reply)> callback) override
    {
        ++ordersByFence[fence];
        callback({ external::order_outcome::Accepted, 1 });
    }

    void observe(const external::worker_address&, const external::observe_order& order, std::function<void(external::observe_reply)> callback) override
    {
        ++ordersByFence[order.fence];
        callback({ external::order_outcome::Accepted, {} });
    }
};

protocol::RunOrders makeOrders(const std::string& replyEndpoint, std::uint64_t fence, protocol::RunOrder::Kind kind)
{
    protocol::RunOrders orders;
    orders.set_reply_endpoint(replyEndpoint);
    auto& order = *orders.add_orders();
    order.set_ticket(fence);
    order.set_kind(kind);
    order.set_worker("worker");
    order.set_fence(fence);
    return orders;
}

} // namespace

struct relayed_order_case {
    const char* name;
    protocol::RunOrder::Kind kind;
};

class relayed_order : public testing::TestWithParam<relayed_order_case> {
protected:
    int outcomeFor(const std::string& leader) const
    {
        return m_replies.at(leader).outcome();
    }

    const utils::time_point m_now = utils::nowIncludingSuspend();
    transport::event_loop m_loop;
    accepting_run_control m_workers;
    std::map<std::string, protocol::RunReply> m_replies;
    order_relay m_relay { m_loop, m_workers, "relay", [this](const std::string& endpoint, const protocol::CoordinatorEnvelope& envelope) {
                             m_replies[endpoint] = envelope.run_replies().replies(0);
                         } };
};

INSTANTIATE_TEST_SUITE_P(Kinds, relayed_order,
    testing::Values(relayed_order_case { "start", protocol::RunOrder::START }, relayed_order_case { "stop", protocol::RunOrder::STOP },
        relayed_order_case { "pace", protocol::RunOrder::PACE }, relayed_order_case { "observe", protocol::RunOrder::OBSERVE }),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a former leader that renews leases through a relay which already works for the next leader.
TEST_P(relayed_order, OfFormerLeaderIsRefusedAfterAnOrderOfTheNext)
{
    m_relay.execute(makeOrders(newLeader, 5, protocol::RunOrder::OBSERVE), m_now);
    m_relay.execute(makeOrders(formerLeader, 4, GetParam().kind), m_now);
    runLoop(m_loop, replyTime);
    EXPECT_EQ(outcomeFor(newLeader), static_cast<int>(external::order_outcome::Accepted));
    EXPECT_EQ(outcomeFor(formerLeader), static_cast<int>(external::order_outcome::Fenced));
    EXPECT_EQ(m_workers.ordersByFence[4], 0u);
}

TEST_P(relayed_order, OfNextLeaderIsExecutedAfterOrdersOfTheFormer)
{
    m_relay.execute(makeOrders(formerLeader, 4, protocol::RunOrder::OBSERVE), m_now);
    m_relay.execute(makeOrders(newLeader, 5, GetParam().kind), m_now);
    runLoop(m_loop, replyTime);
    EXPECT_EQ(outcomeFor(formerLeader), static_cast<int>(external::order_outcome::Accepted));
    EXPECT_EQ(outcomeFor(newLeader), static_cast<int>(external::order_outcome::Accepted));
    EXPECT_EQ(m_workers.ordersByFence[5], 1u);
}

TEST_P(relayed_order, OfFormerLeaderIsRefusedAfterTheStoreShowedTheNext)
{
    m_relay.noteTerm(5);
    m_relay.execute(makeOrders(formerLeader, 4, GetParam().kind), m_now);
    runLoop(m_loop, replyTime);
    EXPECT_EQ(outcomeFor(formerLeader), static_cast<int>(external::order_outcome::Fenced));
    EXPECT_EQ(m_workers.ordersByFence[4], 0u);
}

// The fencing token of one worker is raised when it restarts; the orders to others keep theirs and aren't those of a former leader.
TEST_P(relayed_order, HasItsRaisedTokenWithoutAChangeOfTheTerm)
{
    constexpr std::uint64_t raise = 3;
    auto raised = makeOrders(newLeader, 5, GetParam().kind);
    raised.mutable_orders(0)->set_fence_raise(raise);
    m_relay.execute(raised, m_now);
    m_relay.execute(makeOrders(newLeader, 5, GetParam().kind), m_now);
    runLoop(m_loop, replyTime);
    EXPECT_EQ(m_workers.ordersByFence, (std::map<std::uint64_t, unsigned> { { 5, 1 }, { 5 + raise, 1 } }));
    EXPECT_EQ(outcomeFor(newLeader), static_cast<int>(external::order_outcome::Accepted));
}

struct mixed_versions_case {
    const char* name;
    bool addsFenceRaise;
    std::uint64_t raise;
    bool isRelayed;
};

class order_beside_relays_of_a_version : public testing::TestWithParam<mixed_versions_case> {
};

INSTANTIATE_TEST_SUITE_P(Versions, order_beside_relays_of_a_version,
    testing::Values(mixed_versions_case { "presentRelay", true, 0, true }, mixed_versions_case { "presentRelayWithRaisedToken", true, 2, true },
        mixed_versions_case { "olderRelay", false, 0, true }, mixed_versions_case { "olderRelayWithRaisedToken", false, 2, false }),
    [](const auto& info) { return std::string(info.param.name); });

// A relay of an older version would send the order with the token of those for the worker's former process.
TEST_P(order_beside_relays_of_a_version, ReachesTheWorkerWithItsToken)
{
    constexpr std::uint64_t term = 20'000;
    const auto fence = term + GetParam().raise;
    transport::event_loop loop;
    utils::metric_registry registry;
    relayed_order_counters counters(registry);
    accepting_run_control direct;
    std::vector<protocol::RunOrder> relayed;
    relayed_run_control control(
        loop, direct, "leader", [&](const auto&, const auto& envelope) {
            for (const auto& order : envelope.orders().orders())
                relayed.push_back(order);
        },
        counters, 1);
    control.setTerm(term);
    control.updateRelay({ "relay", "dc", 1, GetParam().addsFenceRaise }, utils::nowIncludingSuspend());
    const external::worker_address worker { "worker", "10.0.0.1:1" };
    const external::run_id run { { "job", 0, 0, 0 }, 1 };
    control.start(worker, { run, "", "", 100, fence, {} }, [](const auto&) {});
    control.stop(worker, run, fence, [](const auto&) {});
    control.pace(worker, run, 50, fence, [](const auto&) {});
    control.observe(worker, { 0, fence, 0, utils::milliseconds(0), {} }, [](const auto&) {});
    runLoop(loop, replyTime);
    constexpr unsigned orderCount = 4;
    EXPECT_EQ(direct.ordersByFence[fence], GetParam().isRelayed ? 0u : orderCount);
    ASSERT_EQ(relayed.size(), GetParam().isRelayed ? orderCount : 0u);
    for (const auto& order : relayed) {
        EXPECT_EQ(order.fence(), term);
        EXPECT_EQ(order.fence_raise(), GetParam().raise);
    }
}
