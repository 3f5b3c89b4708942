#include "tasks/coordinator/carried_runs.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "tasks/coordinator/run_codec.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // Orders of one decision and answers that arrive together travel in one message.
    constexpr utils::milliseconds orderGatherTime { 0 };
    constexpr utils::milliseconds replyGatherTime { 3 };
    // A carrier gives its own call half a second, and the way there and back is 25 ms between regions.
    constexpr utils::milliseconds answerTime { 650 };
    // An answer that comes later than that may still tell of ends that the worker has listed.
    constexpr utils::milliseconds lateAnswerTime { 6000 };
    // Orders in a row without an answer after which another daemon is asked to reach the worker.
    constexpr unsigned missesOfCarrier = 2;
    // Carriers speak up twice a second.
    constexpr utils::milliseconds carrierSilence { 1300 };

    protocol::RunOrder orderFor(const external::worker_address& worker, protocol::RunOrder::Kind kind)
    {
        protocol::RunOrder message;
        message.set_kind(kind);
        message.set_worker(worker.id);
        message.set_worker_endpoint(worker.endpoint);
        return message;
    }

} // namespace

carried_runs::carried_runs(transport::event_loop& loop, external::run_control& direct, std::string replyEndpoint, send_function send)
    : m_direct(direct)
    , m_replyEndpoint(std::move(replyEndpoint))
    , m_send(std::move(send))
    , m_flush(loop, [this] { flush(); })
{
}

carried_runs::~carried_runs() = default;

void carried_runs::heard(const jobs::relay_daemon& relay_daemon, utils::time_point now)
{
    if (!m_carriers.contains(relay_daemon.endpoint))
        utils::logEvent(utils::events::carrierFound, { { "carrier", relay_daemon.endpoint }, { "data_centre", relay_daemon.dataCentre } });
    m_carriers[relay_daemon.endpoint] = { relay_daemon, now };
}

void carried_runs::setDataCentre(const std::string& worker, const std::string& dataCentre)
{
    m_dataCentres[worker] = dataCentre;
}

void carried_runs::clear()
{
    m_flush.stop();
    m_open.clear();
    m_waiting.clear();
    m_assigned.clear();
    m_misses.clear();
    m_carriers.clear();
}

std::string carried_runs::carrierOf(const std::string& worker)
{
    std::string& assigned = m_assigned[worker];
    if (m_carriers.contains(assigned))
        return assigned;
    std::vector<jobs::relay_daemon> carriers;
    for (const auto& [endpoint, known] : m_carriers)
        carriers.push_back(known.about);
    // After misses the salt leads to another carrier, or to the same where there is only one.
    const auto misses = m_misses.find(worker);
    const auto salted = misses == m_misses.end() ? worker : absl::StrCat(worker, "#", misses->second);
    const auto chosen = jobs::chooseRelay(carriers, salted, m_dataCentres[worker]);
    assigned = chosen ? chosen->endpoint : std::string();
    return assigned;
}

void carried_runs::queue(const std::string& relay_daemon, protocol::RunOrder order, utils::milliseconds wait, std::function<void(const protocol::RunReply&, bool isLate)> settle)
{
    order.set_ticket(m_nextTicket++);
    m_open[order.ticket()] = { relay_daemon, utils::nowIncludingSuspend() + answerTime + wait, std::move(settle), order.worker(), false };
    *m_waiting[relay_daemon].add_orders() = std::move(order);
    if (!m_flush.isActive())
        m_flush.startOnce(orderGatherTime);
}

void carried_runs::flush()
{
    for (auto& [relay_daemon, orders] : std::exchange(m_waiting, {})) {
        protocol::CoordinatorEnvelope envelope;
        orders.set_reply_endpoint(m_replyEndpoint);
        *envelope.mutable_orders() = std::move(orders);
        m_send(relay_daemon, envelope);
    }
}

void carried_runs::take(const protocol::RunReplies& replies, utils::time_point now)
{
    if (const auto known = m_carriers.find(replies.endpoint()); known != m_carriers.end())
        known->second.heardAt = now;
    for (const auto& reply : replies.replies()) {
        const auto found = m_open.find(reply.ticket());
        if (found == m_open.end())
            continue;
        const auto order = std::move(found->second);
        m_open.erase(found);
        if (reply.outcome() != static_cast<int>(external::order_outcome::NoAnswer))
            m_misses.erase(order.worker);
        order.settle(reply, order.isExpired);
    }
}

void carried_runs::reportUnanswered(open_order& order)
{
    order.isExpired = true;
    order.deadline += lateAnswerTime;
    if (++m_misses[order.worker] >= missesOfCarrier)
        m_assigned.erase(order.worker);
    protocol::RunReply unanswered;
    unanswered.set_outcome(static_cast<int>(external::order_outcome::NoAnswer));
    const auto settle = order.settle;
    settle(unanswered, false);
}

void carried_runs::leave(const std::string& relay_daemon)
{
    utils::logEvent(utils::events::carrierLost, { { "carrier", relay_daemon }, { "open_orders", std::to_string(m_open.size()) } });
    m_carriers.erase(relay_daemon);
    std::vector<std::uint64_t> lost;
    for (const auto& [ticket, order] : m_open) {
        if (order.relay_daemon == relay_daemon && !order.isExpired)
            lost.push_back(ticket);
    }
    for (const auto ticket : lost) {
        if (const auto found = m_open.find(ticket); found != m_open.end())
            reportUnanswered(found->second);
    }
}

