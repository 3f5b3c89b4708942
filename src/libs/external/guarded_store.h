#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "external/circuit_breaker.h"
#include "external/key_value_store.h"
#include "external/store_call.h"
#include "utils/executor.h"
#include "utils/metrics.h"

namespace camphorsaddle::external {

//! \brief What the guard counts beside the calls.
enum class guard_event {
    //! A call was refused without being sent, because the breaker is open or recovers.
    RefusedByBreaker,
    BreakerOpened,
    BreakerClosed,
    //! No answer within the deadline.
    DeadlinePassed,
    //! An answer after its deadline, discarded.
    LateAnswer,
    //! A watch neither answered nor ended within its wait.
    SilentWatch,
    //! A read or list joined an equal one in flight.
    CollapsedRead,
};

inline constexpr std::size_t guardEventCount = 7;

absl::string_view toString(guard_event event);

struct guard_settings {
    utils::milliseconds callTimeout { 1000 };
    //! Time after the wait of a watch until it counts as silent.
    utils::milliseconds watchSlack { 1000 };
    breaker_settings breaker;
    //! Spreads the pauses; different in each client.
    std::uint64_t seed = 1;
};

//! \brief Decorates a store by deadlines, a circuit breaker, collapse of equal reads, and counts.
//!
//! A read joins an equal one in flight only if this client began or ended no change of the key meanwhile, so a client
//! reads its own writes. Callbacks that are pending when the guard is destroyed are dropped.
class guarded_store final : public key_value_store {
public:
    guarded_store(key_value_store& store, utils::executor& loop, utils::metric_registry& metrics, guard_settings settings = {});
    ~guarded_store() override;
    guarded_store(const guarded_store&) = delete;
    guarded_store& operator=(const guarded_store&) = delete;

    void read(const std::string& key, store_callback<key_value> callback) override;
    void list(const std::string& prefix, const std::string& start, std::size_t limit, store_callback<key_listing> callback) override;
    void write(const write_request& request, store_callback<revision> callback) override;
    void erase(const std::string& key, revision expectedVersion, store_callback<revision> callback) override;
    void grantLease(utils::milliseconds term, store_callback<lease_id> callback) override;
    void renewLease(lease_id lease, std::function<void(absl::Status)> callback) override;
    void revokeLease(lease_id lease, std::function<void(absl::Status)> callback) override;
    void watch(const std::string& prefix, revision after, utils::milliseconds wait, store_callback<watch_result> callback) override;

    breaker_state state() const;
    //! \brief Calls of a kind that went out.
    std::uint64_t calls(store_call kind) const;
    std::uint64_t events(guard_event event) const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace camphorsaddle::external
