#include "tasks/coordinator/relayed_run_control.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tasks/coordinator/run_codec.h"
#include "utils/events.h"

namespace camphorsaddle::tasks {

namespace {

    // Orders of one scheduling decision are sent in one message, and so are replies that arrive together.
    constexpr utils::milliseconds orderBatchingDelay { 0 };
    constexpr utils::milliseconds replyBatchingDelay { 3 };
    // A relay's call to the worker times out after half a second, and a round trip between regions takes 25 ms.
    constexpr utils::milliseconds relayReplyTimeout { 650 };
    // A reply after the timeout may still report ended runs that the worker has listed.
    constexpr utils::milliseconds lateReplyWindow { 6000 };
    // A relay that was suspended reads many old messages in a row.
    constexpr utils::milliseconds oldStartsLogInterval { 1000 };
    // After this many consecutive unanswered orders another relay is chosen for the worker.
    constexpr unsigned maximumUnansweredOrders = 2;
    // Relays send a hello twice a second.
    constexpr utils::milliseconds relaySilenceTimeout { 1300 };

    protocol::RunOrder makeOrder(const external::worker_address& worker, protocol::RunOrder::Kind kind)
    {
        protocol::RunOrder message;
        message.set_kind(kind);
        message.set_worker(worker.id);
        message.set_worker_endpoint(worker.endpoint);
        return message;
    }

} // namespace

relayed_run_control::relayed_run_control(transport::event_loop& loop, external::run_control& directControl, std::string replyEndpoint, send_function send, relayed_order_counters& counters, std::uint64_t firstTicket)
    : m_directControl(directControl)
    , m_replyEndpoint(std::move(replyEndpoint))
    , m_send(std::move(send))
    , m_counters(counters)
    , m_flushTimer(loop, [this] { flush(utils::nowIncludingSuspend()); })
    , m_nextTicket(firstTicket)
{
}

relayed_run_control::~relayed_run_control() = default;

void relayed_run_control::updateRelay(const jobs::relay_daemon& relay, utils::time_point now, std::int64_t helloMicroseconds)
{
    const auto known = m_relays.find(relay.endpoint);
    const bool isKnown = known != m_relays.end();
    if (!isKnown)
        utils::logEvent(utils::events::carrierFound, { { "carrier", relay.endpoint }, { "data_centre", relay.dataCentre } });
    const bool isChanged = !isKnown || known->second.relay != relay;
    const auto reference = chooseReference(isKnown ? known->second.reference : relay_hello(), { helloMicroseconds, now });
    m_relays[relay.endpoint] = { relay, now, reference };
    if (isChanged)
        listRelays();
}

void relayed_run_control::listRelays()
{
    m_relayList.clear();
    m_selectedRelays.clear();
    for (const auto& [endpoint, known] : m_relays)
        m_relayList.push_back(known.relay);
}

void relayed_run_control::setWorkerDataCentre(const std::string& worker, const std::string& dataCentre)
{
    auto& known = m_workers.try_emplace(worker).first->second;
    if (known.dataCentre == dataCentre)
        return;
    if (!known.dataCentre.empty())
        --m_workerCounts[known.dataCentre];
    known.dataCentre = dataCentre;
    ++m_workerCounts[dataCentre];
    m_selectedRelays.clear();
}

void relayed_run_control::reset()
{
    m_flushTimer.stop();
    m_openOrders.clear();
    m_deadlines.clear();
    m_queuedOrders.clear();
    m_droppedStarts.clear();
    m_relays.clear();
    listRelays();
    for (auto& [id, worker] : m_workers)
        worker = { worker.dataCentre, {}, 0, false };
}

const std::vector<jobs::relay_daemon>& relayed_run_control::relaysOf(const std::string& dataCentre)
{
    auto& selected = m_selectedRelays[dataCentre];
    if (selected.empty())
        selected = jobs::selectRelays(m_relayList, m_workerCounts[dataCentre], dataCentre);
    return selected;
}

std::string relayed_run_control::relayForWorker(const std::string& id)
{
    auto& worker = m_workers[id];
    if (!worker.needsOtherRelay && m_relays.contains(worker.relayEndpoint))
        return worker.relayEndpoint;
    // The number of unanswered orders changes the hash, so that another relay is chosen if there is one.
    const auto hashKey = worker.consecutiveUnansweredOrders == 0 ? id : absl::StrCat(id, "#", worker.consecutiveUnansweredOrders);
    const auto& relays = worker.consecutiveUnansweredOrders == 0 ? relaysOf(worker.dataCentre) : m_relayList;
    const auto chosenRelay = jobs::chooseRelay(relays, hashKey, worker.dataCentre);
    const auto previousEndpoint = std::exchange(worker.relayEndpoint, chosenRelay ? chosenRelay->endpoint : std::string());
    worker.needsOtherRelay = false;
    if (!previousEndpoint.empty() && previousEndpoint != worker.relayEndpoint)
        m_counters.relayChanges.add();
    return worker.relayEndpoint;
}

// An older daemon would send the order with the term as its token, which the worker rejects or, after a restart, takes for an order of before.
std::string relayed_run_control::relayForOrder(const std::string& worker, std::uint64_t fence)
{
    const auto endpoint = relayForWorker(worker);
    const auto known = m_relays.find(endpoint);
    const bool canRelay = known != m_relays.end() && (raiseOf(fence) == 0 || known->second.relay.addsFenceRaise);
    return canRelay ? endpoint : std::string();
}

void relayed_run_control::setTerm(std::uint64_t term)
{
    m_term = term;
}

std::uint64_t relayed_run_control::raiseOf(std::uint64_t fence) const
{
    return m_term && fence > *m_term ? fence - *m_term : 0;
}

void relayed_run_control::writeFence(std::uint64_t fence, protocol::RunOrder& message) const
{
    const auto raise = raiseOf(fence);
    message.set_fence(fence - raise);
    message.set_fence_raise(raise);
}

void relayed_run_control::enqueue(const std::string& relayEndpoint, protocol::RunOrder order, utils::milliseconds wait, std::function<void(const protocol::RunReply&, bool isLate)> complete, utils::time_point decidedAt)
{
    m_counters.orders.add();
    order.set_ticket(m_nextTicket++);
    auto& opened = m_openOrders[order.ticket()];
    opened = { relayEndpoint, {}, std::move(complete), order.worker(), decidedAt, false };
    setDeadline(order.ticket(), opened, utils::nowIncludingSuspend() + relayReplyTimeout + wait);
    *m_queuedOrders[relayEndpoint].add_orders() = std::move(order);
    startFlushTimer();
}

void relayed_run_control::startFlushTimer()
{
    if (!m_flushTimer.isActive())
        m_flushTimer.startOnce(orderBatchingDelay);
}

void relayed_run_control::dropStarts(const std::string& relayEndpoint, protocol::RunOrders& orders, utils::time_point now)
{
    // The relay couldn't tell how old a start is without a reference to one of its hellos, and the orders of a dropped relay have been reported
    // as unanswered.
    const bool isRelayKnown = m_relays.contains(relayEndpoint);
    std::vector<open_order> dropped;
    const auto isDropped = [&](const protocol::RunOrder& order) {
        if (order.kind() != protocol::RunOrder::START)
            return false;
        const auto found = m_openOrders.find(order.ticket());
        if (found == m_openOrders.end())
            return true;
        if (isRelayKnown && !isTooOldToSend(found->second.decidedAt, now))
            return false;
        m_deadlines.erase({ found->second.deadline, order.ticket() });
        dropped.push_back(std::move(found->second));
        m_openOrders.erase(found);
        return true;
    };
    auto& list = *orders.mutable_orders();
    list.erase(std::remove_if(list.begin(), list.end(), isDropped), list.end());
    if (dropped.empty())
        return;
    utils::logEvent(utils::events::peerMessageDropped, { { "reason", isRelayKnown ? "starts are too old to be sent" : "the relay of the starts is silent" }, { "peer", relayEndpoint }, { "starts", std::to_string(dropped.size()) } });
    protocol::RunReply expired;
    expired.set_outcome(static_cast<int>(external::order_outcome::Expired));
    for (const auto& order : dropped)
        order.complete(expired, order.isReportedUnanswered);
}

void relayed_run_control::flush(utils::time_point now)
{
    for (const auto& callback : std::exchange(m_droppedStarts, {}))
        callback({ external::order_outcome::Expired, 0 });
    for (auto& [relayEndpoint, orders] : std::exchange(m_queuedOrders, {})) {
        dropStarts(relayEndpoint, orders, now);
        if (orders.orders().empty())
            continue;
        protocol::CoordinatorEnvelope envelope;
        orders.set_reply_endpoint(m_replyEndpoint);
        if (const auto relay = m_relays.find(relayEndpoint); relay != m_relays.end()) {
            const auto sendTime = sendTimeOf(relay->second.reference, now);
            orders.set_hello_us(sendTime.helloMicroseconds);
            orders.set_since_hello_us(sendTime.sinceHelloMicroseconds);
        }
        *envelope.mutable_orders() = std::move(orders);
        m_send(relayEndpoint, envelope);
    }
}

void relayed_run_control::handleReplies(const protocol::RunReplies& replies, utils::time_point now)
{
    if (const auto knownRelay = m_relays.find(replies.endpoint()); knownRelay != m_relays.end())
        knownRelay->second.lastHeardAt = now;
    for (const auto& reply : replies.replies()) {
        const auto found = m_openOrders.find(reply.ticket());
        if (found == m_openOrders.end())
            continue;
        const auto order = std::move(found->second);
        m_deadlines.erase({ order.deadline, reply.ticket() });
        m_openOrders.erase(found);
        if (order.isReportedUnanswered)
            m_counters.lateReplies.add();
        countReply(m_workers[order.worker], static_cast<external::order_outcome>(reply.outcome()));
        order.complete(reply, order.isReportedUnanswered);
    }
}

// A relay that refuses starts as too old is as late as one that doesn't answer.
void relayed_run_control::countReply(relayed_worker& worker, external::order_outcome outcome)
{
    if (outcome == external::order_outcome::Expired)
        worker.needsOtherRelay = ++worker.consecutiveUnansweredOrders >= maximumUnansweredOrders;
    else if (outcome != external::order_outcome::NoAnswer)
        worker.consecutiveUnansweredOrders = 0;
}

void relayed_run_control::setDeadline(std::uint64_t ticket, open_order& order, utils::time_point deadline)
{
    m_deadlines.erase({ order.deadline, ticket });
    order.deadline = deadline;
    m_deadlines.emplace(deadline, ticket);
}

void relayed_run_control::reportUnanswered(std::uint64_t ticket, open_order& order)
{
    m_counters.unansweredOrders.add();
    order.isReportedUnanswered = true;
    setDeadline(ticket, order, order.deadline + lateReplyWindow);
    auto& worker = m_workers[order.worker];
    worker.needsOtherRelay = ++worker.consecutiveUnansweredOrders >= maximumUnansweredOrders;
    protocol::RunReply noAnswer;
    noAnswer.set_outcome(static_cast<int>(external::order_outcome::NoAnswer));
    const auto complete = order.complete;
    complete(noAnswer, false);
}

void relayed_run_control::dropRelay(const std::string& relayEndpoint)
{
    utils::logEvent(utils::events::carrierLost, { { "carrier", relayEndpoint }, { "open_orders", std::to_string(m_openOrders.size()) } });
    m_relays.erase(relayEndpoint);
    listRelays();
    std::vector<std::uint64_t> lostOrders;
    for (const auto& [ticket, order] : m_openOrders) {
        if (order.relayEndpoint == relayEndpoint && !order.isReportedUnanswered)
            lostOrders.push_back(ticket);
    }
    for (const auto ticket : lostOrders) {
        if (const auto found = m_openOrders.find(ticket); found != m_openOrders.end())
            reportUnanswered(ticket, found->second);
    }
}

void relayed_run_control::expireOrders(utils::time_point readUntil)
{
    std::vector<std::string> silentRelays;
    for (const auto& [endpoint, knownRelay] : m_relays) {
        if (readUntil > knownRelay.lastHeardAt + relaySilenceTimeout)
            silentRelays.push_back(endpoint);
    }
    for (const auto& endpoint : silentRelays)
        dropRelay(endpoint);
    while (!m_deadlines.empty() && m_deadlines.begin()->first < readUntil) {
        const auto ticket = m_deadlines.begin()->second;
        const auto found = m_openOrders.find(ticket);
        if (!found->second.isReportedUnanswered) {
            reportUnanswered(ticket, found->second);
            continue;
        }
        m_deadlines.erase(m_deadlines.begin());
        m_openOrders.erase(found);
    }
}

void relayed_run_control::start(const external::worker_address& worker, const external::run_order& order, std::function<void(external::order_reply)> callback)
{
    const auto relayEndpoint = relayForOrder(worker.id, order.fence);
    if (relayEndpoint.empty() && isTooOldToSend(order.decidedAt, utils::nowIncludingSuspend())) {
        m_droppedStarts.push_back(std::move(callback));
        startFlushTimer();
        return;
    }
    if (relayEndpoint.empty()) {
        m_directControl.start(worker, order, std::move(callback));
        return;
    }
    auto message = makeOrder(worker, protocol::RunOrder::START);
    writeRun(order.run, *message.mutable_run());
    writeFence(order.fence, message);
    message.set_payload(order.payload);
    message.set_checkpoint(order.checkpoint);
    message.set_lease_end(order.leaseEnd);
    writeTraits(order.traits, *message.mutable_traits());
    enqueue(
        relayEndpoint, std::move(message), utils::milliseconds(0), [callback = std::move(callback), relayEndpoint](const protocol::RunReply& reply, bool) {
            auto result = readOrderReply(reply);
            result.relay = relayEndpoint;
            callback(result);
        },
        order.decidedAt);
}

void relayed_run_control::stop(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence, std::function<void(external::order_reply)> callback)
{
    const auto relayEndpoint = relayForOrder(worker.id, fence);
    if (relayEndpoint.empty()) {
        m_directControl.stop(worker, run, fence, std::move(callback));
        return;
    }
    auto message = makeOrder(worker, protocol::RunOrder::STOP);
    writeRun(run, *message.mutable_run());
    writeFence(fence, message);
    enqueue(relayEndpoint, std::move(message), utils::milliseconds(0), [callback = std::move(callback)](const protocol::RunReply& reply, bool) { callback(readOrderReply(reply)); });
}

void relayed_run_control::pace(const external::worker_address& worker, const external::run_id& run, int percent, std::uint64_t fence, std::function<void(external::order_reply)> callback)
{
    const auto relayEndpoint = relayForOrder(worker.id, fence);
    if (relayEndpoint.empty()) {
        m_directControl.pace(worker, run, percent, fence, std::move(callback));
        return;
    }
    auto message = makeOrder(worker, protocol::RunOrder::PACE);
    writeRun(run, *message.mutable_run());
    writeFence(fence, message);
    message.set_percent(percent);
    enqueue(relayEndpoint, std::move(message), utils::milliseconds(0), [callback = std::move(callback)](const protocol::RunReply& reply, bool) { callback(readOrderReply(reply)); });
}

void relayed_run_control::observe(const external::worker_address& worker, const external::observe_order& order, std::function<void(external::observe_reply)> callback)
{
    const auto relayEndpoint = relayForOrder(worker.id, order.fence);
    if (relayEndpoint.empty()) {
        m_directControl.observe(worker, order, std::move(callback));
        return;
    }
    auto message = makeOrder(worker, protocol::RunOrder::OBSERVE);
    writeFence(order.fence, message);
    message.set_acknowledged_end(order.acknowledgedEnd);
    message.set_lease_end(order.leaseEnd);
    message.set_wait_ms(order.wait.count());
    for (const auto& run : order.described) {
        auto& row = *message.add_described();
        writeRun(run.run, *row.mutable_run());
        writeTraits(run.traits, *row.mutable_traits());
    }
    enqueue(relayEndpoint, std::move(message), order.wait, [callback = std::move(callback)](const protocol::RunReply& reply, bool isLate) {
        auto result = readObserveReply(reply);
        result.isLate = isLate;
        callback(result);
    });
}

order_relay::order_relay(transport::event_loop& loop, external::run_control& directControl, std::string ownEndpoint, send_function send)
    : m_directControl(directControl)
    , m_ownEndpoint(std::move(ownEndpoint))
    , m_send(std::move(send))
    , m_flushTimer(loop, [this] { flush(); })
{
}

order_relay::~order_relay() = default;

void order_relay::noteTerm(std::uint64_t term)
{
    m_highestTerm = std::max(m_highestTerm, term);
}

void order_relay::execute(const protocol::RunOrders& orders, utils::time_point now)
{
    const bool areStartsTooOld = isTooOldToStart({ orders.hello_us(), orders.since_hello_us() }, now);
    if (areStartsTooOld)
        logOldStarts(orders, now);
    for (const auto& order : orders.orders()) {
        noteTerm(order.fence());
        if (order.fence() < m_highestTerm) {
            logFormerTerm(order, orders.reply_endpoint());
            refuse(order, orders.reply_endpoint(), external::order_outcome::Fenced);
        } else if (areStartsTooOld && order.kind() == protocol::RunOrder::START) {
            refuse(order, orders.reply_endpoint(), external::order_outcome::Expired);
        } else {
            execute(order, orders.reply_endpoint());
        }
    }
}

void order_relay::execute(const protocol::RunOrder& order, const std::string& replyEndpoint)
{
    const external::worker_address worker { order.worker(), order.worker_endpoint() };
    const auto sendReply = [this, replyEndpoint, ticket = order.ticket(), alive = std::weak_ptr(m_alive)](const auto& result) {
        if (alive.expired())
            return;
        protocol::RunReply reply;
        reply.set_ticket(ticket);
        writeReply(result, reply);
        enqueue(replyEndpoint, std::move(reply));
    };
    switch (order.kind()) {
    case protocol::RunOrder::START:
        m_directControl.start(worker, { readRun(order.run()), order.payload(), order.checkpoint(), order.lease_end(), readFence(order), readTraits(order.traits()) }, sendReply);
        return;
    case protocol::RunOrder::STOP:
        m_directControl.stop(worker, readRun(order.run()), readFence(order), sendReply);
        return;
    case protocol::RunOrder::PACE:
        m_directControl.pace(worker, readRun(order.run()), order.percent(), readFence(order), sendReply);
        return;
    case protocol::RunOrder::OBSERVE:
        m_directControl.observe(worker, readObserveOrder(order), sendReply);
        return;
    default:
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "unknown order" }, { "peer", replyEndpoint } });
    }
}

