#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "external/run_control.h"
#include "jobs/carrier_choice.h"
#include "protocol/jobs.pb.h"
#include "transport/event_loop.h"

namespace camphorsaddle::tasks {

using send_function = std::function<void(const std::string& endpoint, const protocol::CoordinatorEnvelope& envelope)>;

//! \brief The leader's orders to workers, carried by the other daemons, which pay for the calls.
//!
//! A carrier only executes; every decision, lease and fencing token is the leader's. A carrier that falls silent is
//! left at once, and its open orders count as unanswered. Without carriers the leader gives its orders itself.
class carried_runs final : public external::run_control {
public:
    carried_runs(transport::event_loop& loop, external::run_control& direct, std::string replyEndpoint, send_function send);
    ~carried_runs() override;

    //! \brief A daemon told that it carries orders.
    void heard(const jobs::relay_daemon& relay_daemon, utils::time_point now);
    void take(const protocol::RunReplies& replies, utils::time_point now);
    //! \brief Data centre of a worker, for the choice of its carrier.
    void setDataCentre(const std::string& worker, const std::string& dataCentre);
    //! \brief Forgets all open orders without calling back.
    void clear();
    //! \brief Ends orders without an answer; to be called regularly.
    void expire(utils::time_point now);

    void start(const external::worker_address& worker, const external::run_order& order, std::function<void(external::order_reply)> callback) override;
    void stop(const external::worker_address& worker, const external::run_id& run, std::uint64_t fence, std::function<void(external::order_reply)> callback) override;
    void pace(const external::worker_address& worker, const external::run_id& run, int percent, std::uint64_t fence, std::function<void(external::order_reply)> callback) override;
    void observe(const external::worker_address& worker, const external::observe_order& order, std::function<void(external::observe_reply)> callback) override;

private:
    struct known_carrier {
        jobs::relay_daemon about;
        utils::time_point heardAt;
    };
    struct open_order {
        std::string relay_daemon;
        utils::time_point deadline;
        std::function<void(const protocol::RunReply&, bool isLate)> settle;
        std::string worker;
        //! It was reported as unanswered; an answer that still comes tells what the worker has listed.
        bool isExpired = false;
    };

    //! Endpoint of the carrier for a worker, empty without carriers.
    std::string carrierOf(const std::string& worker);
    void queue(const std::string& relay_daemon, protocol::RunOrder order, utils::milliseconds wait, std::function<void(const protocol::RunReply&, bool isLate)> settle);
    //! \brief Reports an order as unanswered and leaves its worker to another carrier after a series of them.
    void reportUnanswered(open_order& order);
    void flush();
    void leave(const std::string& relay_daemon);

    external::run_control& m_direct;
    std::string m_replyEndpoint;
    send_function m_send;
    transport::timer m_flush;
    std::map<std::string, known_carrier> m_carriers;
    std::map<std::string, std::string> m_dataCentres;
    //! Carrier of each worker, kept while it lives.
    std::map<std::string, std::string> m_assigned;
    //! Orders in a row that a worker left unanswered.
    std::map<std::string, unsigned> m_misses;
    std::map<std::uint64_t, open_order> m_open;
    std::map<std::string, protocol::RunOrders> m_waiting;
    std::uint64_t m_nextTicket = 1;
};

//! \brief A daemon's part as carrier: executes orders and sends the answers back in groups.
class order_carrier {
public:
    order_carrier(transport::event_loop& loop, external::run_control& direct, std::string endpoint, send_function send);
    ~order_carrier();
    order_carrier(const order_carrier&) = delete;
    order_carrier& operator=(const order_carrier&) = delete;

    void execute(const protocol::RunOrders& orders);

private:
    void execute(const protocol::RunOrder& order, const std::string& replyEndpoint);
    void queue(const std::string& replyEndpoint, protocol::RunReply reply);
    void flush();

    external::run_control& m_direct;
    std::string m_endpoint;
    send_function m_send;
    transport::timer m_flush;
    std::map<std::string, protocol::RunReplies> m_waiting;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
