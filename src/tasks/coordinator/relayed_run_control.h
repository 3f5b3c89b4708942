#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "external/run_control.h"
#include "jobs/relay_choice.h"
#include "protocol/jobs.pb.h"
#include "tasks/coordinator/lateness_report.h"
#include "tasks/coordinator/order_age.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

using send_function = std::function<void(const std::string& endpoint, const protocol::CoordinatorEnvelope& envelope)>;

//! \brief Sends the leader's orders to workers through the other daemons, which spend the processor time of the calls.
//!
//! A relay only executes orders; every decision, lease and fencing token comes from the leader. When a relay goes silent,
//! the leader stops using it at once and treats its open orders as unanswered. Without relays the leader calls the
//! workers itself.
//!
//! A start whose decision is too old when it would leave is reported as Expired; see isTooOldToSend().
class relayed_run_control final : public external::run_control {
public:
    //! Tickets count from \a firstTicket, which must be higher than the tickets of former processes with the same endpoint: a relay
    //! may still reply to their orders.
    relayed_run_control(transport::event_loop& loop, external::run_control& directControl, std::string replyEndpoint, send_function send, relayed_order_counters& counters, std::uint64_t firstTicket);
    ~relayed_run_control() override;

    //! \brief Sets the term of the orders that follow. It is the lowest of their fencing tokens.
    void setTerm(std::uint64_t term);
    //! \brief Records that a daemon announced itself as a relay, with its clock at that time in microseconds; 0 if it didn't tell.
    void updateRelay(const jobs::relay_daemon& relay, utils::time_point now, std::int64_t helloMicroseconds = 0);
    //! \brief Completes the orders for which a relay sent replies.
    void handleReplies(const protocol::RunReplies& replies, utils::time_point now);
    //! \brief Sets the data centre of a worker, which the choice of its relay depends on.
    void setWorkerDataCentre(const std::string& worker, const std::string& dataCentre);
    //! \brief Forgets all open orders and relays without calling back.
    void reset();
    //! \brief Reports overdue orders as unanswered and drops silent relays; must be called regularly.
    //!
    //! \a readUntil is the time up to which all messages that had arrived were handled.
    void expireOrders(utils::time_point readUntil);

    void start(const external::worker_address& worker, const external::run_order& order, std::function<void(external::order_reply)> callback) override;
    void stop(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence, std::function<void(external::order_reply)> callback) override;
    void pace(const external::worker_address& worker, const external::run_id& run, int percent, std::uint64_t fence, std::function<void(external::order_reply)> callback) override;
    void observe(const external::worker_address& worker, const external::observe_order& order, std::function<void(external::observe_reply)> callback) override;

private:
    struct known_relay {
        jobs::relay_daemon relay;
        utils::time_point lastHeardAt;
        relay_hello reference;
    };
    struct relayed_worker {
        std::string dataCentre;
        //! Endpoint of the worker's relay, kept as long as that relay is known; empty before the first order.
        std::string relayEndpoint;
        unsigned consecutiveUnansweredOrders = 0;
        bool needsOtherRelay = false;
    };
    struct open_order {
        std::string relayEndpoint;
        utils::time_point deadline;
        std::function<void(const protocol::RunReply&, bool isLate)> complete;
        std::string worker;
        //! Time of the decision of a start; the epoch for other orders.
        utils::time_point decidedAt;
        //! The order was reported as unanswered. A late reply still delivers the ended runs that the worker has listed.
        bool isReportedUnanswered = false;
    };

    //! \brief The relays among which the workers of a data centre are distributed.
    const std::vector<jobs::relay_daemon>& relaysOf(const std::string& dataCentre);
    //! \brief Endpoint of the relay for a worker; empty without relays.
    std::string relayForWorker(const std::string& id);
    //! \brief The same for an order with the given fencing token; empty if that relay can't send it.
    std::string relayForOrder(const std::string& worker, std::uint64_t fence);
    //! \brief What a fencing token exceeds the term by.
    std::uint64_t raiseOf(std::uint64_t fence) const;
    void writeFence(std::uint64_t fence, protocol::RunOrder& message) const;
    void enqueue(const std::string& relayEndpoint, protocol::RunOrder order, utils::milliseconds wait, std::function<void(const protocol::RunReply&, bool isLate)> complete, utils::time_point decidedAt = {});
    void startFlushTimer();
    //! \brief Removes the starts that must no longer be sent from a message and reports them as Expired.
    void dropStarts(const std::string& relayEndpoint, protocol::RunOrders& orders, utils::time_point now);
    //! \brief Reports an order as unanswered; after several in a row another relay is chosen for the worker.
    void reportUnanswered(std::uint64_t ticket, open_order& order);
    static void countReply(relayed_worker& worker, external::order_outcome outcome);
    void setDeadline(std::uint64_t ticket, open_order& order, utils::time_point deadline);
    void listRelays();
    void flush(utils::time_point now);
    void dropRelay(const std::string& relayEndpoint);

    external::run_control& m_directControl;
    std::string m_replyEndpoint;
    send_function m_send;
    relayed_order_counters& m_counters;
    transport::timer m_flushTimer;
    std::map<std::string, known_relay> m_relays;
    //! The same relays, for the choice of one.
    std::vector<jobs::relay_daemon> m_relayList;
    std::map<std::string, std::vector<jobs::relay_daemon>> m_selectedRelays;
    std::map<std::string, relayed_worker> m_workers;
    //! Number of workers in each data centre.
    std::map<std::string, std::size_t> m_workerCounts;
    std::map<std::uint64_t, open_order> m_openOrders;
    //! Deadlines of the open orders with their tickets.
    std::set<std::pair<utils::time_point, std::uint64_t>> m_deadlines;
    std::map<std::string, protocol::RunOrders> m_queuedOrders;
    //! Callbacks of the starts that were too old for a call without a relay.
    std::vector<std::function<void(external::order_reply)>> m_droppedStarts;
    std::uint64_t m_nextTicket;
    //! nullopt before the first term.
    std::optional<std::uint64_t> m_term;
};

//! \brief Executes a leader's orders on a relay daemon and sends the replies back in batches.
//!
//! Orders of a term lower than the highest one known are refused as fenced, which ends the former leader's term. Starts that are too old are
//! refused as Expired; see isTooOldToStart().
class order_relay {
public:
    order_relay(transport::event_loop& loop, external::run_control& directControl, std::string ownEndpoint, send_function send);
    ~order_relay();
    order_relay(const order_relay&) = delete;
    order_relay& operator=(const order_relay&) = delete;

    //! \brief Records a term that this daemon has learned of.
    void noteTerm(std::uint64_t term);
    void execute(const protocol::RunOrders& orders, utils::time_point now);

private:
    void execute(const protocol::RunOrder& order, const std::string& replyEndpoint);
    void refuse(const protocol::RunOrder& order, const std::string& replyEndpoint, external::order_outcome outcome);
    void logFormerTerm(const protocol::RunOrder& order, const std::string& replyEndpoint);
    void logOldStarts(const protocol::RunOrders& orders, utils::time_point now);
    void enqueue(const std::string& replyEndpoint, protocol::RunReply reply);
    void flush();

    external::run_control& m_directControl;
    std::string m_ownEndpoint;
    send_function m_send;
    transport::timer m_flushTimer;
    std::map<std::string, protocol::RunReplies> m_queuedReplies;
    std::uint64_t m_highestTerm = 0;
    //! Term of the last refused order.
    std::uint64_t m_refusedTerm = 0;
    //! Starts refused as too old since the last log line of them.
    unsigned m_unloggedOldStarts = 0;
    utils::time_point m_oldStartsLoggedAt;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