void order_relay::logFormerTerm(const protocol::RunOrder& order, const std::string& replyEndpoint)
{
    if (m_refusedTerm != order.fence())
        utils::logEvent(utils::events::peerMessageDropped, { { "reason", "orders of a former leader" }, { "peer", replyEndpoint }, { "term", std::to_string(order.fence()) }, { "highest_term", std::to_string(m_highestTerm) } });
    m_refusedTerm = order.fence();
}

void order_relay::logOldStarts(const protocol::RunOrders& orders, utils::time_point now)
{
    m_unloggedOldStarts += static_cast<unsigned>(std::ranges::count_if(orders.orders(), [](const auto& order) { return order.kind() == protocol::RunOrder::START; }));
    if (m_unloggedOldStarts == 0 || now < m_oldStartsLoggedAt + oldStartsLogInterval)
        return;
    utils::logEvent(utils::events::peerMessageDropped, { { "reason", "starts are too old to be executed" }, { "peer", orders.reply_endpoint() }, { "starts", std::to_string(m_unloggedOldStarts) }, { "hello_us", std::to_string(orders.hello_us()) }, { "since_hello_us", std::to_string(orders.since_hello_us()) } });
    m_unloggedOldStarts = 0;
    m_oldStartsLoggedAt = now;
}

void order_relay::refuse(const protocol::RunOrder& order, const std::string& replyEndpoint, external::order_outcome outcome)
{
    protocol::RunReply reply;
    reply.set_ticket(order.ticket());
    reply.set_outcome(static_cast<int>(outcome));
    enqueue(replyEndpoint, std::move(reply));
}

void order_relay::enqueue(const std::string& replyEndpoint, protocol::RunReply reply)
{
    *m_queuedReplies[replyEndpoint].add_replies() = std::move(reply);
    if (!m_flushTimer.isActive())
        m_flushTimer.startOnce(replyBatchingDelay);
}

void order_relay::flush()
{
    for (auto& [endpoint, replies] : std::exchange(m_queuedReplies, {})) {
        protocol::CoordinatorEnvelope envelope;
        replies.set_endpoint(m_ownEndpoint);
        *envelope.mutable_run_replies() = std::move(replies);
        m_send(endpoint, envelope);
    }
}

} // namespace camphorsaddle::tasks
