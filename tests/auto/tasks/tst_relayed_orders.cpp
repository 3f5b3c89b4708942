#include <gtest/gtest.h>

#include <map>
#include <thread>
#include <vector>

#include "tasks/coordinator/forwarded_calls.h"
#include "tasks/coordinator/lateness_report.h"
#include "tasks/coordinator/relayed_run_control.h"
#include "tasks/coordinator/run_codec.h"
#include "tasks/memory_store.h"
#include "transport/mailbox.h"

using namespace camphorsaddle;
using namespace camphorsaddle::tasks;
using namespace camphorsaddle::tasks::test;
using utils::milliseconds;

namespace {

constexpr milliseconds tickInterval { 50 };

utils::time_point at(int time)
{
    return utils::time_point() + std::chrono::hours(1) + milliseconds(time);
}

} // namespace

struct lateness_case {
    const char* name;
    std::vector<int> ticks;
    std::vector<int> delays;
};

class timer_lateness_of : public testing::TestWithParam<lateness_case> {
};

INSTANTIATE_TEST_SUITE_P(Ticks, timer_lateness_of,
    testing::Values(lateness_case { "onTime", { 0, 50, 100 }, { 0, 0, 0 } },
        lateness_case { "lateOnce", { 0, 2050, 2050, 2100 }, { 0, 2000, 0, 0 } },
        lateness_case { "alwaysLate", { 0, 80, 160 }, { 0, 30, 60 } },
        lateness_case { "catchesUp", { 0, 60, 100 }, { 0, 10, 0 } }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(timer_lateness_of, IsTheTimeSinceTheTimerWasDue)
{
    timer_lateness lateness(tickInterval);
    std::vector<int> delays;
    for (const int tick : GetParam().ticks)
        delays.push_back(static_cast<int>(lateness.record(at(tick)).count()));
    EXPECT_EQ(delays, GetParam().delays);
}

TEST(LatenessReport, LogsWhatWasLateAtMostOnceASecond)
{
    utils::metric_registry registry;
    relayed_order_counters counters(registry);
    lateness_report report(registry, counters, tickInterval);
    EXPECT_EQ(report.recordTick(at(0)), lateness_summary());
    counters.orders.add(7);
    counters.unansweredOrders.add(2);
    counters.lateReplies.add();
    EXPECT_EQ(report.recordTick(at(550)), lateness_summary());
    EXPECT_EQ(report.recordTick(at(1000)), (lateness_summary { milliseconds(500), 7, 2, 1, 0 }));
    counters.orders.add(7);
    EXPECT_EQ(report.recordTick(at(1050)), lateness_summary());
    for (int time = 1100; time <= 3000; time += 50)
        EXPECT_EQ(report.recordTick(at(time)), lateness_summary()) << time;
}

namespace {

constexpr milliseconds blockedTime { 2000 };
constexpr milliseconds settlingTime { 300 };
constexpr const char* relayName = "relay";

//! Counts the orders that are not sent through a relay.
class counting_direct_control final : public external::run_control {
public:
    void start(const external::worker_address&, const external::run_order&, std::function<void(external::order_reply)>) override
    {
        ++orders;
    }
    void stop(const external::worker_address&, const external::run_id&, std::uint64_t, std::function<void(external::order_reply)>) override
    {
        ++orders;
    }
    void pace(const external::worker_address&, const external::run_id&, int, std::uint64_t, std::function<void(external::order_reply)>) override
    {
        ++orders;
    }
    void observe(const external::worker_address&, const external::observe_order&, std::function<void(external::observe_reply)>) override
    {
        ++orders;
    }

    unsigned orders = 0;
};

//! A leader's channel to its relays with the receiver and the timer that a coordinator connects to it.
class relayed_channel {
public:
    relayed_channel()
        : receiver(loop, "tcp://127.0.0.1:*", [this](zmq::message_t raw) { onMessage(raw); })
        , counters(registry)
        , control(
              loop, direct, receiver.endpoint(), [this](const auto&, const auto& envelope) { collect(envelope); }, counters, 1)
        , tickTimer(loop, [this] { onTick(); })
    {
        control.updateRelay({ relayName, "dc", 1 }, utils::nowIncludingSuspend());
        tickTimer.startRepeating(tickInterval);
    }

    //! Sends an order to each of \a count workers.
    void observeWorkers(unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            control.observe({ "worker-" + std::to_string(number), "10.0.0.1:1" }, {}, [this](const external::observe_reply& reply) {
                ++outcomes[reply.outcome];
            });
        }
    }

    //! Runs the loop and blocks it while the relay sends its replies.
    void runWhileRelayReplies()
    {
        transport::timer blocker(loop, [this] { blockWhileRelayReplies(); });
        blocker.startOnce(tickInterval / 2);
        runLoop(loop, settlingTime);
        // The end of the run was due while the loop was blocked.
        runLoop(loop, settlingTime);
    }

    transport::event_loop loop;
    counting_direct_control direct;
    transport::message_receiver receiver;
    utils::metric_registry registry;
    relayed_order_counters counters;
    relayed_run_control control;
    transport::timer tickTimer;
    std::vector<std::uint64_t> tickets;
    std::map<external::order_outcome, unsigned> outcomes;

private:
    //! Sends one message for each order from another thread.
    void blockWhileRelayReplies()
    {
        std::thread relay([this] {
            transport::message_sender sender(receiver.endpoint(), 0);
            for (const auto ticket : tickets) {
                protocol::CoordinatorEnvelope envelope;
                auto& replies = *envelope.mutable_run_replies();
                replies.set_endpoint(relayName);
                auto& reply = *replies.add_replies();
                reply.set_ticket(ticket);
                tasks::writeReply(external::observe_reply { external::order_outcome::Accepted, {} }, reply);
                const auto bytes = envelope.SerializeAsString();
                sender.send(zmq::message_t(bytes.data(), bytes.size()));
            }
            std::this_thread::sleep_for(blockedTime);
        });
        relay.join();
    }

    void onMessage(const zmq::message_t& raw)
    {
        protocol::CoordinatorEnvelope envelope;
        ASSERT_TRUE(envelope.ParseFromArray(raw.data(), static_cast<int>(raw.size())));
        control.handleReplies(envelope.run_replies(), utils::nowIncludingSuspend());
    }

    void collect(const protocol::CoordinatorEnvelope& envelope)
    {
        for (const auto& order : envelope.orders().orders())
            tickets.push_back(order.ticket());
    }

    void onTick()
    {
        control.expireOrders(receiver.emptiedAt());
        receiver.receiveMessages();
    }
};

} // namespace

class blocked_leader : public testing::TestWithParam<unsigned> {
};

// 1,000 replies are more than the receiver reads in one turn.
INSTANTIATE_TEST_SUITE_P(Replies, blocked_leader, testing::Values(1U, 1000U), [](const auto& info) { return std::to_string(info.param); });

// Guards against orders that were given up although their replies had arrived while the leader's loop was busy. Seen on
// pregon-unido-large, where each worker then got further orders through another relay.
TEST_P(blocked_leader, GivesUpOrdersWhoseRepliesHaveArrived)
{
    relayed_channel channel;
    const auto workers = GetParam();
    channel.observeWorkers(workers);
    channel.runWhileRelayReplies();
    EXPECT_EQ(channel.tickets.size(), workers);
    EXPECT_EQ(channel.outcomes, (std::map<external::order_outcome, unsigned> { { external::order_outcome::Accepted, workers } }));
    EXPECT_EQ(channel.counters.unansweredOrders.value(), 0U);
    EXPECT_EQ(channel.counters.lateReplies.value(), 0U);
}

TEST_P(blocked_leader, DropsARelayWhoseMessagesHaveArrived)
{
    relayed_channel channel;
    channel.observeWorkers(GetParam());
    channel.runWhileRelayReplies();
    channel.tickets.clear();
    channel.observeWorkers(1);
    runLoop(channel.loop, tickInterval);
    EXPECT_EQ(channel.tickets.size(), 1U);
    EXPECT_EQ(channel.direct.orders, 0U);
}

TEST(RelayedOrders, WithoutRepliesEndAndLeaveTheRelay)
{
    relayed_channel channel;
    channel.observeWorkers(3);
    runLoop(channel.loop, blockedTime);
    EXPECT_EQ(channel.outcomes, (std::map<external::order_outcome, unsigned> { { external::order_outcome::NoAnswer, 3 } }));
    EXPECT_EQ(channel.counters.unansweredOrders.value(), 3U);
    channel.observeWorkers(1);
    EXPECT_EQ(channel.direct.orders, 1U);
}

struct late_reply_case {
    const char* name;
    int readUntil;
    unsigned lateReplies;
};

class late_reply : public testing::TestWithParam<late_reply_case> {
};

INSTANTIATE_TEST_SUITE_P(Times, late_reply, testing::Values(late_reply_case { "withinItsWindow", 5000, 1 }, late_reply_case { "afterItsWindow", 9000, 0 }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(late_reply, IsDeliveredWithinItsWindow)
{
    relayed_channel channel;
    const auto now = utils::nowIncludingSuspend();
    channel.observeWorkers(2);
    runLoop(channel.loop, tickInterval);
    channel.control.expireOrders(now + milliseconds(1000));
    EXPECT_EQ(channel.counters.unansweredOrders.value(), 2U);
    channel.control.expireOrders(now + milliseconds(GetParam().readUntil));
    EXPECT_EQ(channel.counters.unansweredOrders.value(), 2U);
    ASSERT_EQ(channel.tickets.size(), 2U);
    protocol::RunReplies replies;
    auto& reply = *replies.add_replies();
    reply.set_ticket(channel.tickets.front());
    tasks::writeReply(external::observe_reply { external::order_outcome::Accepted, {} }, reply);
    channel.control.handleReplies(replies, now);
    EXPECT_EQ(channel.counters.lateReplies.value(), GetParam().lateReplies);
    EXPECT_EQ(channel.outcomes[external::order_outcome::Accepted], GetParam().lateReplies);
}

struct forwarded_call_case {
    const char* name;
    int readUntil;
    int callTimeout;
    bool isOverdue;
    int timeLeft;
};

class forwarded_call : public testing::TestWithParam<forwarded_call_case> {
};

INSTANTIATE_TEST_SUITE_P(Timeouts, forwarded_call,
    testing::Values(forwarded_call_case { "nothingWasRead", -100, 3000, false, 0 },
        forwarded_call_case { "readUntilTheLimit", 700, 3000, false, 0 },
        forwarded_call_case { "readBeyondTheLimit", 701, 3000, true, 2300 },
        forwarded_call_case { "halfTheCallersTime", 501, 1000, true, 500 }),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(forwarded_call, IsOverdueWhenAllThatArrivedBeforeItsLimitWasRead)
{
    forwarded_calls calls;
    job_call call;
    call.ticket = 7;
    call.timeout = milliseconds(GetParam().callTimeout);
    const auto sent = calls.add(call, at(0));
    const auto overdue = calls.takeOverdue(at(GetParam().readUntil));
    EXPECT_EQ(overdue.size(), GetParam().isOverdue ? 1U : 0U);
    for (const auto& late : overdue)
        EXPECT_EQ(late.timeout, milliseconds(GetParam().timeLeft));
    const auto replied = calls.take(sent.ticket);
    EXPECT_EQ(replied.has_value(), !GetParam().isOverdue);
    EXPECT_EQ(replied.value_or(call).ticket, call.ticket);
}

// Guards against a leader process that takes a relay's late reply to its predecessor for the reply to an order of its own.
TEST(RelayedOrders, ReplyToAFormerProcessIsIgnored)
{
    constexpr std::uint64_t firstTickets[] { 1000, 2000 };
    transport::event_loop loop;
    counting_direct_control direct;
    utils::metric_registry registry;
    relayed_order_counters counters(registry);
    const auto now = utils::nowIncludingSuspend();
    std::vector<protocol::RunReplies> replies;
    unsigned answers = 0;
    for (const auto firstTicket : firstTickets) {
        std::uint64_t ticket = 0;
        relayed_run_control control(
            loop, direct, "tcp://leader", [&](const auto&, const auto& envelope) { ticket = envelope.orders().orders(0).ticket(); }, counters, firstTicket);
        control.updateRelay({ relayName, "dc", 1 }, now);
        control.stop({ "worker", "10.0.0.1:1" }, { { "job", 0, 0, 0 }, 1 }, 1, [&](const external::order_reply&) { ++answers; });
        runLoop(loop, milliseconds(20));
        ASSERT_NE(ticket, 0u);
        for (const auto& former : replies)
            control.handleReplies(former, now);
        EXPECT_EQ(answers, 0u);
        protocol::RunReplies reply;
        reply.set_endpoint(relayName);
        reply.add_replies()->set_ticket(ticket);
        replies.push_back(reply);
    }
}

// Guards against a daemon that takes the leader's late reply to its predecessor's call for the reply to a call of its own.
TEST(ForwardedCalls, ReplyToAFormerProcessIsIgnored)
{
    forwarded_calls former;
    forwarded_calls present;
    former.setFirstTicket(1000);
    present.setFirstTicket(2000);
    const auto formerTicket = former.add({}, at(0)).ticket;
    const auto ticket = present.add({}, at(0)).ticket;
    EXPECT_FALSE(present.take(formerTicket));
    EXPECT_TRUE(present.take(ticket));
}
