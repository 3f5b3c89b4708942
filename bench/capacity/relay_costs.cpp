#include "absl/strings/str_cat.h"
#include "bench/capacity/cost_measurement.h"
#include "tasks/coordinator/relayed_run_control.h"

namespace camphorsaddle::bench {

namespace {

    // Sizes of the largest deployment.
    constexpr int workers = 1100;
    constexpr int relays = 146;
    constexpr int dataCentres = 6;
    // Open orders of a leader whose orders all got no answer for the time in which a late one is accepted.
    constexpr unsigned openOrders = 22'000;
    constexpr int expiriesPerSecond = 20;

    class silent_control final : public external::run_control {
    public:
        void start(const external::worker_address&, const external::run_order&, std::function<void(external::order_reply)>) override { }
        void stop(const external::worker_address&, const external::run_id&, std::uint64_t, std::function<void(external::order_reply)>) override { }
        void pace(const external::worker_address&, const external::run_id&, int, std::uint64_t, std::function<void(external::order_reply)>) override { }
        void observe(const external::worker_address&, const external::observe_order&, std::function<void(external::observe_reply)>) override { }
    };

    template <typename Action>
    double costOf(const Action& action)
    {
        const double before = threadProcessorMicroseconds();
        action();
        return threadProcessorMicroseconds() - before;
    }

} // namespace

std::vector<cost_measurement> measureRelayCosts()
{
    transport::event_loop loop;
    silent_control direct;
    utils::metric_registry registry;
    tasks::relayed_order_counters counters(registry);
    tasks::relayed_run_control control(
        loop, direct, "tcp://leader", [](const auto&, const auto&) {}, counters, 1);
    const auto now = utils::nowIncludingSuspend();
    for (int number = 0; number < relays; ++number)
        control.updateRelay({ absl::StrCat("tcp://10.0.0.", number, ":9000"), absl::StrCat("dc", number % dataCentres), 2 }, now);
    for (int number = 0; number < workers; ++number)
        control.setWorkerDataCentre(absl::StrCat("worker-", 100'000 + number), absl::StrCat("dc", number % dataCentres));
    const auto observeAll = [&] {
        for (int number = 0; number < workers; ++number)
            control.observe({ absl::StrCat("worker-", 100'000 + number), "10.0.0.1:1" }, {}, [](const external::observe_reply&) {});
    };
    std::vector<cost_measurement> measurements;
    const auto add = [&](const char* name, const char* unit, double size, const auto& action) {
        measurements.push_back({ name, unit, "workers or open orders", size, costOf(action) });
    };
    add("relay choices with an order", "us", workers, observeAll);
    add("relayed orders", "us", workers, observeAll);
    while (counters.orders.value() < openOrders)
        observeAll();
    add("looks for overdue orders", "us/s", openOrders, [&] {
        for (int number = 0; number < expiriesPerSecond; ++number)
            control.expireOrders(now);
    });
    return measurements;
}

} // namespace camphorsaddle::bench