void carried_runs::expire(utils::time_point now)
{
    std::vector<std::string> silent;
    for (const auto& [endpoint, known] : m_carriers) {
        if (now > known.heardAt + carrierSilence)
            silent.push_back(endpoint);
    }
    for (const auto& endpoint : silent)
        leave(endpoint);
    std::erase_if(m_open, [&](const auto& entry) { return entry.second.isExpired && now > entry.second.deadline; });
    std::vector<std::uint64_t> late;
    for (const auto& [ticket, order] : m_open) {
        if (!order.isExpired && now > order.deadline)
            late.push_back(ticket);
    }
    for (const auto ticket : late) {
        if (const auto found = m_open.find(ticket); found != m_open.end())
            reportUnanswered(found->second);
    }
}

void carried_runs::start(const external::worker_address& worker, const external::run_order& order, std::function<void(external::order_reply)> callback)
{
    const auto relay_daemon = carrierOf(worker.id);
    if (relay_daemon.empty()) {
        m_direct.start(worker, order, std::move(callback));
        return;
    }
    auto message = orderFor(worker, protocol::RunOrder::START);
    writeRun(order.run, *message.mutable_run());
    message.set_fence(order.fence);
    message.set_payload(order.payload);
    message.set_checkpoint(order.checkpoint);
    message.set_lease_end(order.leaseEnd);
    queue(relay_daemon, std::move(message), utils::milliseconds(0), [callback = std::move(callback)](const protocol::RunReply& reply, bool) { callback(readOrderReply(reply)); });
}

void carried_runs::stop(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence, std::function<void(external::order_reply)> callback)
{
    const auto relay_daemon = carrierOf(worker.id);
    if (relay_daemon.empty()) {
        m_direct.stop(worker, run, fence, std::move(callback));
        return;
    }
    auto message = orderFor(worker, protocol::RunOrder::STOP);
    writeRun(run, *message.mutable_run());
    message.set_fence(fence);
    queue(relay_daemon, std::move(message), utils::milliseconds(0), [callback = std::move(callback)](const protocol::RunReply& reply, bool) { callback(readOrderReply(reply)); });
}

void carried_runs::pace(const external::worker_address& worker, const external::run_id& run, int percent, std::uint64_t fence, std::function<void(external::order_reply)> callback)
{
    const auto relay_daemon = carrierOf(worker.id);
    if (relay_daemon.empty()) {
        m_direct.pace(worker, run, percent, fence, std::move(callback));
        return;
    }
    auto message = orderFor(worker, protocol::RunOrder::PACE);
    writeRun(run, *message.mutable_run());
    message.set_fence(fence);
    message.set_percent(percent);
    queue(relay_daemon, std::move(message), utils::milliseconds(0), [callback = std::move(callback)](const protocol::RunReply& reply, bool) { callback(readOrderReply(reply)); });
}

void carried_runs::observe(const external::worker_address& worker, const external::observe_order& order, std::function<void(external::observe_reply)> callback)
{
    const auto relay_daemon = carrierOf(worker.id);
    if (relay_daemon.empty()) {
        m_direct.observe(worker, order, std::move(callback));
        return;
    }
    auto message = orderFor(worker, protocol::RunOrder::OBSERVE);
    message.set_fence(order.fence);
    message.set_acknowledged_end(order.acknowledgedEnd);
    message.set_lease_end(order.leaseEnd);
    message.set_wait_ms(order.wait.count());
    queue(relay_daemon, std::move(message), order.wait, [callback = std::move(callback)](const protocol::RunReply& reply, bool isLate) {
        auto result = readObserveReply(reply);
        result.isLate = isLate;
        callback(result);
    });
}

order_carrier::order_carrier(transport::event_loop& loop, external::run_control& direct, std::string endpoint, send_function send)
    : m_direct(direct)
    , m_endpoint(std::move(endpoint))
    , m_send(std::move(send))
    , m_flush(loop, [this] { flush(); })
{
}

order_carrier::~order_carrier() = default;

void order_carrier::execute(const protocol::RunOrders& orders)
{
    for (const auto& order : orders.orders())
        execute(order, orders.reply_endpoint());
}

void order_carrier::execute(const protocol::RunOrder& order, const std::string& replyEndpoint)
{
    const external::worker_address worker { order.worker(), order.worker_endpoint() };
    const auto answer = [this, replyEndpoint, ticket = order.ticket(), alive = std::weak_ptr(m_alive)](const auto& result) {
        if (alive.expired())
            return;
        protocol::RunReply reply;
        reply.set_ticket(ticket);
        writeReply(result, reply);
        queue(replyEndpoint, std::move(reply));
    };
    switch (order.kind()) {
    case protocol::RunOrder::START:
        m_direct.start(worker, { readRun(order.run()), order.payload(), order.checkpoint(), order.lease_end(), order.fence() }, answer);
        return;
    case protocol::RunOrder::STOP:
        m_direct.stop(worker, readRun(order.run()), order.fence(), answer);
        return;
    case protocol::RunOrder::PACE:
        m_direct.pace(worker, readRun(order.run()), order.percent(), order.fence(), answer);
        return;
    case protocol::RunOrder::OBSERVE:
        m_direct.observe(worker, { order.acknowledged_end(), order.fence(), order.lease_end(), utils::milliseconds(order.wait_ms()) }, answer);
        return;
    default:
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "unknown order" }, { "peer", replyEndpoint } });
    }
}

void order_carrier::queue(const std::string& replyEndpoint, protocol::RunReply reply)
{
    *m_waiting[replyEndpoint].add_replies() = std::move(reply);
    if (!m_flush.isActive())
        m_flush.startOnce(replyGatherTime);
}

void order_carrier::flush()
{
    for (auto& [endpoint, replies] : std::exchange(m_waiting, {})) {
        protocol::CoordinatorEnvelope envelope;
        replies.set_endpoint(m_endpoint);
        *envelope.mutable_run_replies() = std::move(replies);
        m_send(endpoint, envelope);
    }
}

} // namespace camphorsaddle::tasks
